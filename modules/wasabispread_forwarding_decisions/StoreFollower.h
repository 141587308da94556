/*
 * Follows the store: lists its entries once, and then watches for changes.
 */
#pragma once

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"

#include <optional>

namespace wasabispread::forwarding {

struct ForwarderState;

/** A call that was made to follow the store and has not been answered. */
struct PendingStoreCall
{
  enum class Kind : std::uint8_t
  {
    kList,
    kWatch,
    /** A request to the VM of the zone that watches. */
    kRelay,
  };

  Kind mKind = Kind::kList;
  TimePoint mSince{};
  /** How long the answer may take without being late. */
  Duration mWait{};
};

/** The state of following the store. Invariant: at most one call to follow it
    is in progress. */
struct StoreState
{
  /** Whether its entries, and the changes since, were read at least once. */
  bool mIsLoaded = false;
  /** Whether the listed entries may be old, so that the changes since are read
      at once; after the first list, before anything is decided by them. */
  bool mIsCatchingUp = false;
  /** The revision of the newest page of the last list. */
  StoreRevision mNewestListed;
  /** Whether the next call lists all entries instead of watching for
      changes. */
  bool mNeedsList = true;
  /** All changes up to this revision are applied. */
  StoreRevision mRevision;
  /** Whether the newest configuration in the store cannot be read, so that the
      one in force is not the newest and nothing is known of what it
      withdrew. */
  bool mIsConfigurationUnreadable = false;
  /** The version of the newest configuration in the store that can be read. It
      differs from the one in force while the store has an older one. */
  ConfigurationVersion mConfigurationVersion;
  /** Whether the next list must not be old. */
  bool mNeedsFreshList = false;
  /** When the store last answered a list or a watch. */
  TimePoint mLastReply{};
  std::optional<PendingStoreCall> mPendingCall;
  /** The number of watches so far, which identifies the one under way. */
  std::uint64_t mWatchNumber = 0;
  /** The number of consecutive calls that failed. */
  unsigned mFailures = 0;
  TimePoint mLastFailure{};
  TimePoint mLastDirectCall{};
  /** When the store last stated that it no longer has the requested changes. */
  TimePoint mLastHistoryLost{};
  /** Since when calls fail; TimePoint::max() while they do not. */
  TimePoint mUnavailableSince = TimePoint::max();
  /** When calls were answered again after failures; far in the past when none
      ever failed. */
  TimePoint mAvailableAgainSince{};

  bool IsUnavailable() const { return mUnavailableSince != TimePoint::max(); }
};

/** How long changes may accumulate before they are read. One read returns them
    all, and the reads of all VMs add up: the more VMs follow the store, the
    longer the interval. */
Duration
FollowInterval(std::size_t aVms);

/** Writes a record when the store, or the VM that watches for this one, has not
    answered for a while. Called at the start and whenever the kReportSilence
    timer fires. */
void
ReportStoreSilence(ForwarderState& aState,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

/** Makes the next call to follow the store: a list, a watch, or a request to
    the VM of the zone that watches. */
void
FollowStore(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects);

/** As FollowStore(), without another VM. */
void
FollowStoreDirectly(ForwarderState& aState,
                    TimePoint aNow,
                    ForwarderEffects& aEffects);

/** Follows the store itself for a while, because another VM did not give
    changes. Such calls keep the interval between reads. */
void
FollowStoreAfterRefusal(ForwarderState& aState,
                        TimePoint aNow,
                        ForwarderEffects& aEffects);

/** Tries the store again before the retry is due, because another VM reports
    that it is available. */
void
RetryStoreSooner(ForwarderState& aState,
                 TimePoint aNow,
                 ForwarderEffects& aEffects);

/** As RetryStoreSooner(), at a time that differs between VMs, because the VM
    that watches for the zone reports the store's revision to all of it. */
void
RetryStoreAfterReport(ForwarderState& aState, TimePoint aNow);

/** Applies changes that another VM passed on. */
void
ApplyRelayedChanges(ForwarderState& aState,
                    const std::vector<StoreChanges>& aChanges,
                    TimePoint aNow,
                    ForwarderEffects& aEffects);

/** Handles a call that the store did not answer: tries again later, and asks
    other VMs meanwhile. */
void
HandleStoreFailure(ForwarderState& aState,
                   const Error& aError,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

void
HandleEntriesListed(ForwarderState& aState,
                    EntriesListed aEvent,
                    TimePoint aNow,
                    ForwarderEffects& aEffects);

void
HandleChangesWatched(ForwarderState& aState,
                     ChangesWatched aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects);

/** Adopts a configuration from the store or from another VM. An older version,
    or the same one, changes nothing. */
void
AdoptConfiguration(ForwarderState& aState,
                   const ConfigurationChange& aChange,
                   std::string_view aSource,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

} // namespace wasabispread::forwarding
