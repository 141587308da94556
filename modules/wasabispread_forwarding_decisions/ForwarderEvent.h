/*
 * What may happen to a forwarder.
 */
#pragma once

#include "StoreMessage.h"

namespace wasabispread::forwarding {

/** The process begins; the first event. */
struct ForwarderStarted
{};

/** A caller's request was read whole. */
struct RequestArrived
{
  ForwardedRequestPointer mRequest;
};

/** A caller closed its connection before its answer. */
struct ForwarderCallerDisconnected
{
  CallerToken mToken;
};

/** A connection that was asked for is ready. */
struct ConnectionOpened
{
  ConnectionId mConnection;
};

/** A connection that was asked for could not be had. */
struct ConnectionRefused
{
  ConnectionId mConnection;
};

/** A connection ended. */
struct ConnectionEnded
{
  ConnectionId mConnection;
  /** Whether any byte of a request in flight may have been sent. */
  bool mIsRequestWritten = false;
};

/** A reply to the request in flight came whole. */
struct ReplyArrived
{
  ConnectionId mConnection;
  Reply mReply;
};

/** The store was read. */
struct EntriesListed
{
  Result<StoreContent> mResult;
};

/** A watch on the store ended. */
struct ChangesWatched
{
  Result<StoreChanges> mResult;
};

/** A lease was asked for. */
struct LeaseGranted
{
  Result<LeaseId> mResult;
};

/** This VM's entry was to be written. */
struct MemberWritten
{
  Result<std::monostate> mResult;
};

/** A lease was to be renewed; false when it has ended. */
struct LeaseRenewed
{
  Result<bool> mResult;
};

/** Another VM told what it knows of the routing. */
struct PeerRouting
{
  std::string mPeer;
  /** A newer configuration, if it has one. */
  std::optional<Result<ConfigurationChange>> mConfiguration;
  /** All targets in use; none when the store does not answer it either. */
  std::vector<RegisteredTarget> mTargets;
};

/** Another VM wants shards of a search queried. */
struct SubSearchArrived
{
  VmId mVm;
  Endpoint mAddress;
  SubSearch mSearch;
  /** The request as targets get it. */
  ForwardedRequestPointer mRequest;
};

/** Another VM no longer wants a sub-search. */
struct SubSearchCancelled
{
  VmId mVm;
  SubSearchCancel mCancel;
};

/** Another VM knows that its sub-search was begun. */
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
{};

/** Time has passed; sent when ForwarderState::NextDue() is reached. */
struct ForwarderTick
{};

using ForwarderEvent = std::variant<ForwarderStarted,
                                    RequestArrived,
                                    ForwarderCallerDisconnected,
                                    ConnectionOpened,
                                    ConnectionRefused,
                                    ConnectionEnded,
                                    ReplyArrived,
                                    EntriesListed,
                                    ChangesWatched,
                                    LeaseGranted,
                                    MemberWritten,
                                    LeaseRenewed,
                                    PeerRouting,
                                    SubSearchArrived,
                                    SubSearchCancelled,
                                    SubSearchConfirmed,
                                    SubSearchReplied,
                                    VmLost,
                                    ForwarderStopRequested,
                                    ForwarderTick>;

} // namespace wasabispread::forwarding
