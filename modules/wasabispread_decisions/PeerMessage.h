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

/** A field of a request's header. */
struct RelayedField
{
  std::string mName;
  std::string mValue;
};

/** Asks another VM to query some shards of a search and to merge what they
    return. Identified by its sender and mSequence. */
struct SubSearch
{
  std::uint64_t mSequence = 0;
  RequestId mRequestId;
  std::string mMethod;
  std::string mTarget;
  std::vector<RelayedField> mFields;
  std::string mBody;
  /** The hash of the route's name. */
  std::uint64_t mRoute = 0;
  /** The services that hold the shards. */
  std::vector<ServiceId> mShards;
  std::uint32_t mTopRecords = 0;
  /** The most targets at which the request may run, for each shard. */
  std::uint32_t mMaxTargets = 1;
  /** How long until a partial result is wanted, and until the end. */
  Duration mSoftTimeout{};
  Duration mCallerTimeout{};
};

/** What shards of a sub-search returned since the reply before. The first
    reply comes at once and holds nothing: it says that the work began. */
struct SubSearchReply
{
  std::uint64_t mSequence = 0;
  /** Positions in SubSearch::mShards, and the proof of each. */
  std::vector<std::uint32_t> mShards;
  std::vector<std::string> mSignatures;
  /** The greatest records of these shards. */
  std::string mRecords;
  bool mIsLast = false;
  /** Nothing was begun: the VM is stopping or knows no targets. */
  bool mIsRefused = false;
  /** The VM reaches no targets in other availability zones. */
  bool mIsIsolated = false;
};

/** Says that the first reply came in time. Until then a shard is sent to one
    target only, since the asking VM may be sending it to another. */
struct SubSearchConfirm
{
  std::uint64_t mSequence = 0;
};

/** A sub-search whose result is no longer wanted. */
struct SubSearchCancel
{
  std::uint64_t mSequence = 0;
  /** Whether the caller left, so that targets should stop their work. */
  bool mIsCallerDisconnected = false;
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
                                 RoutingReply,
                                 SubSearch,
                                 SubSearchReply,
                                 SubSearchCancel,
                                 SubSearchConfirm>;

} // namespace wasabispread
