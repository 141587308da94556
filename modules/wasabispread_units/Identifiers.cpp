/*
 * Hashing and text forms of identifiers.
 */
#include "wasabispread_units.h"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace wasabispread {

namespace {

/** Parses a whole text as a decimal number that fits Value. */
template<class Value>
std::optional<Value>
ParseNumber(std::string_view aText)
{
  Value value = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (aText.empty() || error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

bool
IsIpv4Address(std::string_view aHost)
{
  constexpr int kOctets = 4;
  for (int octet = 0; octet < kOctets; ++octet) {
    const std::size_t dot = aHost.find('.');
    const bool isLast = octet == kOctets - 1;
    if (isLast != (dot == std::string_view::npos)) {
      return false;
    }
    const std::string_view text = aHost.substr(0, dot);
    // Some readers take a leading zero for the sign of an octal number.
    const bool hasLeadingZero = text.size() > 1 && text.front() == '0';
    if (hasLeadingZero || !ParseNumber<std::uint8_t>(text)) {
      return false;
    }
    aHost.remove_prefix(isLast ? aHost.size() : dot + 1);
  }
  return true;
}

} // namespace

std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::string
ToText(const AttemptId& aAttempt)
{
  constexpr std::size_t kMaxDigits = 20;
  constexpr std::size_t kParts = 3;
  std::array<char, kParts*(kMaxDigits + 1)> text;
  char* end = text.data();
  for (const std::uint64_t part : { aAttempt.mCoordinator.Value(),
                                    aAttempt.mIncarnation.Value(),
                                    aAttempt.mSequence.Value() }) {
    end = std::to_chars(end, end + kMaxDigits, part).ptr;
    *end++ = '.';
  }
  return { text.data(), end - 1 };
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParseNumber<std::uint16_t>(aText.substr(colon + 1));
  const std::string_view host = aText.substr(0, colon);
  if (!port || *port == 0 || !IsIpv4Address(host)) {
    return std::nullopt;
  }
  return Endpoint{ std::string(host), *port };
}

} // namespace wasabispread
