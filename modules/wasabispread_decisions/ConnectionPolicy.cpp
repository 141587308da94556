/*
 * Divides connection caps among VMs.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** The part of a cap that the owners share when every VM holds a part of the
    rest. */
std::uint32_t
CapOfOwners(std::uint32_t aCap)
{
  return aCap - aCap / 2;
}

std::uint32_t
OwnerShare(const ConnectionPolicy& aPolicy,
           std::uint32_t aCap,
           const ConnectionRank& aRank)
{
  const std::size_t owners =
    std::min<std::size_t>(aPolicy.mOwners, aRank.mRankedVms);
  return aRank.mRank < owners ? EvenShare(aCap, aRank.mRank, owners) : 0;
}

} // namespace

std::uint32_t
EvenShare(std::uint32_t aCap, std::size_t aPosition, std::size_t aParts)
{
  if (aPosition >= aParts) {
    return 0;
  }
  const auto parts = static_cast<std::uint32_t>(aParts);
  const std::uint32_t remainder = aCap % parts;
  return aCap / parts + (aPosition < remainder ? 1 : 0);
}

std::uint32_t
ConnectionShare(const ConnectionPolicy& aPolicy,
                std::uint32_t aCap,
                const ConnectionRank& aRank)
{
  switch (aPolicy.mSharing) {
    case ConnectionSharing::kSplit:
      return EvenShare(aCap, aRank.mPosition, aRank.mVms);
    case ConnectionSharing::kOwners:
      return OwnerShare(aPolicy, aCap, aRank);
    case ConnectionSharing::kBorrowing:
      break;
  }
  const auto vms = static_cast<std::uint32_t>(aRank.mVms);
  const std::uint32_t own = vms == 0 ? 0 : (aCap - CapOfOwners(aCap)) / vms;
  return own + OwnerShare(aPolicy, CapOfOwners(aCap), aRank);
}

} // namespace wasabispread
