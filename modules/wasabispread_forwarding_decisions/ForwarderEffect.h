/*
 * What the forwarding reducer asks its shell to do.
 */
#pragma once

#include "DecisionRecord.h"
#include "StoreMessage.h"

namespace wasabispread::forwarding {

/** End a caller's exchange. */
struct AnswerRequest
{
  CallerToken mToken;
  RequestId mRequestId;
  CallerAnswer mAnswer;
};

/** Open a connection; answered by ConnectionOpened or ConnectionRefused. */
struct OpenConnection
{
  ConnectionId mConnection;
  Endpoint mAddress;
  Duration mTimeout{};
};

/** Close a connection, without a further event for it. */
struct CloseConnection
{
  ConnectionId mConnection;
};

/** Send a request on an idle connection; answered by ReplyArrived or
    ConnectionEnded. */
struct SendRequest
{
  ConnectionId mConnection;
  ForwardedRequestPointer mRequest;
  /** The only instance that may run it. */
  InstanceId mInstance;
  /** The time left to the target. */
  Duration mCallerTimeout{};
};

/** Read all entries of the store; answered by EntriesListed. */
struct ListStore
{};

/** Wait for changes in the store; answered by ChangesWatched. */
struct WatchStore
{
  StoreRevision mAfter;
  Duration mWait{};
};

/** Get a lease; answered by LeaseGranted. */
struct GrantLease
{
  Duration mLifetime{};
};

/** Write this VM's entry under a lease; answered by MemberWritten. */
struct WriteMember
{
  LeaseId mLease;
};

/** Renew a lease; answered by LeaseRenewed. */
struct RenewLease
{
  LeaseId mLease;
};

/** Give a lease back; nothing answers. */
struct EndLease
{
  LeaseId mLease;
};

/** Ask another VM what it knows of the routing; answered by PeerRouting. */
struct RequestPeerRouting
{
  std::string mPeer;
  Endpoint mAddress;
  /** The version that is known already. */
  ConfigurationVersion mKnownVersion;
};

/** Send a message about a sub-search to another VM. */
struct SendPeerMessage
{
  VmId mVm;
  Endpoint mAddress;
  std::variant<SubSearch, SubSearchReply, SubSearchCancel, SubSearchConfirm>
    mMessage;
};

/** Apply new limits to callers. */
struct LimitCallers
{
  CallerLimits mLimits;
};

/** Write a log line. */
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
                                     GrantLease,
                                     WriteMember,
                                     RenewLease,
                                     EndLease,
                                     RequestPeerRouting,
                                     SendPeerMessage,
                                     LimitCallers,
                                     WriteDecisionRecord>;

using ForwarderEffects = std::vector<ForwarderEffect>;

} // namespace wasabispread::forwarding
