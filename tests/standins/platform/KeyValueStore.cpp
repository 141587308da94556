/*
 * Reads, compare-and-swap writes and lease expiry of the stand-in's key-value
 * store.
 */
#include "KeyValueStore.h"

namespace wasabispread {

const StoredValue&
KeyValueStore::Read(const std::string& aKey, TimePoint aNow)
{
  StoredValue& value = mValues[aKey];
  if (value.mExpires <= aNow) {
    value.mValue.reset();
    value.mExpires = TimePoint::max();
  }
  return value;
}

bool
KeyValueStore::Swap(const std::string& aKey,
                    std::uint64_t aExpected,
                    std::string aValue,
                    TimePoint aExpires,
                    TimePoint aNow)
{
  const StoredValue& present = Read(aKey, aNow);
  const std::uint64_t version = present.mValue ? present.mVersion : 0;
  if (version != aExpected) {
    return false;
  }
  StoredValue& value = mValues[aKey];
  ++value.mVersion;
  value.mValue = std::move(aValue);
  value.mExpires = aExpires;
  return true;
}

} // namespace wasabispread
