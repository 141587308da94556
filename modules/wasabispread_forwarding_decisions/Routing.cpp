/*
 * Finds the route of a request, and selects a part of its split.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <cassert>
#include <cctype>

namespace wasabispread::forwarding {

namespace {

std::string
NormalizedHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(
    host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return host;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

bool
IsSameSplit(const SplitState& aState, const std::vector<SplitPart>& aParts)
{
  return std::equal(aState.mServices.begin(),
                    aState.mServices.end(),
                    aParts.begin(),
                    aParts.end(),
                    [](ServiceId aService, const SplitPart& aPart) {
                      return aService == aPart.mService;
                    });
}

} // namespace

void
UnreadableParts::Add(std::string aPlace, std::string aReason)
{
  // One line of the log is written for each listed part.
  constexpr std::size_t kMaxListed = 32;
  ++mCount;
  if (mListed.size() < kMaxListed) {
    mListed.push_back({ std::move(aPlace), std::move(aReason) });
  }
}

void
IndexRoutes(RoutingConfiguration& aConfiguration)
{
  aConfiguration.mRoutesOfHost.clear();
  for (std::size_t position = 0; position < aConfiguration.mRoutes.size();
       ++position) {
    const Route& route = aConfiguration.mRoutes[position];
    aConfiguration.mRoutesOfHost[NormalizedHost(route.mHost)].push_back(
      position);
  }
  for (auto& [host, positions] : aConfiguration.mRoutesOfHost) {
    std::stable_sort(positions.begin(),
                     positions.end(),
                     [&](std::size_t aLeft, std::size_t aRight) {
                       const Route& left = aConfiguration.mRoutes[aLeft];
                       const Route& right = aConfiguration.mRoutes[aRight];
                       if (left.mPrefix.size() != right.mPrefix.size()) {
                         return left.mPrefix.size() > right.mPrefix.size();
                       }
                       return !left.mIsUnreadable && right.mIsUnreadable;
                     });
  }
}

const Route*
FindRoute(const RoutingConfiguration& aConfiguration,
          std::string_view aHost,
          std::string_view aTarget)
{
  const auto host = aConfiguration.mRoutesOfHost.find(NormalizedHost(aHost));
  if (host == aConfiguration.mRoutesOfHost.end()) {
    return nullptr;
  }
  const std::string_view path = PathOf(aTarget);
  for (const std::size_t position : host->second) {
    const Route& route = aConfiguration.mRoutes[position];
    if (path.starts_with(route.mPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

ServiceId
NextPart(SplitState& aState, const std::vector<SplitPart>& aParts)
{
  assert(!aParts.empty());
  if (!IsSameSplit(aState, aParts)) {
    aState = SplitState{};
    for (const SplitPart& part : aParts) {
      aState.mServices.push_back(part.mService);
    }
    aState.mCredit.assign(aParts.size(), 0);
  }
  double total = 0;
  std::size_t chosen = 0;
  for (std::size_t position = 0; position < aParts.size(); ++position) {
    total += aParts[position].mWeight;
    aState.mCredit[position] += aParts[position].mWeight;
    if (aState.mCredit[position] > aState.mCredit[chosen]) {
      chosen = position;
    }
  }
  aState.mCredit[chosen] -= total;
  return aParts[chosen].mService;
}

} // namespace wasabispread::forwarding
