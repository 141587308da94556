/*
 * A node's part as target owner: connections and the attempts on them.
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

/** Identifies a batch held by one owner. */
using BatchId = StrongType<struct BatchIdTag, std::uint64_t>;

/** A batch with attempts that have not ended. */
struct HeldBatch
{
  VmId mCoordinator;
  Endpoint mEntryAddress;
  BatchRequest mRequest;
  TimePoint mDeadline;
  std::uint32_t mOpenItems = 0;
};

/** An attempt that has not ended. */
struct HeldItem
{
  BatchId mBatch;
  TargetId mTarget;
  ShardIndex mShard;
  /** Whether it waits in its target's queue. */
  bool mIsQueued = false;
  /** The two below have meaning once this is set. */
  bool mSent = false;
  TimePoint mSentAt;
  ConnectionId mConnection;
};

/** What a connection is at. */
enum class ConnectionUse : std::uint8_t
{
  kOpening,
  kIdle,
  /** A reply to an attempt is still to come. */
  kRequest,
  /** A reply to a cancellation is still to come. */
  kCancel,
};

/** A connection to a target. */
struct TargetConnection
{
  TargetId mTarget;
  ConnectionUse mUse = ConnectionUse::kOpening;
  /** The attempt in flight; kept when the attempt ended before its reply. */
  AttemptId mAttempt;
  /** When the connection is closed for want of the reply it is owed. */
  TimePoint mOwedUntil = TimePoint::max();
};

/** A connection that can take a request. */
struct IdleConnection
{
  ConnectionId mConnection;
  TimePoint mSince;
};

/** All connections to one target. Invariant: mOpened counts the open
    connections, mBusy those of them in use for a request; mIdle holds open
    connections without a reply owed; mWaiting counts the attempts of mQueue
    that have not ended. */
struct TargetPool
{
  Endpoint mAddress;
  /** Connections this VM may hold; more than these are closed once idle. */
  std::uint32_t mShare = 0;
  std::uint32_t mOpening = 0;
  std::uint32_t mOpened = 0;
  std::uint32_t mBusy = 0;
  std::uint32_t mWaiting = 0;
  /** The longest idle come first. */
  std::deque<IdleConnection> mIdle;
  std::deque<AttemptId> mQueue;
  /** Mean time from sending to reply, in nanoseconds; 0 before the first. */
  double mServiceTime = 0;
  ConcurrencyLimit mLimit;
  std::uint32_t mConnectFailures = 0;
  /** No connection is opened before this time. */
  TimePoint mConnectAfter{};
  /** No work is sent before this time, since the target is leaving. */
  TimePoint mHeldUntil{};
  /** Whether one request at a time tries whether the target is back. */
  bool mIsOnTrial = false;
  /** Answered requests since the target first reported to be leaving. */
  std::uint32_t mAnswersWhileLeaving = 0;
  bool mHasIdleTimer = false;

  /** Connections open or opening. */
  std::uint32_t Connections() const { return mOpened + mOpening; }
};

/** Replies that wait to be sent to one entry. */
struct ReplyOutbox
{
  Endpoint mAddress;
  Incarnation mIncarnation;
  std::vector<ItemReply> mItems;
};

/** The attempts of one entry that were taken in. */
struct CoordinatorRecord
{
  Incarnation mIncarnation;
  ReplayWindow mWindow;
  TimePoint mLastHeard;
};

/** All that an owner remembers. */
struct TargetOwnerState
{
  std::uint64_t mNextBatch = 1;
  std::uint64_t mNextConnection = 1;
  std::unordered_map<BatchId, HeldBatch> mBatches;
  std::unordered_map<AttemptId, HeldItem> mItems;
  std::unordered_map<TargetId, TargetPool> mPools;
  std::unordered_map<ConnectionId, TargetConnection> mConnections;
  std::unordered_map<VmId, ReplyOutbox> mOutboxes;
  std::unordered_map<VmId, CoordinatorRecord> mCoordinators;
};

} // namespace wasabispread
