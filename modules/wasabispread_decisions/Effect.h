/*
 * The effects that the reducer asks its runtime to carry out.
 */
#pragma once

#include "DecisionRecord.h"
#include "PeerMessage.h"
#include "PlatformMessage.h"
#include "TargetMessage.h"

#include <variant>
#include <vector>

namespace wasabispread {

/** Send the outcome to a caller and end the exchange. */
struct AnswerCaller
{
  CallerToken mToken;
  RequestId mRequestId;
  Outcome mOutcome;
};

/** Send a message to another VM. */
struct SendToPeer
{
  VmId mPeer;
  Endpoint mAddress;
  PeerMessage mMessage;
};

/** Open a connection; answered by TargetConnected or TargetConnectFailed. */
struct OpenTargetConnection
{
  ConnectionId mConnection;
  Endpoint mAddress;
  Duration mTimeout{};
};

/** Close a connection, without a further event for it. */
struct CloseTargetConnection
{
  ConnectionId mConnection;
};

/** Send an attempt on an idle connection; answered by TargetReplied or
    TargetConnectionLost. */
struct SendToTarget
{
  ConnectionId mConnection;
  TargetRequest mRequest;
};

/** Notify a target, on an idle connection, that an attempt sent on another
    connection is no longer needed; answered by TargetReplied or
    TargetConnectionLost. */
struct SendCancelToTarget
{
  ConnectionId mConnection;
  AttemptId mAttempt;
};

/** Wait until the store version of the configuration exceeds mAfterVersion;
    answered by StoreWatched. */
struct WatchConfiguration
{
  std::uint64_t mAfterVersion = 0;
  Duration mWait{};
};

/** Read the VM list; answered by VmListReceived. */
struct ReadVmList
{};

/** Write a decision record to the log. */
struct LogDecision
{
  DecisionRecord mRecord;
};

/** Report to an operator which VMs have a revision in force. */
struct AnswerConfirmation
{
  CallerToken mToken;
  ConfirmationReport mReport;
};

/** Write a claim by compare-and-swap, if its key has the version mExpected,
    where 0 means that the key does not exist; answered by ClaimSwapped. The
    store deletes the claim after mLifetime. */
struct SwapClaim
{
  ClaimToken mToken;
  std::string mKey;
  std::uint64_t mExpected = 0;
  ClaimRecord mRecord;
  Duration mLifetime{};
};

/** Read a claim; answered by ClaimRead. */
struct ReadClaim
{
  ClaimToken mToken;
  std::string mKey;
};

using Effect = std::variant<AnswerCaller,
                            SendToPeer,
                            OpenTargetConnection,
                            CloseTargetConnection,
                            SendToTarget,
                            WatchConfiguration,
                            ReadVmList,
                            LogDecision,
                            AnswerConfirmation,
                            SendCancelToTarget,
                            SwapClaim,
                            ReadClaim>;

using Effects = std::vector<Effect>;

} // namespace wasabispread
