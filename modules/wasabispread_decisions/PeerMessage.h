/*
 * Messages between VMs.
 */
#pragma once

#include "Answer.h"
#include "ControlMessage.h"

#include <variant>
#include <vector>

namespace wasabispread {

/** One attempt at one shard. */
struct BatchItem
{
  AttemptSequence mSequence;
  TargetId mTarget;
  ShardIndex mShard;
};

/** What an entry asks of a target owner: attempts of one request. */
struct BatchRequest
{
  Incarnation mIncarnation;
  RequestId mRequestId;
  ServiceId mService;
  Revision mRevision;
  Operation mOperation = Operation::kSearch;
  /** 0 asks each target for its newest version. */
  SnapshotVersion mSnapshot;
  std::string mKey;
  SharedBytes mBody;
  /** The time left when the message was sent. */
  Duration mBudget{};
  std::vector<BatchItem> mItems;
};

/** What became of an attempt. */
enum class AttemptOutcome : std::uint8_t
{
  kAnswered,
  /** Proven not to have run. */
  kNotRun,
  /** May have run. */
  kUnknown,
};

/** The end of one attempt. mReason has meaning unless it was answered. */
struct ItemReply
{
  AttemptSequence mSequence;
  AttemptOutcome mOutcome = AttemptOutcome::kUnknown;
  MissingReason mReason = MissingReason::kTimeout;
  /** The version the target answered from; 0 when it did not answer. */
  SnapshotVersion mSnapshot;
  /** Every version the target said it holds; empty when it did not say. */
  std::vector<SnapshotVersion> mHeldSnapshots;
  SharedBytes mBody;
};

/** Ended attempts of one entry incarnation, from any of its requests. */
struct BatchReply
{
  Incarnation mIncarnation;
  std::vector<ItemReply> mItems;
};

/** Attempts whose results the entry no longer wants. */
struct BatchCancel
{
  Incarnation mIncarnation;
  std::vector<AttemptSequence> mSequences;
};

/** Asks for a routing configuration newer than a version; 0 for any. */
struct RoutingRequest
{
  std::uint64_t mKnownVersion = 0;
};

/** A target as it registered with the store; only those in use are told. */
struct RegisteredTarget
{
  std::string mInstance;
  std::uint64_t mBorn = 0;
  std::uint64_t mSequence = 0;
  ServiceId mService;
  Endpoint mAddress;
  ZoneName mZone;
  std::uint32_t mSlots = 1;
};

/** What a VM knows of the routing. */
struct RoutingReply
{
  /** The configuration as the store holds it; empty when the sender has none
      that is newer. */
  SharedBytes mText;
  /** All targets; none from a VM to which the store does not answer. */
  std::vector<RegisteredTarget> mTargets;
};

using PeerMessage = std::variant<BatchRequest,
                                 BatchReply,
                                 BatchCancel,
                                 MemberProbe,
                                 MembersRequest,
                                 MembersReply,
                                 ConfigurationOffer,
                                 SectionsRequest,
                                 SectionsReply,
                                 ConfirmationRequest,
                                 ConfirmationReply,
                                 RoutingRequest,
                                 RoutingReply>;

} // namespace wasabispread
