/*
 * The events that the forwarding reducer handles.
 */
#pragma once

#include "StoreMessage.h"

namespace wasabispread::forwarding {

/** The process has started. This is the first event. */
struct ForwarderStarted
{};

/** A caller's request was read completely. */
struct RequestArrived
{
  ForwardedRequestPointer mRequest;
};

/** A caller closed its connection before it was answered. */
struct ForwarderCallerDisconnected
{
  CallerToken mToken;
};

/** The answer to a caller was written, or could not be written. */
struct AnswerWritten
{
  CallerToken mToken;
};

/** A connection requested by OpenConnection is ready. */
struct ConnectionOpened
{
  ConnectionId mConnection;
};

/** A connection requested by OpenConnection could not be opened. */
struct ConnectionRefused
{
  ConnectionId mConnection;
};

/** A connection to a target ended. */
struct ConnectionEnded
{
  ConnectionId mConnection;
  /** Whether any byte of the request in flight may have been sent. */
  bool mIsRequestWritten = false;
};

/** The complete reply to the request in flight arrived. */
struct ReplyArrived
{
  ConnectionId mConnection;
  Reply mReply;
};

/** ListStore completed or failed. */
struct EntriesListed
{
  Result<StoreContent> mResult;
};

/** WatchStore completed or failed. */
struct ChangesWatched
{
  Result<StoreChanges> mResult;
};

/** CheckStore completed or failed. */
struct StoreChecked
{
  Result<StoreRevision> mResult;
  /** The era of the store to which the revision belongs. */
  std::uint64_t mEra = 0;
};

/** GrantLease completed or failed. */
struct LeaseGranted
{
  Result<LeaseId> mResult;
  LeasePurpose mPurpose = LeasePurpose::kMembership;
};

/** WriteMember completed or failed. */
struct MemberWritten
{
  Result<std::monostate> mResult;
};

/** ClaimQuota completed or failed. The revision is that of the claims; none
    when another VM was faster. */
struct QuotaClaimed
{
  Result<std::optional<StoreRevision>> mResult;
};

/** Another VM asks this one for quota. */
struct QuotaRequested
{
  VmId mVm;
  Endpoint mAddress;
  QuotaRequest mRequest;
};

/** Another VM answered a QuotaRequest. */
struct QuotaReplied
{
  VmId mVm;
  QuotaReply mReply;
};

/** The machine did not run for a time that the steady clock does not count. */
struct MachineSuspended
{
  Duration mTime{};
};

/** RenewLease completed or failed. The value is false when the lease has
    ended. */
struct LeaseRenewed
{
  Result<bool> mResult;
  LeasePurpose mPurpose = LeasePurpose::kMembership;
};

/** Another VM answered RequestPeerRouting. */
struct PeerRouting
{
  std::string mPeer;
  /** A newer configuration, if the VM has one. */
  std::optional<Result<ConfigurationChange>> mConfiguration;
  /** All targets in use; empty when the store is unavailable to that VM too. */
  std::vector<RegisteredTarget> mTargets;
  /** The sequence of the request. */
  std::uint64_t mSequence = 0;
  /** How old that VM's knowledge was at most; none when it did not say. */
  std::optional<Duration> mAge;
  std::vector<ZoneName> mEvacuatedZones;
};

/** Another VM asks for changes in the store. */
struct ChangesRequested
{
  VmId mVm;
  Endpoint mAddress;
  ChangesRequest mRequest;
};

/** Another VM answered a ChangesRequest. */
struct PeerChanges
{
  std::uint64_t mSequence = 0;
  bool mIsRefused = false;
  bool mIsUnavailable = false;
  Duration mAge{};
  /** As mAge, but beyond doubt; none when that VM cannot tell. */
  std::optional<Duration> mSoundAge;
  /** The era of the store to which the changes belong. */
  std::uint64_t mEra = 0;
  /** One for each answer of the store, in their order. */
  std::vector<StoreChanges> mChanges;
};

/** Another VM read the store's revision. */
struct RevisionReported
{
  StoreRevision mRevision;
  /** How long ago the store had this revision. */
  Duration mAge{};
  std::uint64_t mEra = 0;
};

/** Another VM asks this one, as a shard owner, to query shards for a search. */
struct SubSearchArrived
{
  VmId mVm;
  Endpoint mAddress;
  SubSearch mSearch;
  /** The search request as it is sent to targets. */
  ForwardedRequestPointer mRequest;
};

/** Another VM cancelled a sub-search. */
struct SubSearchCancelled
{
  VmId mVm;
  SubSearchCancel mCancel;
};

/** Another VM confirmed that it knows its sub-search has begun here. */
struct SubSearchConfirmed
{
  VmId mVm;
  SubSearchConfirm mConfirm;
};

/** Another VM replied to a sub-search. */
struct SubSearchReplied
{
  VmId mVm;
  Endpoint mAddress;
  SubSearchReply mReply;
};

/** The connection to another VM broke. */
struct VmLost
{
  VmId mVm;
};

/** The process was asked to stop. */
struct ForwarderStopRequested
{
  /** How long the stop may take. */
  Duration mGrace = std::chrono::seconds(6);
};

/** A timer is due. Sent when the time of ForwarderState::NextDue() is
    reached. */
struct ForwarderTick
{};

using ForwarderEvent = std::variant<ForwarderStarted,
                                    RequestArrived,
                                    ForwarderCallerDisconnected,
                                    AnswerWritten,
                                    ConnectionOpened,
                                    ConnectionRefused,
                                    ConnectionEnded,
                                    ReplyArrived,
                                    EntriesListed,
                                    ChangesWatched,
                                    StoreChecked,
                                    LeaseGranted,
                                    MemberWritten,
                                    QuotaClaimed,
                                    QuotaRequested,
                                    QuotaReplied,
                                    MachineSuspended,
                                    LeaseRenewed,
                                    PeerRouting,
                                    ChangesRequested,
                                    PeerChanges,
                                    RevisionReported,
                                    SubSearchArrived,
                                    SubSearchCancelled,
                                    SubSearchConfirmed,
                                    SubSearchReplied,
                                    VmLost,
                                    ForwarderStopRequested,
                                    ForwarderTick>;

} // namespace wasabispread::forwarding
