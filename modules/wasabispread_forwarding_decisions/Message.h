/*
 * Requests, replies and answers as the forwarding decisions see them; which
 * header fields carry them is an adapter's matter.
 */
#pragma once

#include <wasabispread_wire/wasabispread_wire.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wasabispread::forwarding {

/** One start of a target: no other start has the same. */
using InstanceId = StrongType<struct InstanceIdTag, std::string>;

/** The version of the routing configuration, rising by uneven steps; 0 stands
    for "none". */
using ConfigurationVersion =
  StrongType<struct ConfigurationVersionTag, std::uint64_t>;

/** Identifies a route across versions: the stable hash of its name. */
using RouteId = StrongType<struct RouteIdTag, std::uint64_t>;

/** A caller's request; forwarded with method, target, header and body as they
    came. */
struct ForwardedRequest
{
  CallerToken mToken;
  RequestId mId;
  std::string mHost;
  /** Path and query. */
  std::string mTarget;
  /** How long the caller still waits; none when it did not say. */
  std::optional<Duration> mCallerTimeout;
  /** Whether it is the first request on its connection, which then took a
      round trip to set up. */
  bool mIsFirstOnConnection = false;
  /** The message as read, without connection-level fields. */
  HttpRequest mMessage;
};

using ForwardedRequestPointer = std::shared_ptr<const ForwardedRequest>;

/** What a target's reply says of the request. */
enum class ReplyKind : std::uint8_t
{
  /** A success with the target's proof. */
  kSuccess,
  /** The target states that it did not run the request. */
  kNotRun,
  /** As kNotRun, because another instance has the address now. */
  kMisdirected,
  /** The target ran the request and failed. */
  kFailure,
  /** The reply cannot be taken for the target's own. */
  kInvalid,
};

/** The name used in logs. */
std::string_view
ToText(ReplyKind aKind);

/** A target's whole reply. */
struct Reply
{
  ReplyKind mKind = ReplyKind::kInvalid;
  /** The target's signature of this reply; empty when it gave none. */
  std::string mSignature;
  /** The message as read, without connection-level fields. */
  HttpResponse mMessage;
  /** Whether the connection can carry another exchange. */
  bool mIsReusable = false;
  /** How long the target keeps the connection open without a request; none
      when it did not say. */
  std::optional<Duration> mKeepAlive;
};

/** Passes a target's reply on unchanged. */
struct ForwardedReply
{
  HttpResponse mMessage;
};

/** The greatest records of the shards that answered, and which these are. */
struct SearchAnswer
{
  std::vector<std::string> mSignatures;
  std::size_t mMissingShards = 0;
  std::string mRecords;
};

/** Why a request gets neither a reply nor records. */
enum class ProblemKind : std::uint8_t
{
  /** The request itself is wrong. */
  kBadRequest,
  /** No route leads anywhere. */
  kNoRoute,
  /** The request did not run and will not; it may come back. */
  kNotRun,
  /** The request ran, or may have run, without a usable result. */
  kFailed,
  /** As kFailed, because its time was over. */
  kTimedOut,
};

/** The name used in answers and logs. */
std::string_view
ToText(ProblemKind aKind);

/** An answer of the product's own. */
struct Problem
{
  ProblemKind mKind = ProblemKind::kFailed;
  std::string mMessage;
  std::string mRemedy;
  /** When a request that did not run is best repeated. */
  std::optional<Duration> mRetryAfter;
  /** Whether the caller is better off with a connection to another VM. */
  bool mClosesConnection = false;
};

using CallerAnswer = std::variant<ForwardedReply, SearchAnswer, Problem>;

} // namespace wasabispread::forwarding
