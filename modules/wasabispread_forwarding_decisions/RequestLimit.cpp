/*
 * Follows the limits that targets name.
 */
#include "wasabispread_forwarding_decisions.h"

namespace wasabispread::forwarding {

void
RecordLimit(ForwarderState& aState,
            TargetState& aTarget,
            const Reply& aReply,
            TimePoint aNow,
            ForwarderEffects& aEffects)
{
  static_cast<void>(aNow);
  const bool isComplete = aReply.mKind == ReplyKind::kSuccess ||
                          aReply.mKind == ReplyKind::kFailure ||
                          aReply.mKind == ReplyKind::kNotRun;
  RequestLimit& limit = aTarget.mLimit;
  if (!isComplete || aReply.mRequestLimit == limit.mPerSecond) {
    return;
  }
  limit.mPerSecond = aReply.mRequestLimit;
  DecisionRecord record{
    RecordClass::kState,
    limit.mPerSecond ? "target-limit-named" : "target-limit-ended",
    {},
    { { "target", aTarget.mRecord.mInstance.Value() },
      { "service", NameOf(aState, aTarget.mRecord.mService) } }
  };
  if (limit.mPerSecond) {
    record.mFields.push_back({ "requests_per_second", *limit.mPerSecond });
  }
  aEffects.push_back(WriteDecisionRecord{ std::move(record) });
}

} // namespace wasabispread::forwarding
