/*
 * Names of the reasons for missing shards.
 */
#include "wasabispread_decisions.h"

namespace wasabispread {

std::string_view
ToText(MissingReason aReason)
{
  switch (aReason) {
    case MissingReason::kTimeout:
      return "timeout";
    case MissingReason::kTargetUnreachable:
      return "target-unreachable";
    case MissingReason::kOverloaded:
      return "overloaded";
    case MissingReason::kShed:
      return "shed";
    case MissingReason::kDraining:
      return "draining";
    case MissingReason::kSnapshotUnavailable:
      return "snapshot-unavailable";
    case MissingReason::kOwnerLost:
      return "owner-lost";
    case MissingReason::kNoOwner:
      return "no-owner";
    case MissingReason::kUnknownTarget:
      return "unknown-target";
    case MissingReason::kProtocolError:
      return "protocol-error";
    case MissingReason::kEarlyAnswer:
      return "early-answer";
    case MissingReason::kStopping:
      return "stopping";
  }
  return "unknown";
}

} // namespace wasabispread
