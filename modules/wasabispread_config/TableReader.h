/*
 * Reads a TOML table key by key and notes every fault with its place.
 * Private to this module.
 */
#pragma once

#include "wasabispread_config.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <toml++/toml.h>

namespace wasabispread {

/** An inclusive range of whole numbers. */
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

/** Reads one table. Each reader notes the key as known; RejectUnknownKeys()
    then reports the rest. A missing optional key yields std::nullopt without
    a fault; a wrong value yields std::nullopt with one. */
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

  /** The sub-table under a key, or nullptr when absent or not a table. */
  const toml::table* OptionalTable(std::string_view aKey);

  /** The array under a key, or nullptr when absent or not an array. */
  const toml::array* OptionalArray(std::string_view aKey);

  /** The array under a key; its absence is a fault. */
  const toml::array* RequiredArray(std::string_view aKey);

  /** The array of tables under a key, empty when absent; an element of
      another type is a fault. */
  std::vector<const toml::table*> Tables(std::string_view aKey);

  /** Reports each key that no reader asked for. */
  void RejectUnknownKeys();

  /** Notes a fault at a node's place. */
  void AddFault(const toml::node& aNode,
                std::string aMessage,
                std::string aRemedy);

  /** Notes a fault at the table's place. */
  void AddTableFault(std::string aMessage, std::string aRemedy);

private:
  const toml::node* Find(std::string_view aKey);
  const toml::node* Require(std::string_view aKey);

  const toml::table& mTable;
  std::string mFile;
  std::string mLabel;
  Faults& mFaults;
  std::set<std::string, std::less<>> mKnownKeys;
};

/** Reads the level from the optional table [log]. */
void
ReadLog(TableReader& aReader,
        const std::string& aFile,
        Faults& aFaults,
        LogLevel& aLevel);

/** Parses "host:port" with a dotted IPv4 host and a port from 1 to 65535. */
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

/** Parses a whole number followed by us, ms, s, min or h. */
std::optional<Duration>
ParseDuration(std::string_view aText);

/** A whole file's table, or the fault that its syntax error amounts to. */
tl::expected<toml::table, Faults>
ParseToml(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
