/*
 * Passes changes of the store on between the VMs of a zone, so that one VM
 * watches the store for all of them. This handles large fleets: calls to the
 * store are limited and paid for, and each VM's own watch would add to them.
 *
 * Each VM keeps the store's last answers and gives them to VMs that ask. A VM
 * that gets no answer, or one that is not fresh, follows the store itself.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"
#include "Membership.h"

#include <deque>
#include <map>
#include <optional>

namespace wasabispread::forwarding {

struct ForwarderState;

/** One answer of the store to a watch. */
struct KnownChanges
{
  /** The revision after its last change. */
  StoreRevision mRevision;
  std::shared_ptr<const CompressedText> mText;
};

/** A VM that waits for changes. */
struct WaitingVm
{
  Endpoint mAddress;
  std::uint64_t mSequence = 0;
  StoreRevision mAfter;
  /** The era of the store to which mAfter belongs. */
  std::uint64_t mEra = 0;
  /** When it gets an answer even without changes. */
  TimePoint mAnswerAt{};
};

/** The changes that this VM asked another VM for. */
struct AwaitedChanges
{
  std::string mVm;
  std::uint64_t mSequence = 0;
  TimePoint mTimeout{};
};

/** Both sides of the relay. Invariant: mKnown holds all changes after mStart up
    to the revision that the VM follows, in their order. */
struct ChangeRelay
{
  std::deque<KnownChanges> mKnown;
  StoreRevision mStart;
  std::size_t mKnownBytes = 0;
  std::map<VmId, WaitingVm> mWaiting;
  /** Until when this VM follows the store itself because others ask it. */
  TimePoint mIsAskedUntil{};
  std::optional<AwaitedChanges> mAwaited;
  std::uint64_t mNextSequence = 1;
};

/** The VM of this zone that is asked for changes; none when this VM follows the
    store itself. */
std::optional<std::string>
ChooseRelay(const ForwarderState& aState, TimePoint aNow);

/** The VMs that watch the store themselves, in an order that all VMs share:
    all VMs of a small zone, and of any other the one that is asked first. */
std::vector<const Member*>
Followers(const ForwarderState& aState);

/** The number of VMs that follow the store itself. */
std::size_t
CountFollowers(const ForwarderState& aState);

/** Whether other VMs ask this one for changes. */
bool
IsAsked(const ForwarderState& aState, TimePoint aNow);

/** Asks another VM of the zone for changes. */
void
AskForChanges(ForwarderState& aState,
              const std::string& aVm,
              TimePoint aNow,
              ForwarderEffects& aEffects);

/** Keeps an answer of the store, and passes it on to the VMs that wait. */
void
KeepChanges(ForwarderState& aState,
            StoreRevision aRevision,
            std::shared_ptr<const CompressedText> aText,
            TimePoint aNow,
            ForwarderEffects& aEffects);

/** Forgets the changes kept: all entries were listed at a revision. */
void
ForgetChanges(ChangeRelay& aRelay, StoreRevision aRevision);

/** Tells the VMs that wait that this VM has no changes for them. */
void
RefuseWaitingVms(ForwarderState& aState,
                 TimePoint aNow,
                 ForwarderEffects& aEffects);

/** Answers the VMs that have waited long enough. */
void
HandleChangesReplyDue(ForwarderState& aState,
                      TimePoint aNow,
                      ForwarderEffects& aEffects);

void
HandleChangesRequested(ForwarderState& aState,
                       const ChangesRequested& aEvent,
                       TimePoint aNow,
                       ForwarderEffects& aEffects);

void
HandlePeerChanges(ForwarderState& aState,
                  const PeerChanges& aEvent,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** Follows the store itself when the VM that was asked did not answer. */
void
HandleRelayTimeout(ForwarderState& aState,
                   std::uint64_t aSequence,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

/** Handles a broken connection to a VM. */
void
HandleRelayLost(ForwarderState& aState,
                VmId aVm,
                TimePoint aNow,
                ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
