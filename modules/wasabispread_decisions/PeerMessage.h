/*
 * Messages between VMs.
 */
#pragma once

#include "Answer.h"
#include "ControlMessage.h"

#include <wasabispread_organisations/wasabispread_organisations.h>

#include <optional>
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

/** Attempts of one request that a coordinator asks a target owner to run. A
    batch without attempts is a probe. */
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

/** The outcome of an attempt. */
enum class AttemptOutcome : std::uint8_t
{
  kAnswered,
  /** Proven not to have run. */
  kNotRun,
  /** May have run. */
  kUnknown,
};

/** The result of one attempt. mReason is only valid if it was not answered. */
struct ItemReply
{
  AttemptSequence mSequence;
  AttemptOutcome mOutcome = AttemptOutcome::kUnknown;
  MissingReason mReason = MissingReason::kTimeout;
  /** The snapshot version that the target answered from; 0 when it did not
      answer. */
  SnapshotVersion mSnapshot;
  /** The versions that the target reported to hold; empty when it reported
      none. */
  std::vector<SnapshotVersion> mHeldSnapshots;
  SharedBytes mBody;
};

/** Results of attempts of one incarnation of a coordinator, of any of its
    requests. */
struct BatchReply
{
  Incarnation mIncarnation;
  std::vector<ItemReply> mItems;
};

/** Attempts whose results the coordinator no longer needs. */
struct BatchCancel
{
  Incarnation mIncarnation;
  std::vector<AttemptSequence> mSequences;
};

/** Asks for a routing configuration newer than a version; 0 asks for any. */
struct RoutingRequest
{
  std::uint64_t mKnownVersion = 0;
  std::uint64_t mSequence = 0;
};

/** A target as it registered with the store. Only targets in use are sent. */
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

/** The routing that a VM knows. */
struct RoutingReply
{
  /** The configuration as it is stored; empty when the sender has none
      that is newer. */
  SharedBytes mText;
  /** All targets; empty when the store does not answer the sender. */
  std::vector<RegisteredTarget> mTargets;
  /** RoutingRequest::mSequence of the request. */
  std::uint64_t mSequence = 0;
  /** How old the sender's knowledge is at most; none when the store does not
      answer it. */
  std::optional<Duration> mAge;
  /** The zones whose targets get no requests. */
  std::vector<ZoneName> mEvacuatedZones;
};

/** A header field of a request. */
struct RelayedField
{
  std::string mName;
  std::string mValue;
};

/** Asks another VM to query some shards of a search and to merge their results.
    The sender and mSequence identify a sub-search. */
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
  /** At how many targets the request may run at most, for each shard. */
  std::uint32_t mMaxTargets = 1;
  /** The time left until a partial result is wanted. */
  Duration mSoftTimeout{};
  /** The time left until the caller's timeout. */
  Duration mCallerTimeout{};
  /** With fewer of these shards the search cannot reach its minimum
      coverage. */
  std::uint32_t mMinShards = 0;
  /** The name of the organisation whose search it is; empty when it has
      none. */
  std::string mOrganisation;
  /** The rank of the organisation or else of the route, and of the route. */
  std::uint32_t mRank = 0;
  std::uint32_t mRouteRank = 0;
  /** The regions whose targets may serve it; empty for all. */
  std::vector<std::string> mRegions;
};

/** The results of a sub-search's shards since its previous reply. The first
    reply is sent at once and is empty: it states that the work has begun. */
struct SubSearchReply
{
  std::uint64_t mSequence = 0;
  /** Positions in SubSearch::mShards, and the signature of each. */
  std::vector<std::uint32_t> mShards;
  std::vector<std::string> mSignatures;
  /** The top records of these shards. */
  std::string mRecords;
  bool mIsLast = false;
  /** Whether no work has begun, because the VM is stopping or knows no
      targets. */
  bool mIsRefused = false;
  /** Whether the VM reaches no targets in other availability zones. */
  bool mIsIsolated = false;
  /** Not zero when the sub-search was refused because the targets' request
      limits leave too few shards: how long until they do not. */
  Duration mRetryAfter{};
};

/** States that the first reply arrived in time. Before this message a shard is
    sent to one target only, as the requesting VM may send it to another one. */
struct SubSearchConfirm
{
  std::uint64_t mSequence = 0;
};

/** Cancels a sub-search whose result is no longer needed. */
struct SubSearchCancel
{
  std::uint64_t mSequence = 0;
  /** Whether the caller has disconnected, so that targets should stop their
      work. */
  bool mIsCallerDisconnected = false;
};

/** Asks a VM of the same zone for changes in the store. It answers when there
    are any, or after a short wait. */
struct ChangesRequest
{
  std::uint64_t mSequence = 0;
  /** The sender knows all changes up to this revision of the store. */
  std::uint64_t mAfter = 0;
  /** The era of the store to which that revision belongs. */
  std::uint64_t mEra = 0;
};

/** The store's answer to one watch, compressed. */
struct CompressedText
{
  std::string mCompressed;
  /** The size before compression. */
  std::uint32_t mSize = 0;
};

/** The changes in the store after the revision of a ChangesRequest, and
    possibly some before it. */
struct ChangesReply
{
  std::uint64_t mSequence = 0;
  /** Whether the VM cannot give these changes, because it no longer has them or
      is unavailable. */
  bool mIsRefused = false;
  /** Whether the VM gives no changes to anyone: the store does not answer it,
     or it is stopping. */
  bool mIsUnavailable = false;
  /** How old the VM's knowledge of the store is. */
  Duration mAge{};
  std::vector<std::shared_ptr<const CompressedText>> mTexts;
  /** How old the VM's knowledge is beyond doubt, at most; none when it cannot
      tell. */
  std::optional<Duration> mSoundAge;
  /** The era of the store to which the texts belong. */
  std::uint64_t mEra = 0;
};

/** States the revision that the store had a while ago. */
struct RevisionReport
{
  std::uint64_t mRevision = 0;
  /** How long ago the sender asked the store for it. */
  Duration mAge{};
  /** The era of the store to which the revision belongs. */
  std::uint64_t mEra = 0;
};

/** Asks the VM that grants the quota of these organisations for more, and
    states what was used. */
struct QuotaRequest
{
  std::uint64_t mSequence = 0;
  /** Differs between the processes that a VM runs one after the other. */
  std::uint64_t mSession = 0;
  /** Whether a VM of the zone asks for quota that it uses at once. The answer
     to each need is a reply of its own, whose grants count only this answer. */
  bool mIsForZone = false;
  std::vector<QuotaNeed> mNeeds;
};

struct QuotaReply
{
  std::uint64_t mSequence = 0;
  /** How long the grants are valid, counted from when the request was sent. */
  Duration mValid{};
  std::vector<QuotaGrant> mGrants;
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
                                 SubSearchConfirm,
                                 ChangesRequest,
                                 ChangesReply,
                                 RevisionReport,
                                 QuotaRequest,
                                 QuotaReply>;

} // namespace wasabispread
