/*
 * The state of a VM as target owner: connections to targets and the attempts on
 * them.
 */
#pragma once

#include "ConcurrencyLimit.h"
#include "PeerMessage.h"
#include "ReplayWindow.h"
#include "TargetMessage.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace wasabispread {

/** Identifies a batch within one target owner. */
using BatchId = StrongType<struct BatchIdTag, std::uint64_t>;

/** A batch with attempts that have not ended. */
struct PendingBatch
{
  /** The VM that sent the batch, and where the replies go. */
  VmId mCoordinator;
  Endpoint mCoordinatorAddress;
  BatchRequest mRequest;
  TimePoint mDeadline;
  /** How many attempts of the batch have not ended. */
  std::uint32_t mPendingItems = 0;
};

/** An attempt that has not ended. */
struct PendingAttempt
{
  BatchId mBatch;
  TargetId mTarget;
  ShardIndex mShard;
  /** Whether it waits in its target's queue. */
  bool mIsQueued = false;
  /** Whether it was sent to the target. mSentAt and mConnection are only valid
      then. */
  bool mSent = false;
  TimePoint mSentAt;
  ConnectionId mConnection;
};

/** What a connection is used for at present. */
enum class ConnectionUse : std::uint8_t
{
  kOpening,
  kIdle,
  /** A request is in flight. */
  kRequest,
  /** A cancellation is in flight. */
  kCancel,
};

/** A connection to a target. */
struct TargetConnection
{
  TargetId mTarget;
  ConnectionUse mUse = ConnectionUse::kOpening;
  /** The attempt in flight. It stays set when the attempt has ended before its
      reply arrived. */
  AttemptId mAttempt;
  /** When the connection is closed if the late reply has not arrived. */
  TimePoint mLateReplyDeadline = TimePoint::max();
};

/** A connection that can take a request. */
struct IdleConnection
{
  ConnectionId mConnection;
  /** Since when it has been idle. */
  TimePoint mSince;
};

/** All connections to one target and the attempts that wait for it. Invariants:
    mOpened counts the open connections, mBusy those of them with a request in
    flight; mIdle holds open connections on which no reply is awaited; mWaiting
    counts the attempts of mQueue that have not ended. */
struct TargetPool
{
  Endpoint mAddress;
  /** How many connections this VM may hold. Those beyond are closed once
      idle. */
  std::uint32_t mShare = 0;
  std::uint32_t mOpening = 0;
  std::uint32_t mOpened = 0;
  std::uint32_t mBusy = 0;
  std::uint32_t mWaiting = 0;
  /** The connections that have been idle longest come first. */
  std::deque<IdleConnection> mIdle;
  std::deque<AttemptId> mQueue;
  /** Mean time from sending to reply, in nanoseconds; 0 before the first. */
  double mServiceTime = 0;
  ConcurrencyLimit mLimit;
  /** Failed connects in a row. */
  std::uint32_t mConnectFailures = 0;
  /** No connection is opened before this time. */
  TimePoint mConnectAfter{};
  /** No attempt is sent before this time, because the target is leaving. */
  TimePoint mSuspendedUntil{};
  /** Whether the target is suspended. From mSuspendedUntil on, one request at a
      time is sent to find out whether it accepts requests again. */
  bool mIsSuspended = false;
  /** Requests answered while suspended, since the target first reported that it
      is leaving. */
  std::uint32_t mAnswersWhileLeaving = 0;
  /** Whether a timer that closes idle connections is armed. */
  bool mHasIdleTimer = false;

  /** Connections open or opening. */
  std::uint32_t Connections() const { return mOpened + mOpening; }
};

/** The replies collected for one coordinator. */
struct ReplyOutbox
{
  Endpoint mAddress;
  Incarnation mIncarnation;
  std::vector<ItemReply> mItems;
};

/** Which attempts of one coordinator were accepted. */
struct CoordinatorRecord
{
  Incarnation mIncarnation;
  ReplayWindow mWindow;
  /** When its last batch arrived. */
  TimePoint mLastHeard;
};

/** The whole state of a target owner. */
struct TargetOwnerState
{
  std::uint64_t mNextBatch = 1;
  std::uint64_t mNextConnection = 1;
  std::unordered_map<BatchId, PendingBatch> mBatches;
  std::unordered_map<AttemptId, PendingAttempt> mItems;
  std::unordered_map<TargetId, TargetPool> mPools;
  std::unordered_map<ConnectionId, TargetConnection> mConnections;
  std::unordered_map<VmId, ReplyOutbox> mOutboxes;
  std::unordered_map<VmId, CoordinatorRecord> mCoordinators;
};

} // namespace wasabispread
