/*
 * Requests, replies and answers as the forwarding decisions see them. The
 * adapter decides which header fields carry them.
 */
#pragma once

#include <wasabispread_load/wasabispread_load.h>
#include <wasabispread_wire/wasabispread_wire.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wasabispread::forwarding {

/** Identifies one start of a target: no other start has the same value. */
using InstanceId = StrongType<struct InstanceIdTag, std::string>;

/** The version of the routing configuration. It rises by uneven steps; 0 stands
    for "none". */
using ConfigurationVersion =
  StrongType<struct ConfigurationVersionTag, std::uint64_t>;

/** Identifies a route across versions: the stable hash of its name. */
using RouteId = StrongType<struct RouteIdTag, std::uint64_t>;

/** A caller's request. Its method, target, header fields and body are forwarded
    as they were received. */
struct ForwardedRequest
{
  CallerToken mToken;
  RequestId mId;
  std::string mHost;
  /** The request target: path and query. */
  std::string mTarget;
  /** How long the caller still waits; none when it did not state a timeout. */
  std::optional<Duration> mCallerTimeout;
  /** Whether it is the first request on its connection, whose setup then took a
      further round trip. */
  bool mIsFirstOnConnection = false;
  CallerKey mKey;
  /** The fields that carry the key. They are forwarded only where the
      configuration has no organisations. */
  std::vector<HttpHeader> mCredentials;
  /** The message as read, without connection-level fields and without
      mCredentials. */
  HttpRequest mMessage;
};

using ForwardedRequestPointer = std::shared_ptr<const ForwardedRequest>;

/** What a target's reply states about the request. */
enum class ReplyKind : std::uint8_t
{
  /** The target ran the request and signed its reply. */
  kSuccess,
  /** The target states that it did not run the request. */
  kNotRun,
  /** As kNotRun, because another instance has the address now. */
  kMisdirected,
  /** The target ran the request, and it failed. */
  kFailure,
  /** The reply is not usable, for example because it lacks the target's
      signature. */
  kInvalid,
};

/** The name used in logs. */
std::string_view
ToText(ReplyKind aKind);

/** A target's complete reply. */
struct Reply
{
  ReplyKind mKind = ReplyKind::kInvalid;
  /** The target's signature of this reply; empty when it gave none. */
  std::string mSignature;
  /** The message as read, without connection-level fields. */
  HttpResponse mMessage;
  /** Whether the connection can carry another exchange. */
  bool mIsReusable = false;
  /** How long the target keeps the connection open without a request; none when
      it did not say. */
  std::optional<Duration> mKeepAlive;
  /** The requests per second that the target takes from all VMs together; none
      when it names no limit. */
  std::optional<double> mRequestLimit;
  /** Whether the target states that it leaves. */
  bool mIsLeaving = false;
  /** For how long the target wants no request from this VM; none when it did
      not say. */
  std::optional<Duration> mWantedPause;
  /** The load that the target states; none when it states none, or one that
      cannot be read. */
  std::optional<StatedLoad> mLoad;
  bool mIsLoadUnreadable = false;
  /** How much longer the target is slow after its start; none when it did not
      say. */
  std::optional<Duration> mWarmUp;
};

/** Forwards a target's reply unchanged to the caller. */
struct ForwardedReply
{
  HttpResponse mMessage;
};

/** The greatest records of the shards that answered, the signatures of their
    targets, and the number of shards without an answer. */
struct SearchAnswer
{
  std::vector<std::string> mSignatures;
  std::size_t mMissingShards = 0;
  std::string mRecords;
};

/** Why a request is answered by a problem instead of a reply or records. */
enum class ProblemKind : std::uint8_t
{
  /** The request itself is invalid. */
  kBadRequest,
  /** The request carries no key, or one that nobody holds. */
  kUnauthorised,
  /** No route matches the request's host and path. */
  kNoRoute,
  /** The request did not run and will not run; the caller may retry it. */
  kNotRun,
  /** As kNotRun, because the organisation's quota is used up. */
  kOverQuota,
  /** The request ran, or may have run, without a usable result. */
  kFailed,
  /** As kFailed, because its timeout expired. */
  kTimedOut,
};

/** The name used in answers and logs. */
std::string_view
ToText(ProblemKind aKind);

/** An error answer that the forwarder writes itself. */
struct Problem
{
  ProblemKind mKind = ProblemKind::kFailed;
  std::string mMessage;
  std::string mRemedy;
  /** How long to wait before a request that did not run is retried. */
  std::optional<Duration> mRetryAfter;
  /** Whether the caller's connection is closed, so that its next one may reach
      another VM. */
  bool mClosesConnection = false;
};

using CallerAnswer = std::variant<ForwardedReply, SearchAnswer, Problem>;

} // namespace wasabispread::forwarding
