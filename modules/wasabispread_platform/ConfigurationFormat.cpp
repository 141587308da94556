/*
 * Encodes configurations and refused applies as JSON.
 */
#include "wasabispread_platform.h"

#include <algorithm>
#include <optional>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

/** The largest uncompressed text of a stored configuration that is read, in
    bytes. */
constexpr std::uint64_t kMaxTextBytes = 64U << 20U;
constexpr int kBase64Bits = 6;
constexpr int kByteBits = 8;

tl::unexpected<Error>
Unreadable()
{
  return Fail(ErrorKind::kInvalidFile,
              "the stored configuration cannot be read",
              "compare the release of this program with that of the one that "
              "wrote it");
}

/** Encodes bytes as Base64 without padding. */
std::string
ToBase64(const std::string& aBytes)
{
  using namespace boost::archive::iterators;
  using Iterator = base64_from_binary<
    transform_width<std::string::const_iterator, kBase64Bits, kByteBits>>;
  return { Iterator(aBytes.begin()), Iterator(aBytes.end()) };
}

std::optional<std::string>
FromBase64(const std::string& aText)
{
  using namespace boost::archive::iterators;
  using Iterator =
    transform_width<binary_from_base64<std::string::const_iterator>,
                    kByteBits,
                    kBase64Bits>;
  const std::size_t size = aText.size() * kBase64Bits / kByteBits;
  std::string bytes;
  bytes.reserve(size);
  try {
    Iterator position(aText.begin());
    for (std::size_t index = 0; index < size; ++index) {
      bytes.push_back(static_cast<char>(*position));
      ++position;
    }
  } catch (const dataflow_exception&) {
    return std::nullopt;
  }
  return bytes;
}

std::string
StringOrEmpty(const Json& aJson, const char* aKey)
{
  const auto found = aJson.find(aKey);
  const bool isString = found != aJson.end() && found->is_string();
  return isString ? found->get<std::string>() : std::string();
}

std::optional<std::uint64_t>
NumberAt(const Json& aJson, const char* aKey)
{
  const auto found = aJson.find(aKey);
  if (found == aJson.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** The text of a configuration: compressed, or plain as the first releases
    wrote it. */
std::optional<std::string>
DecodeText(const Json& aJson)
{
  const auto plain = aJson.find("text");
  if (plain != aJson.end() && plain->is_string()) {
    return plain->get<std::string>();
  }
  const auto size = NumberAt(aJson, "text_bytes");
  const auto compressed = FromBase64(StringOrEmpty(aJson, "text_zlib"));
  if (!size || *size > kMaxTextBytes || !compressed) {
    return std::nullopt;
  }
  auto text = Decompress(*compressed, *size);
  return text ? std::optional(std::move(*text)) : std::nullopt;
}

} // namespace

std::string
EncodeConfiguration(const ConfigurationRecord& aRecord)
{
  Json json;
  json["revision"] = aRecord.mRevision.Value();
  json["change_id"] = aRecord.mChangeId;
  json["author"] = aRecord.mAuthor;
  json["time"] = aRecord.mTime;
  json["earlier"] = Json::array();
  for (const ChangeRecord& change : aRecord.mEarlier) {
    json["earlier"].push_back({ { "change_id", change.mChangeId },
                                { "revision", change.mRevision.Value() },
                                { "author", change.mAuthor },
                                { "time", change.mTime } });
  }
  json["text_bytes"] = aRecord.mText.size();
  json["text_zlib"] =
    ToBase64(Compress(aRecord.mText, CompressionLevel::kBestCompression));
  return Dump(json);
}

Result<ConfigurationRecord>
DecodeConfiguration(const std::string& aValue)
{
  const Json json = Json::parse(aValue, nullptr, false);
  if (!json.is_object()) {
    return Unreadable();
  }
  const auto revision = NumberAt(json, "revision");
  auto text = DecodeText(json);
  if (!revision || !text) {
    return Unreadable();
  }
  ConfigurationRecord record;
  record.mRevision = Revision(*revision);
  record.mChangeId = StringOrEmpty(json, "change_id");
  record.mAuthor = StringOrEmpty(json, "author");
  record.mTime = StringOrEmpty(json, "time");
  record.mText = std::move(*text);
  for (const Json& change : json.value("earlier", Json::array())) {
    const auto number = NumberAt(change, "revision");
    if (!number) {
      return Unreadable();
    }
    record.mEarlier.push_back({ StringOrEmpty(change, "change_id"),
                                Revision(*number),
                                StringOrEmpty(change, "author"),
                                StringOrEmpty(change, "time") });
  }
  return record;
}

void
AddRefusedApply(std::vector<RefusedApply>& aAttempts, RefusedApply aAttempt)
{
  const bool isListed =
    std::any_of(aAttempts.begin(),
                aAttempts.end(),
                [&aAttempt](const RefusedApply& aOther) {
                  return aOther.mChangeId == aAttempt.mChangeId &&
                         aOther.mWinner == aAttempt.mWinner;
                });
  if (isListed) {
    return;
  }
  aAttempts.insert(aAttempts.begin(), std::move(aAttempt));
  if (aAttempts.size() > kMaxRefusedApplies) {
    aAttempts.resize(kMaxRefusedApplies);
  }
}

std::string
EncodeRefusedApplies(const std::vector<RefusedApply>& aAttempts)
{
  Json json = Json::array();
  for (const RefusedApply& attempt : aAttempts) {
    json.push_back({ { "change_id", attempt.mChangeId },
                     { "author", attempt.mAuthor },
                     { "time", attempt.mTime },
                     { "base", attempt.mBase.Value() },
                     { "winner", attempt.mWinner.Value() } });
  }
  return Dump(json);
}

std::vector<RefusedApply>
DecodeRefusedApplies(const std::string& aValue)
{
  std::vector<RefusedApply> attempts;
  const Json json = Json::parse(aValue, nullptr, false);
  if (!json.is_array()) {
    return attempts;
  }
  for (const Json& element : json) {
    const auto base = NumberAt(element, "base");
    const auto winner = NumberAt(element, "winner");
    if (base && winner) {
      attempts.push_back({ StringOrEmpty(element, "change_id"),
                           StringOrEmpty(element, "author"),
                           StringOrEmpty(element, "time"),
                           Revision(*base),
                           Revision(*winner) });
    }
  }
  return attempts;
}

} // namespace wasabispread
