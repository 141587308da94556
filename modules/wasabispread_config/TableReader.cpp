/*
 * Typed access to TOML tables, with a fault for each wrong value.
 */
#include "TableReader.h"

#include <charconv>

namespace wasabispread {

namespace {

std::optional<std::uint64_t>
ParseWhole(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::string
DurationText(Duration aDuration)
{
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
  if (microseconds % kMicrosecondsPerMillisecond != 0) {
    return std::to_string(microseconds) + "us";
  }
  return std::to_string(microseconds / kMicrosecondsPerMillisecond) + "ms";
}

} // namespace

std::string
ToText(const Fault& aFault)
{
  return aFault.mFile + ":" + std::to_string(aFault.mLine) + ":" +
         std::to_string(aFault.mColumn) + ": " + aFault.mMessage + "; " +
         aFault.mRemedy;
}

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  struct Unit
  {
    std::string_view mSuffix;
    Duration mLength;
  };
  // "us" and "ms" precede "s", since they end with it too.
  static constexpr Unit kUnits[] = {
    { "min", std::chrono::minutes(1) },
    { "us", std::chrono::microseconds(1) },
    { "ms", std::chrono::milliseconds(1) },
    { "s", std::chrono::seconds(1) },
    { "h", std::chrono::hours(1) },
  };
  constexpr std::uint64_t kMaxUnits = 1'000'000'000;
  for (const Unit& unit : kUnits) {
    if (!aText.ends_with(unit.mSuffix)) {
      continue;
    }
    aText.remove_suffix(unit.mSuffix.size());
    const auto count = ParseWhole(aText);
    const bool fits =
      count && *count <= kMaxUnits &&
      *count <= static_cast<std::uint64_t>(Duration::max() / unit.mLength);
    if (!fits) {
      return std::nullopt;
    }
    return unit.mLength * static_cast<std::int64_t>(*count);
  }
  return std::nullopt;
}

namespace {

/** The most parts of a dotted key. Each part is a table inside another, and the
    parser's library destroys these recursively. */
constexpr std::size_t kMaxKeyParts = 32;

/** The first line with more dots in succession than a key may have, apart from
    characters of keys and spaces; 0 when there is none. */
std::uint32_t
FindLongKey(std::string_view aText)
{
  constexpr std::string_view kEndsOfKeys = "=,[]{}#\n";
  std::uint32_t line = 1;
  std::size_t dots = 0;
  for (const char character : aText) {
    if (kEndsOfKeys.find(character) != std::string_view::npos) {
      dots = 0;
    }
    dots += character == '.' ? 1 : 0;
    if (dots >= kMaxKeyParts) {
      return line;
    }
    line += character == '\n' ? 1 : 0;
  }
  return 0;
}

} // namespace

tl::expected<toml::table, Faults>
ParseToml(std::string_view aText, const std::string& aFile)
{
  if (const std::uint32_t line = FindLongKey(aText); line != 0) {
    return tl::unexpected<Faults>(Faults{
      Fault{ aFile,
             line,
             1,
             "a key has more than " + std::to_string(kMaxKeyParts) + " parts",
             "use fewer tables inside tables" } });
  }
  try {
    return toml::parse(aText, aFile);
  } catch (const toml::parse_error& error) {
    const toml::source_position position = error.source().begin;
    return tl::unexpected<Faults>(
      Faults{ Fault{ aFile,
                     position.line,
                     position.column,
                     "not valid TOML: " + std::string(error.description()),
                     "correct the syntax at this position" } });
  }
}

TableReader::TableReader(const toml::table& aTable,
                         std::string aFile,
                         std::string aLabel,
                         Faults& aFaults)
  : mTable(aTable)
  , mFile(std::move(aFile))
  , mLabel(std::move(aLabel))
  , mFaults(aFaults)
{
}

const toml::node*
TableReader::Find(std::string_view aKey)
{
  mKnownKeys.emplace(aKey);
  return mTable.get(aKey);
}

const toml::node*
TableReader::Require(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    AddTableFault(mLabel + " lacks the key '" + std::string(aKey) + "'",
                  "add it");
  }
  return node;
}

std::optional<std::string>
TableReader::OptionalString(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be a string that is not empty",
             "write it in quotes");
    return std::nullopt;
  }
  return value;
}

std::optional<std::string>
TableReader::RequiredString(std::string_view aKey)
{
  return Require(aKey) == nullptr ? std::nullopt : OptionalString(aKey);
}

std::optional<std::int64_t>
TableReader::OptionalInteger(std::string_view aKey, IntegerRange aRange)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < aRange.mMin || *value > aRange.mMax) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be a whole number from " +
               std::to_string(aRange.mMin) + " to " +
               std::to_string(aRange.mMax),
             "set it within that range");
    return std::nullopt;
  }
  return value;
}

std::optional<std::int64_t>
TableReader::RequiredInteger(std::string_view aKey, IntegerRange aRange)
{
  return Require(aKey) == nullptr ? std::nullopt
                                  : OptionalInteger(aKey, aRange);
}

std::optional<double>
TableReader::OptionalNumber(std::string_view aKey, double aMin, double aMax)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = node->value<double>();
  // The condition is negated so that NaN is rejected too.
  if (!node->is_number() || !value || !(*value >= aMin && *value <= aMax)) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be a number from " +
               std::to_string(aMin) + " to " + std::to_string(aMax),
             "set it within that range");
    return std::nullopt;
  }
  return value;
}

std::optional<bool>
TableReader::OptionalBoolean(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be true or false",
             "write it without quotes");
  }
  return value;
}

std::optional<Duration>
TableReader::OptionalDuration(std::string_view aKey, DurationRange aRange)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto text = node->value_exact<std::string>();
  const auto value = text ? ParseDuration(*text) : std::nullopt;
  if (!value || *value < aRange.mMin || *value > aRange.mMax) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be a duration from " +
               DurationText(aRange.mMin) + " to " + DurationText(aRange.mMax),
             "write a whole number with its unit, as in \"180ms\"");
    return std::nullopt;
  }
  return value;
}

std::optional<Duration>
TableReader::RequiredDuration(std::string_view aKey, DurationRange aRange)
{
  return Require(aKey) == nullptr ? std::nullopt
                                  : OptionalDuration(aKey, aRange);
}

std::optional<Endpoint>
TableReader::OptionalEndpoint(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto text = node->value_exact<std::string>();
  auto value = text ? ParseEndpoint(*text) : std::nullopt;
  if (!value) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be an IPv4 address and a port",
             "write it as \"10.0.0.1:8080\"");
  }
  return value;
}

std::optional<Endpoint>
TableReader::RequiredEndpoint(std::string_view aKey)
{
  return Require(aKey) == nullptr ? std::nullopt : OptionalEndpoint(aKey);
}

const toml::table*
TableReader::OptionalTable(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  if (node != nullptr && !node->is_table()) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be a table",
             "write it as [" + std::string(aKey) + "]");
    return nullptr;
  }
  return node == nullptr ? nullptr : node->as_table();
}

const toml::array*
TableReader::OptionalArray(std::string_view aKey)
{
  const toml::node* node = Find(aKey);
  if (node != nullptr && !node->is_array()) {
    AddFault(*node,
             "'" + std::string(aKey) + "' must be an array",
             "write it in square brackets");
    return nullptr;
  }
  return node == nullptr ? nullptr : node->as_array();
}

const toml::array*
TableReader::RequiredArray(std::string_view aKey)
{
  return Require(aKey) == nullptr ? nullptr : OptionalArray(aKey);
}

std::vector<const toml::table*>
TableReader::Tables(std::string_view aKey)
{
  std::vector<const toml::table*> tables;
  const toml::array* array = OptionalArray(aKey);
  if (array == nullptr) {
    return tables;
  }
  for (const toml::node& node : *array) {
    if (!node.is_table()) {
      AddFault(node,
               "each element of '" + std::string(aKey) + "' must be a table",
               "write it as [[" + std::string(aKey) + "]]");
      continue;
    }
    tables.push_back(node.as_table());
  }
  return tables;
}

void
TableReader::RejectUnknownKeys()
{
  for (const auto& [key, node] : mTable) {
    if (!mKnownKeys.contains(key.str())) {
      AddFault(node,
               "unknown key '" + std::string(key.str()) + "' in " + mLabel,
               "remove it or correct its spelling");
    }
  }
}

void
TableReader::AddFault(const toml::node& aNode,
                      std::string aMessage,
                      std::string aRemedy)
{
  const toml::source_position position = aNode.source().begin;
  mFaults.push_back(Fault{ mFile,
                           position.line,
                           position.column,
                           std::move(aMessage),
                           std::move(aRemedy) });
}

void
TableReader::AddTableFault(std::string aMessage, std::string aRemedy)
{
  AddFault(mTable, std::move(aMessage), std::move(aRemedy));
}

void
ReadLog(TableReader& aReader,
        const std::string& aFile,
        Faults& aFaults,
        LogLevel& aLevel)
{
  const toml::table* table = aReader.OptionalTable("log");
  if (table == nullptr) {
    return;
  }
  TableReader log(*table, aFile, "[log]", aFaults);
  static_cast<void>(log.OptionalString("file"));
  const std::string level = log.OptionalString("level").value_or("info");
  log.RejectUnknownKeys();
  if (level == "debug") {
    aLevel = LogLevel::kDebug;
  } else if (level == "warning") {
    aLevel = LogLevel::kWarning;
  } else if (level == "error") {
    aLevel = LogLevel::kError;
  } else if (level != "info") {
    log.AddFault(*table->get("level"),
                 "the log level '" + level + "' is unknown",
                 R"(use "debug", "info", "warning" or "error")");
  }
}

} // namespace wasabispread
