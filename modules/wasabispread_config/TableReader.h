/*
 * Reads the keys of a TOML table and records every fault with its position.
 * Private to this module.
 */
#pragma once

#include "wasabispread_config.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

// Parsing is recursive, and the stacks of fibers are small.
#define TOML_MAX_NESTED_VALUES 16
#include <toml++/toml.h>

namespace wasabispread {

/** An inclusive range of integers. */
struct IntegerRange
{
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
};

/** An inclusive range of durations. */
struct DurationRange
{
  Duration mMin{};
  Duration mMax{};
};

/** Reads the keys of one table. Each reading function marks its key as known,
    so that RejectUnknownKeys() can report all others. A missing optional key
    yields std::nullopt without a fault; a missing required key or a wrong value
    yields std::nullopt and adds a fault. */
class TableReader
{
public:
  /** aTable and aFaults must outlive the reader. aLabel names the table in
      messages, as in "[listen]". */
  TableReader(const toml::table& aTable,
              std::string aFile,
              std::string aLabel,
              Faults& aFaults);

  std::optional<std::string> RequiredString(std::string_view aKey);
  std::optional<std::string> OptionalString(std::string_view aKey);
  std::optional<std::int64_t> OptionalInteger(std::string_view aKey,
                                              IntegerRange aRange);
  std::optional<std::int64_t> RequiredInteger(std::string_view aKey,
                                              IntegerRange aRange);
  std::optional<double> OptionalNumber(std::string_view aKey,
                                       double aMin,
                                       double aMax);
  std::optional<bool> OptionalBoolean(std::string_view aKey);
  std::optional<Duration> OptionalDuration(std::string_view aKey,
                                           DurationRange aRange);
  std::optional<Duration> RequiredDuration(std::string_view aKey,
                                           DurationRange aRange);
  std::optional<Endpoint> OptionalEndpoint(std::string_view aKey);
  std::optional<Endpoint> RequiredEndpoint(std::string_view aKey);

  /** The table under a key; nullptr when it is absent, or not a table, which is
      a fault. */
  const toml::table* OptionalTable(std::string_view aKey);

  /** The array under a key; nullptr when it is absent, or not an array, which
      is a fault. */
  const toml::array* OptionalArray(std::string_view aKey);

  /** As OptionalArray(), but a missing key is a fault. */
  const toml::array* RequiredArray(std::string_view aKey);

  /** The tables in the array under a key; empty when the key is absent. An
      element of another type is a fault. */
  std::vector<const toml::table*> Tables(std::string_view aKey);

  /** Adds a fault for each key that no reading function has marked as known. */
  void RejectUnknownKeys();

  /** Adds a fault at the position of a node. */
  void AddFault(const toml::node& aNode,
                std::string aMessage,
                std::string aRemedy);

  /** Adds a fault at the position of the table. */
  void AddTableFault(std::string aMessage, std::string aRemedy);

private:
  /** The node under a key, or nullptr; marks the key as known. */
  const toml::node* Find(std::string_view aKey);
  /** As Find(), but adds a fault when the key is missing. */
  const toml::node* Require(std::string_view aKey);

  const toml::table& mTable;
  std::string mFile;
  std::string mLabel;
  Faults& mFaults;
  std::set<std::string, std::less<>> mKnownKeys;
};

/** Reads the key "level" of the optional table [log]; aLevel is unchanged when
    the table is absent. Also accepts the key "file", which the caller reads. */
void
ReadLog(TableReader& aReader,
        const std::string& aFile,
        Faults& aFaults,
        LogLevel& aLevel);

/** Parses a non-negative integer followed by us, ms, s, min or h. */
std::optional<Duration>
ParseDuration(std::string_view aText);

/** Parses a whole file; a syntax error is returned as one fault. */
tl::expected<toml::table, Faults>
ParseToml(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
