/*
 * The one place where the outside world's formats are known.
 */
#pragma once

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>

#include <string>

namespace wasabispread::forwarding {

/** Translates between messages as they travel and the product's own types.
    Holds no state and decides nothing. */
class PlatformAdapter
{
public:
  virtual ~PlatformAdapter() = default;

  /** A caller's request; kMalformedRequest when a field that the forwarder
      needs is absent or wrong. */
  virtual Result<ForwardedRequest> ReadRequest(
    HttpRequest&& aMessage) const = 0;

  virtual HttpResponse WriteAnswer(const RequestId& aId,
                                   CallerAnswer&& aAnswer) const = 0;

  /** Whether a request asks if this VM takes callers. */
  virtual bool IsReadinessCheck(const HttpRequest& aMessage) const = 0;

  /** The request as a target gets it. */
  virtual HttpRequest WriteTargetRequest(const SendRequest& aEffect) const = 0;

  /** Whether a reply belongs to a request; one to another may come first. */
  virtual bool IsReplyTo(const HttpResponse& aMessage,
                         const RequestId& aId) const = 0;

  virtual Reply ReadReply(HttpResponse&& aMessage) const = 0;

  /** The request for the store's entries after a key, empty for the first. */
  virtual HttpRequest WriteStoreList(const std::string& aAfter) const = 0;

  /** One page of the store's entries. */
  struct StorePage
  {
    StoreContent mContent;
    /** The key after which the next page begins; empty at the end. */
    std::string mNext;
  };

  virtual Result<StorePage> ReadStoreList(
    const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteStoreWatch(const WatchStore& aEffect) const = 0;

  virtual Result<StoreChanges> ReadStoreWatch(
    const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteLeaseGrant(Duration aLifetime) const = 0;

  virtual Result<LeaseId> ReadLeaseGrant(
    const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteMemberEntry(LeaseId aLease,
                                       const MemberRecord& aRecord) const = 0;

  virtual Result<std::monostate> ReadWritten(
    const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteLeaseRenewal(LeaseId aLease) const = 0;

  /** False when the lease has ended. */
  virtual Result<bool> ReadLeaseRenewal(const HttpResponse& aMessage) const = 0;

  virtual HttpRequest WriteLeaseEnd(LeaseId aLease) const = 0;

  /** The configuration as the store holds it. */
  virtual Result<ConfigurationChange> ReadConfiguration(
    SharedBytes aText) const = 0;
};

} // namespace wasabispread::forwarding
