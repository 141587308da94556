/*
 * Values with versions, compare-and-swap and leases.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace wasabispread {

/** A value. Its version counts the writes to its key, also across the end of
    a lease, so that no version comes twice. */
struct StoredValue
{
  std::uint64_t mVersion = 0;
  std::optional<std::string> mValue;
  /** When its lease ends and the value goes away. */
  TimePoint mExpires = TimePoint::max();
};

/** The store. */
class KeyValueStore
{
public:
  /** The value of a key; without one when absent. */
  const StoredValue& Read(const std::string& aKey, TimePoint aNow);

  /** Writes if the key's version is aExpected, which is 0 for an absent key;
      whether it did. The value goes away at aExpires. */
  bool Swap(const std::string& aKey,
            std::uint64_t aExpected,
            std::string aValue,
            TimePoint aExpires,
            TimePoint aNow);

private:
  std::map<std::string, StoredValue> mValues;
};

} // namespace wasabispread
