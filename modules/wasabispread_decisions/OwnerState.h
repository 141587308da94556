/*
 * A node's part as target owner: connections and the attempts on them.
 */
#pragma once

#include "PeerMessage.h"
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
  VmId mEntry;
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
  /** The two below have meaning once this is set. */
  bool mSent = false;
  TimePoint mSentAt;
  ConnectionId mConnection;
};

/** A connection to a target. */
struct TargetConnection
{
  TargetId mTarget;
  bool mOpen = false;
  /** Whether a reply is still to come. */
  bool mBusy = false;
  /** The attempt in flight; kept when the attempt ended before its reply. */
  AttemptId mAttempt;
};

/** All connections to one target. Invariant: mOpening + mOpened never exceeds
    mShare; mIdle holds open connections without a reply owed. */
struct TargetPool
{
  Endpoint mAddress;
  std::uint32_t mShare = 0;
  std::uint32_t mOpening = 0;
  std::uint32_t mOpened = 0;
  std::vector<ConnectionId> mIdle;
  std::deque<AttemptId> mQueue;
  /** Mean time from sending to reply, in nanoseconds; 0 before the first. */
  double mServiceTime = 0;
  std::uint32_t mConnectFailures = 0;
  /** No connection is opened before this time. */
  TimePoint mConnectAfter{};
};

/** Replies that wait to be sent to one entry. */
struct ReplyOutbox
{
  Endpoint mAddress;
  Incarnation mIncarnation;
  std::vector<ItemReply> mItems;
};

/** All that an owner remembers. */
struct OwnerState
{
  std::uint64_t mNextBatch = 1;
  std::uint64_t mNextConnection = 1;
  std::unordered_map<BatchId, HeldBatch> mBatches;
  std::unordered_map<AttemptId, HeldItem> mItems;
  std::unordered_map<TargetId, TargetPool> mPools;
  std::unordered_map<ConnectionId, TargetConnection> mConnections;
  std::unordered_map<VmId, ReplyOutbox> mOutboxes;
};

} // namespace wasabispread
