/*
 * Implements the naive tier: scatters a request and gathers the replies.
 */
#include "NaiveTier.h"

namespace wasabispread::testing {

NaiveTier::NaiveTier(FakeFleet& aFleet, Deployment aDeployment, Duration aHop)
  : mFleet(aFleet)
  , mDeployment(std::move(aDeployment))
  , mHop(aHop)
{
}

std::shared_ptr<const NaiveAnswer>
NaiveTier::Ask(const std::string& aService,
               const std::string& aRequestId,
               Duration aTimeout)
{
  const Service* service =
    mDeployment.FindService(IdFromName<ServiceId>(aService));
  auto answer = std::make_shared<NaiveAnswer>();
  answer->mAsked = mFleet.mTimeline.Now();
  answer->mShardsAsked = service->mShardCount;
  for (std::uint32_t shard = 0; shard < service->mShardCount; ++shard) {
    const auto& replicas = service->mReplicas[shard];
    TargetRequest request;
    request.mRequestId = RequestId(aRequestId);
    request.mAttempt.mSequence = AttemptSequence(++mSent);
    request.mShard = ShardIndex(shard);
    request.mBudget = aTimeout;
    AskShard(mDeployment.mTargets[replicas[mSent % replicas.size()]],
             std::move(request),
             answer);
  }
  mFleet.mTimeline.After(aTimeout, [answer, aTimeout] {
    if (!answer->mIsOver) {
      answer->mIsOver = true;
      answer->mAnswered = answer->mAsked + aTimeout;
    }
  });
  return answer;
}

void
NaiveTier::AskShard(const Target& aTarget,
                    TargetRequest aRequest,
                    const std::shared_ptr<NaiveAnswer>& aAnswer)
{
  const std::uint32_t shard = aRequest.mShard.Value();
  const auto receive = [this, aAnswer, shard](const TargetReply& aReply) {
    if (aAnswer->mIsOver) {
      return;
    }
    if (aReply.mStatus == TargetStatus::kAnswered) {
      aAnswer->mBodies[shard] = *aReply.mBody;
    }
    if (aAnswer->mBodies.size() == aAnswer->mShardsAsked) {
      aAnswer->mIsOver = true;
      aAnswer->mAnswered = mFleet.mTimeline.Now();
    }
  };
  TargetResponder responder;
  responder.mReply = [this, receive](TargetReply aReply) {
    mFleet.mTimeline.After(
      mHop, [receive, reply = std::move(aReply)] { receive(reply); });
  };
  responder.mReset = [](bool) {};
  FakeTarget& target = *mFleet.Targets().at(aTarget.mId);
  mFleet.mTimeline.After(mHop,
                         [&target, request = std::move(aRequest), responder] {
                           target.Serve(request, responder);
                         });
}

} // namespace wasabispread::testing
