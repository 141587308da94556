/*
 * Construction of a VM's state, and whether it is ready or drained.
 */
#include "wasabispread_decisions.h"

namespace wasabispread {

bool
VmState::IsReady() const
{
  return !mStopping && mConfiguration.mDeployment != nullptr;
}

bool
VmState::IsDrained() const
{
  return mStopping && mIsStopAnnounced && mCoordinator.mQueries.empty() &&
         mClaims.mTokenOfCaller.empty() && mClaims.mOutcomeWrites.empty() &&
         mTargetOwner.mItems.empty() && mTargetOwner.mOutboxes.empty();
}

VmState
MakeVmState(VmIdentity aSelf,
            std::uint64_t aSeed,
            const std::vector<VmRecord>& aPeers)
{
  VmState state;
  state.mSelf = std::move(aSelf);
  state.mRandom = Random(aSeed);
  VmRecord self;
  self.mId = state.mSelf.mId;
  self.mName = state.mSelf.mName;
  self.mZone = state.mSelf.mZone;
  self.mPeerAddress = state.mSelf.mPeerAddress;
  state.mMembership.mLiveByZone[self.mZone] = { self.mId };
  MemberHealth health;
  health.mVersion = MemberVersion(state.mSelf.mIncarnation.Value());
  state.mMembership.mHealth.emplace(self.mId, health);
  for (const VmRecord& peer : aPeers) {
    if (peer.mId != self.mId) {
      state.mMembership.mSeeds.push_back(peer);
    }
  }
  state.mMembership.mMembers.emplace(self.mId, std::move(self));
  return state;
}

} // namespace wasabispread
