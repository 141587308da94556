/*
 * An in-memory key-value store with versions, compare-and-swap and leases.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace wasabispread {

/** A value and its version. The version counts all writes to the key and
    keeps counting after a lease expires, so that no version is used twice. */
struct StoredValue
{
  std::uint64_t mVersion = 0;
  std::optional<std::string> mValue;
  /** When the value's lease expires and the value is removed. */
  TimePoint mExpires = TimePoint::max();
};

/** Keeps the values in memory. */
class KeyValueStore
{
public:
  /** Returns the entry of a key; its value is unset when the key is absent. */
  const StoredValue& Read(const std::string& aKey, TimePoint aNow);

  /** Writes if the key's version equals aExpected (0 for an absent key) and
      returns whether it wrote. The value is removed at aExpires. */
  bool Swap(const std::string& aKey,
            std::uint64_t aExpected,
            std::string aValue,
            TimePoint aExpires,
            TimePoint aNow);

private:
  std::map<std::string, StoredValue> mValues;
};

} // namespace wasabispread
