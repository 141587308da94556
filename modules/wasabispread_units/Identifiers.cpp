/*
 * Hashing and text forms of identifiers.
 */
#include "wasabispread_units.h"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace wasabispread {

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

} // namespace wasabispread
