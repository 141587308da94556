/*
 * Collecting confirmations.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** What each level of a tree keeps of the time to answer the level above. */
constexpr Duration kLevelTime = std::chrono::milliseconds(200);
constexpr Duration kLeastBudget = std::chrono::milliseconds(100);

void
AddUnconfirmed(ConfirmationReport& aReport, UnconfirmedVm aVm)
{
  ++aReport.mUnconfirmed;
  if (aReport.mListed.size() < kMostListedVms) {
    aReport.mListed.push_back(aVm);
  }
}

void
AddReport(ConfirmationReport& aReport, const ConfirmationReport& aPart)
{
  aReport.mConfirmed += aPart.mConfirmed;
  aReport.mUnconfirmed += aPart.mUnconfirmed;
  for (const UnconfirmedVm& vm : aPart.mListed) {
    if (aReport.mListed.size() < kMostListedVms) {
      aReport.mListed.push_back(vm);
    }
  }
}

/** This VM's own part of a report. */
void
AddSelf(const VmState& aState, Revision aRevision, Collection& aCollection)
{
  const ConfigurationState& configuration = aState.mConfiguration;
  if (configuration.mRevision >= aRevision) {
    ++aCollection.mReport.mConfirmed;
    return;
  }
  UnconfirmedVm self;
  self.mVm = aState.mSelf.mId;
  self.mRevision = configuration.mRevision;
  self.mReason = aState.mStopping ? UnconfirmedReason::kLeaving
                 : configuration.mRejected.mRevision >= aRevision
                   ? UnconfirmedReason::kRejected
                   : UnconfirmedReason::kBehind;
  AddUnconfirmed(aCollection.mReport, self);
}

const std::vector<VmId>&
LiveIn(const MembershipState& aMembership, const ZoneName& aZone)
{
  static const std::vector<VmId> kNobody;
  const auto zone = aMembership.mLiveByZone.find(aZone);
  return zone == aMembership.mLiveByZone.end() ? kNobody : zone->second;
}

/** Counts a VM and all below it as unreachable. */
void
AddSubtree(const MembershipState& aMembership,
           const AwaitedPart& aPart,
           ConfirmationReport& aReport)
{
  const std::vector<VmId>& vms = LiveIn(aMembership, aPart.mZone);
  std::vector<VmId> open{ aPart.mVm };
  while (!open.empty()) {
    const VmId vm = open.back();
    open.pop_back();
    AddUnconfirmed(aReport,
                   { vm, UnconfirmedReason::kUnreachable, Revision{} });
    const auto below = ChildrenInTree(vms, aPart.mRoot, vm);
    open.insert(open.end(), below.begin(), below.end());
  }
}

void
Finish(VmState& aState, std::uint64_t aId, Effects& aEffects)
{
  auto node = aState.mConfirmation.mCollections.extract(aId);
  Collection& collection = node.mapped();
  if (collection.mToken) {
    aEffects.push_back(
      AnswerConfirmation{ *collection.mToken, std::move(collection.mReport) });
    return;
  }
  ConfirmationReply reply{ collection.mReplyId, std::move(collection.mReport) };
  SendToVm(aState,
           collection.mReplyTo,
           collection.mReplyAddress,
           std::move(reply),
           aEffects);
}

/** Asks the VMs awaited and waits for them, or ends at once without any. */
void
Collect(VmState& aState,
        Collection aCollection,
        Revision aRevision,
        Duration aBudget,
        TimePoint aNow,
        Effects& aEffects)
{
  const std::uint64_t id = aState.mConfirmation.mNextId++;
  const Duration below = std::max(kLeastBudget, aBudget - kLevelTime);
  for (const AwaitedPart& part : aCollection.mAwaited) {
    const Endpoint address =
      aState.mMembership.mMembers.at(part.mVm).mPeerAddress;
    SendToVm(aState,
             part.mVm,
             address,
             ConfirmationRequest{ id, aRevision, part.mRoot, below },
             aEffects);
  }
  const bool isDone = aCollection.mAwaited.empty();
  aState.mConfirmation.mCollections.emplace(id, std::move(aCollection));
  if (isDone) {
    Finish(aState, id, aEffects);
    return;
  }
  aState.mTimers.Arm(aNow + aBudget, TimerKind::kConfirmation, id);
}

void
AwaitChildren(const VmState& aState, VmId aRoot, Collection& aCollection)
{
  const ZoneName& zone = aState.mSelf.mZone;
  const std::vector<VmId>& vms = LiveIn(aState.mMembership, zone);
  for (const VmId child : ChildrenInTree(vms, aRoot, aState.mSelf.mId)) {
    aCollection.mAwaited.push_back({ child, aRoot, zone });
  }
}

} // namespace

std::string_view
ToText(UnconfirmedReason aReason)
{
  switch (aReason) {
    case UnconfirmedReason::kBehind:
      return "behind";
    case UnconfirmedReason::kRejected:
      return "rejected-by-its-release";
    case UnconfirmedReason::kLeaving:
      return "leaving";
    case UnconfirmedReason::kUnreachable:
      return "unreachable";
  }
  return "";
}

void
HandleOperatorConfirmationRequest(VmState& aState,
                                  const OperatorConfirmationRequest& aEvent,
                                  TimePoint aNow,
                                  Effects& aEffects)
{
  constexpr Duration kBudget = std::chrono::seconds(2);
  Collection collection;
  collection.mToken = aEvent.mToken;
  AddSelf(aState, aEvent.mRevision, collection);
  AwaitChildren(aState, aState.mSelf.mId, collection);
  for (const auto& [zone, vms] : aState.mMembership.mLiveByZone) {
    if (zone != aState.mSelf.mZone) {
      const VmId root = vms[aState.mRandom.Below(vms.size())];
      collection.mAwaited.push_back({ root, root, zone });
    }
  }
  Collect(
    aState, std::move(collection), aEvent.mRevision, kBudget, aNow, aEffects);
}

void
HandleConfirmationRequest(VmState& aState,
                          VmId aPeer,
                          const Endpoint& aAddress,
                          const ConfirmationRequest& aRequest,
                          TimePoint aNow,
                          Effects& aEffects)
{
  Collection collection;
  collection.mReplyTo = aPeer;
  collection.mReplyAddress = aAddress;
  collection.mReplyId = aRequest.mId;
  AddSelf(aState, aRequest.mRevision, collection);
  AwaitChildren(aState, aRequest.mRoot, collection);
  Collect(aState,
          std::move(collection),
          aRequest.mRevision,
          aRequest.mBudget,
          aNow,
          aEffects);
}

void
HandleConfirmationReply(VmState& aState,
                        VmId aPeer,
                        const ConfirmationReply& aReply,
                        Effects& aEffects)
{
  const auto place = aState.mConfirmation.mCollections.find(aReply.mId);
  if (place == aState.mConfirmation.mCollections.end()) {
    return;
  }
  Collection& collection = place->second;
  const std::size_t removed =
    std::erase_if(collection.mAwaited, [aPeer](const AwaitedPart& aPart) {
      return aPart.mVm == aPeer;
    });
  if (removed == 0) {
    return;
  }
  AddReport(collection.mReport, aReply.mReport);
  if (collection.mAwaited.empty()) {
    Finish(aState, aReply.mId, aEffects);
  }
}

void
HandleConfirmationDeadline(VmState& aState,
                           std::uint64_t aId,
                           Effects& aEffects)
{
  const auto place = aState.mConfirmation.mCollections.find(aId);
  if (place == aState.mConfirmation.mCollections.end()) {
    return;
  }
  Collection& collection = place->second;
  for (const AwaitedPart& part : collection.mAwaited) {
    AddSubtree(aState.mMembership, part, collection.mReport);
  }
  Finish(aState, aId, aEffects);
}

} // namespace wasabispread
