/*
 * What may happen to a node.
 */
#pragma once

#include "PeerMessage.h"
#include "PlatformMessage.h"
#include "TargetMessage.h"

#include <optional>
#include <variant>

namespace wasabispread {

/** The node begins; the first event it sees. */
struct Started
{};

/** A caller asks. */
struct CallerRequest
{
  CallerToken mToken;
  RequestId mRequestId;
  std::string mService;
  Operation mOperation = Operation::kSearch;
  std::string mKey;
  SharedBytes mBody;
  /** How long the caller will wait. */
  Duration mTimeout{};
  /** Names an action across repeats; empty when the caller gave none. */
  std::string mIdempotencyKey;
};

/** A caller went away before its answer. */
struct CallerDisconnected
{
  CallerToken mToken;
};

/** A message came from another VM. */
struct PeerMessageReceived
{
  VmId mPeer;
  Endpoint mAddress;
  PeerMessage mMessage;
};

/** The connection to another VM broke; what was sent may be lost. */
struct PeerLost
{
  VmId mPeer;
};

/** Attempts that were to be sent to another VM, none of whose bytes were
    written: they did not run. */
struct AttemptsNotSent
{
  VmId mPeer;
  std::vector<AttemptSequence> mAttempts;
};

/** A connection that was asked for is ready. */
struct TargetConnected
{
  ConnectionId mConnection;
};

/** A connection that was asked for could not be had. */
struct TargetConnectFailed
{
  ConnectionId mConnection;
};

/** A connection broke. */
struct TargetConnectionLost
{
  ConnectionId mConnection;
  /** Whether any byte of the request in flight may have been sent. */
  bool mRequestWritten = true;
};

/** A reply came in on a connection. */
struct TargetReplied
{
  ConnectionId mConnection;
  TargetReply mReply;
  /** Whether the connection can carry another request. */
  bool mReusable = true;
};

/** The store's configuration, as read or after a watch. */
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
  /** How long it still takes callers' requests, so that everyone can learn of
      the stop first. */
  Duration mNotice{};
};

/** Time has passed; sent when VmState::NextDue() is reached. */
struct Tick
{};

/** A write of a claim ended. */
struct ClaimSwapped
{
  ClaimToken mToken;
  /** The version written; kConflict when another version was there. */
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
