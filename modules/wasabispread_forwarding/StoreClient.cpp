/*
 * Connections to the store, and the paging of its entries.
 */
#include "wasabispread_forwarding.h"

namespace wasabispread::forwarding {

namespace {

/** The longest wait for a connection or a response; a store that is slow but
    available answers within it. */
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
/** How much longer a watch may take than the wait that was asked for. */
constexpr Duration kWatchMargin = std::chrono::milliseconds(900);
/** The most bytes of the answer to a list or a watch: a page has 1 MB or one
    value, which takes 1.4 MB as text. A watch whose changes take more is
    followed by a list. */
constexpr std::uint64_t kMaxChangesBytes = 8ULL << 20U;
/** The most bytes of any other answer. */
constexpr std::uint64_t kMaxAnswerBytes = 1ULL << 20U;

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
StoreClient::Call(Channel& aChannel,
                  const HttpRequest& aRequest,
                  Duration aTimeout,
                  std::uint64_t aMaxBytes)
{
  if (aChannel.mIsBusy) {
    return ExchangeOnce(mLoop, mAddress, aRequest, aTimeout, aMaxBytes);
  }
  aChannel.mIsBusy = true;
  auto response = CallOnChannel(aChannel, aRequest, aTimeout, aMaxBytes);
  aChannel.mIsBusy = false;
  return response;
}

Result<HttpResponse>
StoreClient::CallOnChannel(Channel& aChannel,
                           const HttpRequest& aRequest,
                           Duration aTimeout,
                           std::uint64_t aMaxBytes)
{
  if (aChannel.mConnection == nullptr) {
    auto connection = std::make_unique<HttpConnection>(mLoop);
    const auto connected = connection->Connect(mAddress, kCallTimeout);
    if (!connected) {
      return tl::unexpected<Error>(connected.error());
    }
    aChannel.mConnection = std::move(connection);
  }
  auto response = aChannel.mConnection->Exchange(aRequest, aTimeout, aMaxBytes);
  if (!response || !response->mKeepAlive) {
    aChannel.mConnection.reset();
  }
  return response;
}

Result<StoreContent>
StoreClient::List(const ListStore& aList)
{
  const std::shared_ptr<Channel> channel = mWatchChannel;
  StoreListing listing;
  do {
    const auto added =
      Call(*channel,
           mAdapter.WriteStoreList(aList, listing.mContinueAfter),
           kCallTimeout,
           kMaxChangesBytes)
        .and_then([&](const HttpResponse& aResponse) {
          return mAdapter.ReadStoreList(aResponse).map([&](StorePage&& aPage) {
            aPage.mEra = mAdapter.ReadEra(aResponse);
            aPage.mTextBytes = aResponse.mBody.size();
            return std::move(aPage);
          });
        })
        .and_then(
          [&](StorePage aPage) { return AddPage(listing, std::move(aPage)); });
    if (!added) {
      return tl::unexpected<Error>(added.error());
    }
  } while (!listing.mContinueAfter.empty());
  return std::move(listing.mContent);
}

Result<StoreChanges>
StoreClient::Watch(const WatchStore& aWatch)
{
  const std::shared_ptr<Channel> channel = mWatchChannel;
  return Call(*channel,
              mAdapter.WriteStoreWatch(aWatch),
              aWatch.mWait + kWatchMargin,
              kMaxChangesBytes)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadStoreWatch(aResponse, aWatch.mAfter)
        .map([&](StoreChanges&& aChanges) {
          aChanges.mText = std::make_shared<const std::string>(aResponse.mBody);
          aChanges.mEra = mAdapter.ReadEra(aResponse);
          return std::move(aChanges);
        });
    });
}

void
StoreClient::AbandonWatch()
{
  const auto abandoned =
    std::exchange(mWatchChannel, std::make_shared<Channel>());
  if (abandoned->mConnection != nullptr) {
    abandoned->mConnection->Close();
  }
}

StoreChecked
StoreClient::ReadRevision()
{
  const auto response = ExchangeOnce(mLoop,
                                     mAddress,
                                     mAdapter.WriteRevisionRead(),
                                     kCallTimeout,
                                     kMaxAnswerBytes);
  if (!response) {
    return { tl::unexpected<Error>(response.error()), 0 };
  }
  return { mAdapter.ReadRevision(*response), mAdapter.ReadEra(*response) };
}

Result<LeaseId>
StoreClient::Grant(const GrantLease& aGrant)
{
  return Call(LeaseChannelFor(aGrant.mPurpose),
              mAdapter.WriteLeaseGrant(aGrant.mLifetime),
              kCallTimeout,
              kMaxAnswerBytes)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadLeaseGrant(aResponse);
    });
}

Result<std::monostate>
StoreClient::PutMember(LeaseId aLease, const MemberRecord& aRecord)
{
  return Call(mLeaseChannel,
              mAdapter.WriteMemberEntry(aLease, aRecord),
              kCallTimeout,
              kMaxAnswerBytes)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadWriteReply(aResponse);
    });
}

Result<std::optional<StoreRevision>>
StoreClient::Claim(const ClaimQuota& aClaims, const MemberRecord& aSelf)
{
  return Call(LeaseChannelFor(LeasePurpose::kQuota),
              mAdapter.WriteQuotaClaims(aClaims, aSelf),
              kCallTimeout,
              kMaxAnswerBytes)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadQuotaClaims(aResponse);
    });
}

StoreClient::Channel&
StoreClient::LeaseChannelFor(LeasePurpose aPurpose)
{
  return aPurpose == LeasePurpose::kQuota ? mQuotaChannel : mLeaseChannel;
}

Result<bool>
StoreClient::Renew(const RenewLease& aRenewal)
{
  return Call(LeaseChannelFor(aRenewal.mPurpose),
              mAdapter.WriteLeaseRenewal(aRenewal.mLease),
              kCallTimeout,
              kMaxAnswerBytes)
    .and_then([&](const HttpResponse& aResponse) {
      return mAdapter.ReadLeaseRenewal(aResponse);
    });
}

void
StoreClient::End(LeaseId aLease)
{
  // A failure is ignored: a lease that is not ended expires.
  static_cast<void>(Call(mLeaseChannel,
                         mAdapter.WriteLeaseEnd(aLease),
                         kCallTimeout,
                         kMaxAnswerBytes));
}

} // namespace wasabispread::forwarding
