/*
 * Strong types for the identifiers that all processes of a deployment share,
 * and for network addresses.
 */
#pragma once

#include "StrongType.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wasabispread {

/** A 64-bit hash (XXH64) of bytes. It is stored and sent between VMs, so it
    must stay the same on every VM and in every release. */
std::uint64_t
StableHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/** Identifies a VM: the stable hash of its name. */
using VmId = StrongType<struct VmIdTag, std::uint64_t>;

/** Identifies a declared service: the stable hash of its name. */
using ServiceId = StrongType<struct ServiceIdTag, std::uint64_t>;

/** Identifies a declared target: the stable hash of its name. */
using TargetId = StrongType<struct TargetIdTag, std::uint64_t>;

/** Names an availability zone. */
using ZoneName = StrongType<struct ZoneNameTag, std::string>;

/** The position of a shard within its service, from 0. */
using ShardIndex = StrongType<struct ShardIndexTag, std::uint32_t>;

/** The version of the index that a target serves; 0 means unknown. */
using SnapshotVersion = StrongType<struct SnapshotVersionTag, std::uint64_t>;

/** The number of an accepted configuration, incremented by one with each
    accepted change; 0 means that there is none. */
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

/** Identifies one start of a VM's daemon; a later start has a higher value. */
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

/** Identifies a caller's request; chosen by the caller or by the
    coordinator. */
using RequestId = StrongType<struct RequestIdTag, std::string>;

/** Identifies a caller's or operator's open request within one daemon. */
using CallerToken = StrongType<struct CallerTokenTag, std::uint64_t>;

/** Identifies a connection to a target within one daemon. */
using ConnectionId = StrongType<struct ConnectionIdTag, std::uint64_t>;

/** The sequence number of an attempt, unique within one incarnation of its
    coordinator. */
using AttemptSequence = StrongType<struct AttemptSequenceTag, std::uint64_t>;

/** Identifies one attempt at one shard across all VMs and restarts. */
struct AttemptId
{
  VmId mCoordinator;
  Incarnation mIncarnation;
  AttemptSequence mSequence;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/** The text form "coordinator.incarnation.sequence", which targets receive. */
std::string
ToText(const AttemptId& aAttempt);

/** Derives an identifier from a name. */
template<class Id>
Id
IdFromName(std::string_view aName)
{
  return Id(StableHash(aName));
}

/** An IPv4 address and a port. */
struct Endpoint
{
  std::string mHost;
  std::uint16_t mPort = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/** The text form "host:port". */
std::string
ToText(const Endpoint& aEndpoint);

/** Parses "ADDRESS:PORT"; none unless the address is an IPv4 address of four
    decimal numbers without leading zeros and the port is 1 to 65535. */
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

} // namespace wasabispread

/** Hashes all three fields of an attempt's identifier. */
template<>
struct std::hash<wasabispread::AttemptId>
{
  std::size_t operator()(const wasabispread::AttemptId& aId) const noexcept
  {
    constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = aId.mCoordinator.Value();
    mixed = (mixed ^ aId.mIncarnation.Value()) * kMultiplier;
    mixed = (mixed ^ aId.mSequence.Value()) * kMultiplier;
    return mixed ^ (mixed >> 32U);
  }
};
