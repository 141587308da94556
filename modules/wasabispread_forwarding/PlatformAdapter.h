/*
 * The interface to the users' platform. Only its implementation knows the
 * platform's message formats.
 */
#pragma once

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <string>

namespace wasabispread::forwarding {

/** Translates between the platform's HTTP messages and the types of the
    forwarding decisions: each Read function parses a received message, each
    Write function builds a message to send. Holds no state and decides
    nothing. */
class PlatformAdapter
{
public:
  virtual ~PlatformAdapter() = default;

  /** Reads a caller's request; kMalformedRequest or kInvalidTimeout when a
      header field that the forwarder needs is absent or invalid. */
  virtual Result<ForwardedRequest> ReadRequest(
    HttpRequest&& aMessage) const = 0;

  /** Builds the response to the caller's request aId, which is empty when the
      request could not be read. */
  virtual HttpResponse WriteAnswer(const RequestId& aId,
                                   CallerAnswer&& aAnswer) const = 0;

  /** Whether a request is the load balancer's check that this VM accepts
      callers' requests. */
  virtual bool IsReadinessCheck(const HttpRequest& aMessage) const = 0;

  /** Builds the request that is sent to a target. */
  virtual HttpRequest WriteTargetRequest(const SendRequest& aEffect) const = 0;

  /** Whether a target's response belongs to the request aId. Responses to other
      requests are read and discarded until it arrives. */
  virtual bool IsReplyTo(const HttpResponse& aMessage,
                         const RequestId& aId) const = 0;

  /** Reads and classifies a target's response. */
  virtual Reply ReadReply(HttpResponse&& aMessage) const = 0;

  /** Builds the request for one page of the store's entries: those after the
      key aAfter, or the first ones when it is empty. */
  virtual HttpRequest WriteStoreList(const ListStore& aEffect,
                                     const std::string& aAfter) const = 0;

  virtual Result<StorePage> ReadStoreList(
    const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteStoreWatch(const WatchStore& aEffect) const = 0;

  /** Reads the changes after the revision aAfter. */
  virtual Result<StoreChanges> ReadStoreWatch(const HttpResponse& aMessage,
                                              StoreRevision aAfter) const = 0;

  /** Builds the request for the store's present revision. */
  virtual HttpRequest WriteRevisionRead() const = 0;

  virtual Result<StoreRevision> ReadRevision(
    const HttpResponse& aMessage) const = 0;

  /** The era of the store that an answer of the store names; 0 when it names
      none that can be read. */
  virtual StoreEra ReadEra(const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteLeaseGrant(Duration aLifetime) const = 0;

  virtual Result<LeaseId> ReadLeaseGrant(
    const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteMemberEntry(LeaseId aLease,
                                       const MemberRecord& aRecord) const = 0;

  /** Reads the store's response to WriteMemberEntry(); an error unless the
      entry was written. */
  virtual Result<std::monostate> ReadWriteReply(
    const HttpResponse& aMessage) const = 0;

  /** Builds the request that writes claims of this VM under a lease. */
  virtual HttpRequest WriteQuotaClaims(const ClaimQuota& aEffect,
                                       const MemberRecord& aSelf) const = 0;

  /** Reads the store's response to WriteQuotaClaims(): the revision of the
      claims; none when one of them had changed, so that none was written. */
  virtual Result<std::optional<StoreRevision>> ReadQuotaClaims(
    const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteLeaseRenewal(LeaseId aLease) const = 0;

  /** Returns false when the lease has ended. */
  virtual Result<bool> ReadLeaseRenewal(const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteLeaseEnd(LeaseId aLease) const = 0;

  /** Parses the routing configuration, given its text as the store holds it. */
  virtual Result<ConfigurationChange> ReadConfiguration(
    SharedBytes aText) const = 0;
};

} // namespace wasabispread::forwarding
