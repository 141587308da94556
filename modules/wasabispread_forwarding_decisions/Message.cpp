/*
 * The names of the kinds of replies and problems, used in answers and logs.
 */
#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

std::string_view
ToText(ReplyKind aKind)
{
  switch (aKind) {
    case ReplyKind::kSuccess:
      return "success";
    case ReplyKind::kNotRun:
      return "not-run";
    case ReplyKind::kMisdirected:
      return "misdirected";
    case ReplyKind::kFailure:
      return "failure";
    case ReplyKind::kInvalid:
      break;
  }
  return "invalid";
}

std::string_view
ToText(ProblemKind aKind)
{
  switch (aKind) {
    case ProblemKind::kBadRequest:
      return "bad-request";
    case ProblemKind::kUnauthorised:
      return "unauthorised";
    case ProblemKind::kNoRoute:
      return "no-route";
    case ProblemKind::kNotRun:
      return "not-run";
    case ProblemKind::kOverQuota:
      return "over-quota";
    case ProblemKind::kFailed:
      return "failed";
    case ProblemKind::kTimedOut:
      break;
  }
  return "timed-out";
}

} // namespace wasabispread::forwarding
