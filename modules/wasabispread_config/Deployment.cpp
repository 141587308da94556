/*
 * Names of operations and preferences, and lookups in a deployment.
 */
#include "wasabispread_config.h"

#include <algorithm>

namespace wasabispread {

std::string_view
ToText(Operation aOperation)
{
  switch (aOperation) {
    case Operation::kSearch:
      return "search";
    case Operation::kLookup:
      return "lookup";
    case Operation::kAction:
      return "action";
  }
  return "";
}

std::string_view
ToText(Preference aPreference)
{
  return aPreference == Preference::kLatency ? "latency" : "coverage";
}

bool
Service::Offers(Operation aOperation) const
{
  return std::binary_search(mOperations.begin(), mOperations.end(), aOperation);
}

const Service*
Deployment::FindService(ServiceId aId) const
{
  const auto found = mServiceIndex.find(aId);
  return found == mServiceIndex.end() ? nullptr : &mServices[found->second];
}

const Target*
Deployment::FindTarget(TargetId aId) const
{
  const auto found = mTargetIndex.find(aId);
  return found == mTargetIndex.end() ? nullptr : &mTargets[found->second];
}

} // namespace wasabispread
