/*
 * The rules that divide a target's connections among VMs.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstddef>
#include <cstdint>

namespace wasabispread {

/** Which VMs may open connections to a target. */
enum class ConnectionSharing : std::uint8_t
{
  /** Every VM, with an equal share of the cap. */
  kSplit,
  /** The first few VMs in the group's rendezvous order. */
  kOwners,
  /** Every VM, with a small share; the owners share the rest of the cap. */
  kBorrowing,
};

/** How connections are shared and how replies are sent back. */
struct ConnectionPolicy
{
  ConnectionSharing mSharing = ConnectionSharing::kOwners;
  /** The number of VMs, from the first of the rendezvous order, that own a
      group; at least 1. */
  std::uint32_t mOwners = 2;
  /** How long a reply may wait for others to the same coordinator, to be sent
      together. */
  Duration mFlushDelay = std::chrono::microseconds(500);
};

/** A VM's positions, from which its share of the connections follows. */
struct ConnectionRank
{
  /** Position in the group's rendezvous order, and the number of VMs in it. */
  std::size_t mRank = 0;
  std::size_t mRankedVms = 0;
  /** Position among all VMs, and the number of VMs. */
  std::size_t mPosition = 0;
  std::size_t mVms = 0;
};

/** One part of a cap that is divided as evenly as whole numbers allow. The
    parts add up to the cap. A part never grows when aPosition or aParts
    grows. */
std::uint32_t
EvenShare(std::uint32_t aCap, std::size_t aPosition, std::size_t aParts);

/** How many of a target's aCap connections a VM may hold. The shares of VMs
    that agree on the order add up to at most the cap. A share never grows when
    the VM's position or the number of VMs grows. */
std::uint32_t
ConnectionShare(const ConnectionPolicy& aPolicy,
                std::uint32_t aCap,
                const ConnectionRank& aRank);

} // namespace wasabispread
