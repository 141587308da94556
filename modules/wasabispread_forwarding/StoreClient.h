/*
 * Calls to the platform's store.
 */
#pragma once

#include "PlatformAdapter.h"

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <memory>

namespace wasabispread::forwarding {

/** Makes one call at a time to follow the store and one for the lease; each
    keeps a connection. Every call blocks its fiber. */
class StoreClient
{
public:
  StoreClient(IoLoop& aLoop,
              Endpoint aAddress,
              const PlatformAdapter& aAdapter);

  Result<StoreContent> List();
  Result<StoreChanges> Watch(const WatchStore& aWatch);
  Result<LeaseId> Grant(Duration aLifetime);
  Result<std::monostate> Enter(LeaseId aLease, const MemberRecord& aRecord);
  /** False when the lease has ended. */
  Result<bool> Renew(LeaseId aLease);
  void End(LeaseId aLease);

private:
  /** A connection that is opened anew after each failure. */
  struct Line
  {
    std::unique_ptr<HttpConnection> mConnection;
  };

  Result<HttpResponse> Call(Line& aLine,
                            const HttpRequest& aRequest,
                            Duration aTimeout);

  IoLoop& mLoop;
  Endpoint mAddress;
  const PlatformAdapter& mAdapter;
  Line mFollowLine;
  Line mLeaseLine;
};

} // namespace wasabispread::forwarding
