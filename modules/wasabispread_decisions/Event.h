/*
 * The events that the reducer handles.
 */
#pragma once

#include "PeerMessage.h"
#include "PlatformMessage.h"
#include "TargetMessage.h"

#include <optional>
#include <variant>

namespace wasabispread {

/** The VM starts; always the first event. */
struct Started
{};

/** A caller sent a request. */
struct CallerRequest
{
  CallerToken mToken;
  RequestId mRequestId;
  std::string mService;
  Operation mOperation = Operation::kSearch;
  std::string mKey;
  SharedBytes mBody;
  /** How long the caller waits for the answer. */
  Duration mTimeout{};
  /** Identifies an action when a request is repeated; empty when the caller
      gave no key. */
  std::string mIdempotencyKey;
};

/** A caller disconnected before its answer. */
struct CallerDisconnected
{
  CallerToken mToken;
};

/** A message from another VM was received. */
struct PeerMessageReceived
{
  VmId mPeer;
  Endpoint mAddress;
  PeerMessage mMessage;
};

/** The connection to another VM broke; messages sent on it may be lost. */
struct PeerLost
{
  VmId mPeer;
};

/** Attempts that were meant for another VM but of which no byte was written:
    they did not run. */
struct AttemptsNotSent
{
  VmId mPeer;
  std::vector<AttemptSequence> mAttempts;
};

/** A connection that the reducer asked for is open. */
struct TargetConnected
{
  ConnectionId mConnection;
};

/** A connection that the reducer asked for could not be opened. */
struct TargetConnectFailed
{
  ConnectionId mConnection;
};

/** A connection to a target broke. */
struct TargetConnectionLost
{
  ConnectionId mConnection;
  /** Whether any byte of the request in flight may have been sent. */
  bool mRequestWritten = true;
};

/** A reply was received on a connection to a target. */
struct TargetReplied
{
  ConnectionId mConnection;
  TargetReply mReply;
  /** Whether the connection can carry another request. */
  bool mReusable = true;
};

/** The configuration in the store, as read directly or at the end of a
    watch. */
struct StoredConfiguration
{
  /** The store's version of the value; 0 when there is no value. */
  std::uint64_t mStoreVersion = 0;
  std::optional<ConfigurationRecord> mRecord;
};

/** A watch on the configuration ended. */
struct StoreWatched
{
  Result<StoredConfiguration> mResult;
};

/** The VM list was read. */
struct VmListReceived
{
  Result<std::vector<VmRecord>> mResult;
};

/** An operator asks whether a revision is in force everywhere. */
struct OperatorConfirmationRequest
{
  CallerToken mToken;
  Revision mRevision;
};

/** The process was asked to stop. */
struct StopRequested
{
  /** How long the VM still takes callers' requests, so that callers and other
      VMs can learn of the stop first. */
  Duration mNotice{};
};

/** Time has passed; sent when VmState::NextDue() is reached. */
struct Tick
{};

/** A compare-and-swap of a claim ended. */
struct ClaimSwapped
{
  ClaimToken mToken;
  /** The version written; the error kConflict when the key had another version
      than expected. */
  Result<std::uint64_t> mVersion;
};

/** A claim was read. */
struct ClaimRead
{
  ClaimToken mToken;
  Result<StoredClaim> mStored;
};

using Event = std::variant<Started,
                           CallerRequest,
                           CallerDisconnected,
                           PeerMessageReceived,
                           PeerLost,
                           TargetConnected,
                           TargetConnectFailed,
                           TargetConnectionLost,
                           TargetReplied,
                           StoreWatched,
                           VmListReceived,
                           StopRequested,
                           Tick,
                           OperatorConfirmationRequest,
                           AttemptsNotSent,
                           ClaimSwapped,
                           ClaimRead>;

} // namespace wasabispread
