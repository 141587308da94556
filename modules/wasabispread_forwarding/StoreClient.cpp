/*
 * Connections to the store, and paging.
 */
#include "wasabispread_forwarding.h"

namespace wasabispread::forwarding {

namespace {

/** A store that is slow, but not lost, answers within this. */
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
/** A watch that should have ended is given up after this. */
constexpr Duration kWatchSlack = std::chrono::milliseconds(900);

} // namespace

StoreClient::StoreClient(IoLoop& aLoop,
                         Endpoint aAddress,
                         const PlatformAdapter& aAdapter)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mAdapter(aAdapter)
{
}

Result<HttpResponse>
StoreClient::Call(Line& aLine, const HttpRequest& aRequest, Duration aTimeout)
{
  if (aLine.mConnection == nullptr) {
    auto connection = std::make_unique<HttpConnection>(mLoop);
    const auto connected = connection->Connect(mAddress, kCallTimeout);
    if (!connected) {
      return tl::unexpected<Error>(connected.error());
    }
    aLine.mConnection = std::move(connection);
  }
  auto response = aLine.mConnection->Exchange(aRequest, aTimeout);
  if (!response || !response->mKeepAlive) {
    aLine.mConnection.reset();
  }
  return response;
}

Result<StoreContent>
StoreClient::List()
{
  StoreContent content;
  std::string after;
  do {
    const auto response =
      Call(mFollowLine, mAdapter.WriteStoreList(after), kCallTimeout);
    auto page = response.and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadStoreList(aResponse);
    });
    if (!page) {
      return tl::unexpected<Error>(page.error());
    }
    // Pages are no snapshot: changes are followed from the first page on.
    if (after.empty()) {
      content.mRevision = page->mContent.mRevision;
    }
    for (StoreChange& entry : page->mContent.mEntries) {
      content.mEntries.push_back(std::move(entry));
    }
    after = page->mNext;
  } while (!after.empty());
  return content;
}

Result<StoreChanges>
StoreClient::Watch(const WatchStore& aWatch)
{
  return Call(mFollowLine,
              mAdapter.WriteStoreWatch(aWatch),
              aWatch.mWait + kWatchSlack)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadStoreWatch(aResponse);
    });
}

Result<LeaseId>
StoreClient::Grant(Duration aLifetime)
{
  return Call(mLeaseLine, mAdapter.WriteLeaseGrant(aLifetime), kCallTimeout)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadLeaseGrant(aResponse);
    });
}

Result<std::monostate>
StoreClient::Enter(LeaseId aLease, const MemberRecord& aRecord)
{
  return Call(
           mLeaseLine, mAdapter.WriteMemberEntry(aLease, aRecord), kCallTimeout)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadWritten(aResponse);
    });
}

Result<bool>
StoreClient::Renew(LeaseId aLease)
{
  return Call(mLeaseLine, mAdapter.WriteLeaseRenewal(aLease), kCallTimeout)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadLeaseRenewal(aResponse);
    });
}

void
StoreClient::End(LeaseId aLease)
{
  // Nothing depends on the answer: a lease that is not ended runs out.
  static_cast<void>(
    Call(mLeaseLine, mAdapter.WriteLeaseEnd(aLease), kCallTimeout));
}

} // namespace wasabispread::forwarding
