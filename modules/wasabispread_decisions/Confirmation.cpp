/*
 * Collects confirmations along trees of VMs.
 */
#include "wasabispread_decisions.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** The part of the budget that each level of a tree reserves for its answer to
    the level above. */
constexpr Duration kLevelTime = std::chrono::milliseconds(200);
constexpr Duration kMinBudget = std::chrono::milliseconds(100);

void
AddUnconfirmed(ConfirmationReport& aReport, UnconfirmedVm aVm)
{
  ++aReport.mUnconfirmed;
  if (aReport.mListed.size() < kMaxListedVms) {
    aReport.mListed.push_back(aVm);
  }
}

void
AddReport(ConfirmationReport& aReport, const ConfirmationReport& aPart)
{
  aReport.mConfirmed += aPart.mConfirmed;
  aReport.mUnconfirmed += aPart.mUnconfirmed;
  for (const UnconfirmedVm& vm : aPart.mListed) {
    if (aReport.mListed.size() < kMaxListedVms) {
      aReport.mListed.push_back(vm);
    }
  }
}

/** Adds this VM's own status to a collection. */
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
LiveVmsIn(const MembershipState& aMembership, const ZoneName& aZone)
{
  static const std::vector<VmId> kNone;
  const auto zone = aMembership.mLiveByZone.find(aZone);
  return zone == aMembership.mLiveByZone.end() ? kNone : zone->second;
}

/** Counts a VM and all its descendants in the tree as unreachable. */
void
AddUnreachableSubtree(const MembershipState& aMembership,
                      const AwaitedSubtree& aSubtree,
                      ConfirmationReport& aReport)
{
  const std::vector<VmId>& vms = LiveVmsIn(aMembership, aSubtree.mZone);
  std::vector<VmId> toVisit{ aSubtree.mVm };
  while (!toVisit.empty()) {
    const VmId vm = toVisit.back();
    toVisit.pop_back();
    AddUnconfirmed(aReport,
                   { vm, UnconfirmedReason::kUnreachable, Revision{} });
    const auto children = ChildrenInTree(vms, aSubtree.mRoot, vm);
    toVisit.insert(toVisit.end(), children.begin(), children.end());
  }
}

void
FinishCollection(VmState& aState, std::uint64_t aId, Effects& aEffects)
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

/** Sends requests to the awaited VMs and arms the deadline. Ends the collection
    at once when there are none. */
void
Collect(VmState& aState,
        Collection aCollection,
        Revision aRevision,
        Duration aBudget,
        TimePoint aNow,
        Effects& aEffects)
{
  const std::uint64_t id = aState.mConfirmation.mNextId++;
  const Duration childBudget = std::max(kMinBudget, aBudget - kLevelTime);
  for (const AwaitedSubtree& subtree : aCollection.mAwaited) {
    const Endpoint address =
      aState.mMembership.mMembers.at(subtree.mVm).mPeerAddress;
    SendToVm(aState,
             subtree.mVm,
             address,
             ConfirmationRequest{ id, aRevision, subtree.mRoot, childBudget },
             aEffects);
  }
  const bool isDone = aCollection.mAwaited.empty();
  aState.mConfirmation.mCollections.emplace(id, std::move(aCollection));
  if (isDone) {
    FinishCollection(aState, id, aEffects);
    return;
  }
  aState.mTimers.Arm(aNow + aBudget, TimerKind::kConfirmation, id);
}

void
AwaitChildren(const VmState& aState, VmId aRoot, Collection& aCollection)
{
  const ZoneName& zone = aState.mSelf.mZone;
  const std::vector<VmId>& vms = LiveVmsIn(aState.mMembership, zone);
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
  const auto found = aState.mConfirmation.mCollections.find(aReply.mId);
  if (found == aState.mConfirmation.mCollections.end()) {
    return;
  }
  Collection& collection = found->second;
  const std::size_t removed =
    std::erase_if(collection.mAwaited, [aPeer](const AwaitedSubtree& aSubtree) {
      return aSubtree.mVm == aPeer;
    });
  if (removed == 0) {
    return;
  }
  AddReport(collection.mReport, aReply.mReport);
  if (collection.mAwaited.empty()) {
    FinishCollection(aState, aReply.mId, aEffects);
  }
}

void
HandleConfirmationDeadline(VmState& aState,
                           std::uint64_t aId,
                           Effects& aEffects)
{
  const auto found = aState.mConfirmation.mCollections.find(aId);
  if (found == aState.mConfirmation.mCollections.end()) {
    return;
  }
  Collection& collection = found->second;
  for (const AwaitedSubtree& subtree : collection.mAwaited) {
    AddUnreachableSubtree(aState.mMembership, subtree, collection.mReport);
  }
  FinishCollection(aState, aId, aEffects);
}

} // namespace wasabispread
