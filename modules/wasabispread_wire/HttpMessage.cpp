/*
 * Lookup and removal of header fields, and parsing of request targets.
 */
#include "wasabispread_wire.h"

#include <algorithm>
#include <cctype>

namespace wasabispread {

namespace {

bool
EqualsWithoutCase(std::string_view aLeft, std::string_view aRight)
{
  const auto same = [](unsigned char aFirst, unsigned char aSecond) {
    return std::tolower(aFirst) == std::tolower(aSecond);
  };
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), same);
}

/** The value of a hexadecimal digit; -1 for any other character. */
int
HexDigit(char aDigit)
{
  constexpr int kTen = 10;
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + kTen;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + kTen;
  }
  return -1;
}

/** Decodes percent escapes; an invalid escape is left as it is. */
std::string
PercentDecode(std::string_view aText)
{
  constexpr int kBase = 16;
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    const bool isEscape = aText[index] == '%' && index + 2 < aText.size() &&
                          HexDigit(aText[index + 1]) >= 0 &&
                          HexDigit(aText[index + 2]) >= 0;
    if (!isEscape) {
      decoded.push_back(aText[index]);
      continue;
    }
    decoded.push_back(static_cast<char>(HexDigit(aText[index + 1]) * kBase +
                                        HexDigit(aText[index + 2])));
    index += 2;
  }
  return decoded;
}

/** Calls aPart with each part of a text that is divided by aSeparator. */
template<class Function>
void
Split(std::string_view aText, char aSeparator, Function aPart)
{
  while (true) {
    const std::size_t end = aText.find(aSeparator);
    aPart(aText.substr(0, end));
    if (end == std::string_view::npos) {
      return;
    }
    aText.remove_prefix(end + 1);
  }
}

} // namespace

bool
IsNamed(const HttpHeader& aHeader, std::string_view aName)
{
  return EqualsWithoutCase(aHeader.mName, aName);
}

std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  for (const HttpHeader& header : aHeaders) {
    if (EqualsWithoutCase(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

std::vector<std::string_view>
FindHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  std::vector<std::string_view> values;
  for (const HttpHeader& header : aHeaders) {
    if (EqualsWithoutCase(header.mName, aName)) {
      values.push_back(header.mValue);
    }
  }
  return values;
}

void
RemoveConnectionFields(std::vector<HttpHeader>& aHeaders)
{
  static constexpr std::string_view kFields[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Transfer-Encoding",
    "TE",
    "Proxy-Authorization",
    "Content-Length",
    "Trailer",
    "Upgrade",
  };
  std::vector<std::string> named;
  for (const HttpHeader& header : aHeaders) {
    if (EqualsWithoutCase(header.mName, "Connection")) {
      Split(header.mValue, ',', [&](std::string_view aPart) {
        const auto begin = aPart.find_first_not_of(' ');
        if (begin != std::string_view::npos) {
          const auto end = aPart.find_last_not_of(' ');
          named.emplace_back(aPart.substr(begin, end - begin + 1));
        }
      });
    }
  }
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    const auto isSame = [&](std::string_view aName) {
      return EqualsWithoutCase(aHeader.mName, aName);
    };
    return std::any_of(std::begin(kFields), std::end(kFields), isSame) ||
           std::any_of(named.begin(), named.end(), isSame);
  });
}

void
UseOriginForm(HttpRequest& aRequest)
{
  constexpr std::string_view kScheme = "http://";
  const std::string_view target = aRequest.mTarget;
  if (!EqualsWithoutCase(target.substr(0, kScheme.size()), kScheme)) {
    return;
  }
  const std::string_view rest = target.substr(kScheme.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  const std::string host(rest.substr(0, end));
  const std::string path(rest.substr(end));
  std::erase_if(aRequest.mHeaders, [](const HttpHeader& aHeader) {
    return EqualsWithoutCase(aHeader.mName, "Host");
  });
  aRequest.mHeaders.push_back({ "Host", host });
  aRequest.mTarget = path.starts_with('/') ? path : "/" + path;
}

HttpPath
ParsePath(std::string_view aTarget)
{
  HttpPath path;
  const std::size_t question = aTarget.find('?');
  Split(aTarget.substr(0, question), '/', [&path](std::string_view aPart) {
    if (!aPart.empty()) {
      path.mSegments.push_back(PercentDecode(aPart));
    }
  });
  if (question == std::string_view::npos) {
    return path;
  }
  Split(aTarget.substr(question + 1), '&', [&path](std::string_view aPart) {
    const std::size_t equals = aPart.find('=');
    const std::string_view value = equals == std::string_view::npos
                                     ? std::string_view{}
                                     : aPart.substr(equals + 1);
    path.mParameters.push_back(HttpHeader{
      PercentDecode(aPart.substr(0, equals)), PercentDecode(value) });
  });
  return path;
}

std::string
PercentEncode(std::string_view aText)
{
  constexpr char kDigits[] = "0123456789ABCDEF";
  constexpr unsigned kHighShift = 4;
  constexpr unsigned kLowMask = 15;
  std::string encoded;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~").find(character) != std::string_view::npos) {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kDigits[byte >> kHighShift]);
    encoded.push_back(kDigits[byte & kLowMask]);
  }
  return encoded;
}

HttpResponse
JsonResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.push_back({ "Content-Type", "application/json" });
  response.mBody = std::move(aBody);
  return response;
}

} // namespace wasabispread
