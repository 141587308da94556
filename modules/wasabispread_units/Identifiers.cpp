/*
 * Hashing and text forms of identifiers.
 */
#include "wasabispread_units.h"

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
  return std::to_string(aAttempt.mEntry.Value()) + "." +
         std::to_string(aAttempt.mIncarnation.Value()) + "." +
         std::to_string(aAttempt.mSequence.Value());
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

} // namespace wasabispread
