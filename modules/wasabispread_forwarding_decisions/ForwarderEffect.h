/*
 * The effects that the forwarding reducer asks the runtime to perform.
 */
#pragma once

#include "DecisionRecord.h"
#include "StoreMessage.h"

namespace wasabispread::forwarding {

/** Send a caller its answer. */
struct AnswerRequest
{
  CallerToken mToken;
  RequestId mRequestId;
  CallerAnswer mAnswer;
};

/** Open a connection to a target. The result is ConnectionOpened or
    ConnectionRefused. */
struct OpenConnection
{
  ConnectionId mConnection;
  Endpoint mAddress;
  Duration mTimeout{};
};

/** Close a connection. No further event follows for it. */
struct CloseConnection
{
  ConnectionId mConnection;
};

/** Send a request on an idle connection. The result is ReplyArrived or
    ConnectionEnded. */
struct SendRequest
{
  ConnectionId mConnection;
  ForwardedRequestPointer mRequest;
  /** The only instance that may run the request. */
  InstanceId mInstance;
  /** How long this forwarder, as the target's caller, waits for the reply.
      Stated to the target. */
  Duration mCallerTimeout{};
  /** The largest reply body that is accepted, in bytes. */
  std::uint64_t mMaxReplyBytes = 0;
  /** The organisation that is stated to the target; empty for none. */
  std::string mOrganisation;
  /** Whether the fields that carry the caller's key are sent. */
  bool mForwardsCredentials = false;
};

/** Read all entries of the store. The result is EntriesListed. */
struct ListStore
{
  /** Whether the entries may be some seconds old, which costs the store
      less. */
  bool mMayBeOld = false;
};

/** Wait for changes in the store. The result is ChangesWatched. */
struct WatchStore
{
  StoreRevision mAfter;
  Duration mWait{};
};

/** Close the connection of the watch under way. No event follows for that
    watch. */
struct AbandonWatch
{};

/** Read the store's present revision on a connection of its own. The result is
    StoreChecked. */
struct CheckStore
{};

/** Request a lease from the store. The result is LeaseGranted. */
struct GrantLease
{
  Duration mLifetime{};
  LeasePurpose mPurpose = LeasePurpose::kMembership;
};

/** Write this VM's entry under a lease. The result is MemberWritten. */
struct WriteMember
{
  LeaseId mLease;
};

/** Write claims under a lease, all or none. The result is QuotaClaimed. */
struct ClaimQuota
{
  LeaseId mLease;
  std::vector<QuotaClaim> mClaims;
};

/** Renew a lease. The result is LeaseRenewed. */
struct RenewLease
{
  LeaseId mLease;
  LeasePurpose mPurpose = LeasePurpose::kMembership;
};

/** Revoke a lease. There is no result. */
struct EndLease
{
  LeaseId mLease;
};

/** Ask another VM for its routing: configuration and targets. The result, if
    the VM answers, is PeerRouting. */
struct RequestPeerRouting
{
  std::string mPeer;
  Endpoint mAddress;
  /** The version of the configuration that this VM has already. */
  ConfigurationVersion mKnownVersion;
  std::uint64_t mSequence = 0;
};

/** Send a message to another VM. */
struct SendPeerMessage
{
  VmId mVm;
  Endpoint mAddress;
  std::variant<SubSearch,
               SubSearchReply,
               SubSearchCancel,
               SubSearchConfirm,
               ChangesRequest,
               ChangesReply,
               RevisionReport,
               QuotaRequest,
               QuotaReply>
    mMessage;
};

/** Apply changed limits to callers' connections. */
struct LimitCallers
{
  CallerLimits mLimits;
};

/** Write a record to the log. */
struct WriteDecisionRecord
{
  DecisionRecord mRecord;
};

using ForwarderEffect = std::variant<AnswerRequest,
                                     OpenConnection,
                                     CloseConnection,
                                     SendRequest,
                                     ListStore,
                                     WatchStore,
                                     AbandonWatch,
                                     CheckStore,
                                     GrantLease,
                                     WriteMember,
                                     ClaimQuota,
                                     RenewLease,
                                     EndLease,
                                     RequestPeerRouting,
                                     SendPeerMessage,
                                     LimitCallers,
                                     WriteDecisionRecord>;

using ForwarderEffects = std::vector<ForwarderEffect>;

} // namespace wasabispread::forwarding
