/*
 * A client of the platform's store.
 */
#pragma once

#include "PlatformAdapter.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <memory>

namespace wasabispread::forwarding {

/** Calls the store on three connections: one for listing and watching entries,
    one for the lease of this VM's entry, one for the lease of its claims. A
    call that finds its connection in use by another, as the end of a lease may
    find its renewal, is made on a new one. Every call blocks its fiber, except
    AbandonWatch(). */
class StoreClient
{
public:
  StoreClient(IoLoop& aLoop,
              Endpoint aAddress,
              const PlatformAdapter& aAdapter);

  /** Reads all entries, page by page. */
  Result<StoreContent> List(const ListStore& aList);
  /** Waits for changes after a revision; may return none. */
  Result<StoreChanges> Watch(const WatchStore& aWatch);
  /** Ends the watch under way, which then returns an error; the next call may
      be made at once. */
  void AbandonWatch();
  /** Reads the store's present revision, on a new connection: one in use may be
      silent without being closed. */
  StoreChecked ReadRevision();
  Result<LeaseId> Grant(const GrantLease& aGrant);
  /** Writes this VM's entry, which the store removes when the lease ends. */
  Result<std::monostate> PutMember(LeaseId aLease, const MemberRecord& aRecord);
  /** Writes claims to grant quota; none when another VM was faster. */
  Result<std::optional<StoreRevision>> Claim(const ClaimQuota& aClaims,
                                             const MemberRecord& aSelf);
  /** Returns false when the lease has ended. */
  Result<bool> Renew(const RenewLease& aRenewal);
  /** Ends a lease; failures are ignored. */
  void End(LeaseId aLease);

private:
  /** A connection that is opened by the first call, and by the first one after
      a failure. */
  struct Channel
  {
    std::unique_ptr<HttpConnection> mConnection;
    /** Whether a call connects or waits for its response. */
    bool mIsBusy = false;
  };

  Channel& LeaseChannelFor(LeasePurpose aPurpose);
  /** Makes one call, connecting first if necessary. aTimeout limits the
      exchange without the connecting. */
  Result<HttpResponse> Call(Channel& aChannel,
                            const HttpRequest& aRequest,
                            Duration aTimeout,
                            std::uint64_t aMaxBytes);
  Result<HttpResponse> CallOnChannel(Channel& aChannel,
                                     const HttpRequest& aRequest,
                                     Duration aTimeout,
                                     std::uint64_t aMaxBytes);

  IoLoop& mLoop;
  Endpoint mAddress;
  const PlatformAdapter& mAdapter;
  /** Replaced when a watch is abandoned; a call keeps the one that it uses. */
  std::shared_ptr<Channel> mWatchChannel = std::make_shared<Channel>();
  Channel mLeaseChannel;
  Channel mQuotaChannel;
};

} // namespace wasabispread::forwarding
