/*
 * Serves the calls of the stand-in store.
 */
#include "StandInStore.h"

#include <tests/processes/FreePorts.h>

#include <platform/StoreItems.h>

#include <algorithm>
#include <stdexcept>

#include <boost/fiber/operations.hpp>

namespace wasabispread::testing {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kConflict = 412;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr Duration kPollInterval = std::chrono::milliseconds(2);
constexpr Duration kLostReplyPollInterval = std::chrono::milliseconds(50);
constexpr Duration kLateWriteDelay = std::chrono::seconds(1);
/** For how long earlier content is kept: longer than any replica lags. */
constexpr Duration kSnapshotTime = std::chrono::seconds(10);
constexpr std::size_t kMaxEntries = 32;
constexpr std::int64_t kMaxWaitMs = 30'000;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

std::string
Parameter(const HttpPath& aPath, std::string_view aName)
{
  return std::string(FindHeader(aPath.mParameters, aName));
}

HttpResponse
NoReply()
{
  HttpResponse response;
  response.mStatus = kNoResponse;
  return response;
}

bool
IsWrittenByOthers(const std::string& aKey)
{
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

} // namespace

StandInStore::StandInStore(IoLoop& aLoop)
  : mLoop(aLoop)
{
  StartFiber([this, isOpen = mIsOpen] {
    while (*isOpen) {
      ExpireLeases();
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    }
  });
}

StandInStore::~StandInStore()
{
  *mIsOpen = false;
  SetAllVmPortStates(VmPortState::kClosesConnection);
  for (const auto& vmPort : mVmPorts) {
    vmPort->mServer->Stop(Now());
  }
}

Endpoint
StandInStore::OpenVmPort()
{
  auto vmPort = std::make_unique<VmPort>();
  Endpoint address{ "127.0.0.1", NextFreePort() };
  auto server = HttpServer::Start(
    mLoop,
    address,
    HttpServerLimits{},
    HttpHandler([this, target = vmPort.get()](const HttpRequest& aRequest) {
      return Serve(*target, aRequest);
    }));
  if (!server) {
    throw std::runtime_error(server.error().mMessage);
  }
  vmPort->mServer = std::move(*server);
  mVmPorts.push_back(std::move(vmPort));
  return address;
}

void
StandInStore::SetVmPortState(std::size_t aVmPort, VmPortState aState)
{
  mVmPorts.at(aVmPort)->mState = aState;
}

void
StandInStore::SetAllVmPortStates(VmPortState aState)
{
  for (const auto& vmPort : mVmPorts) {
    vmPort->mState = aState;
  }
}

std::uint64_t
StandInStore::Put(const std::string& aKey, const std::string& aValue)
{
  const std::uint64_t revision = ++mRevision;
  Item& item = mItems[aKey];
  item.mValue = aValue;
  item.mRevision = revision;
  item.mCreated = item.mCreated == 0 ? revision : item.mCreated;
  RecordEvent(Describe(aKey, item));
  return revision;
}

void
StandInStore::Remove(const std::string& aKey)
{
  if (mItems.erase(aKey) != 0) {
    ++mRevision;
    RecordEvent(
      { { "key", aKey }, { "revision", mRevision }, { "deleted", true } });
  }
}

void
StandInStore::AbortWatches()
{
  ++mWatchAborts;
}

std::size_t
StandInStore::CountWithPrefix(const std::string& aPrefix) const
{
  return static_cast<std::size_t>(
    std::count_if(mItems.begin(), mItems.end(), [&](const auto& aEntry) {
      return aEntry.first.starts_with(aPrefix);
    }));
}

void
StandInStore::RecordEvent(Json aEvent)
{
  if (mHistory.empty()) {
    mCompactedRevision = mRevision - 1;
  }
  mHistory[mRevision] = std::move(aEvent);
  mSnapshots.push_back({ Now(), mRevision, mItems });
  while (mSnapshots.size() > 1 &&
         mSnapshots[1].mSince < Now() - kSnapshotTime) {
    mSnapshots.pop_front();
  }
}

StandInStore::Snapshot
StandInStore::NextReplica(bool aIsFirstPage)
{
  mNextReplica = aIsFirstPage ? 0 : mNextReplica + 1;
  return SnapshotAt(Now() -
                    mReplicaLags.at(mNextReplica % mReplicaLags.size()));
}

StandInStore::Snapshot
StandInStore::SnapshotAt(TimePoint aTime) const
{
  const auto found = std::find_if(
    mSnapshots.rbegin(), mSnapshots.rend(), [&](const Snapshot& aSnapshot) {
      return aSnapshot.mSince <= aTime;
    });
  return found == mSnapshots.rend() ? Snapshot{ {}, 1, {} } : *found;
}

void
StandInStore::ComeBackFromCopy(Duration aAge)
{
  Snapshot copy = SnapshotAt(Now() - aAge);
  std::erase_if(copy.mItems, [](const auto& aEntry) {
    return !IsWrittenByOthers(aEntry.first);
  });
  mItems = std::move(copy.mItems);
  mRevision = copy.mRevision;
  mCompactedRevision = mRevision;
  mHistory.clear();
  mSnapshots.clear();
  mLeases.clear();
  ++mEra;
  AbortWatches();
}

StandInStore::Json
StandInStore::Describe(const std::string& aKey, const Item& aItem) const
{
  return { { "key", aKey },
           { "value", platform::EncodeBase64(aItem.mValue) },
           { "revision", aItem.mRevision },
           { "createRevision", aItem.mCreated },
           { "lease", aItem.mLease } };
}

HttpResponse
StandInStore::Serve(VmPort& aVmPort, const HttpRequest& aRequest)
{
  HttpResponse response = Handle(aVmPort, aRequest);
  if (mEra != 0) {
    response.mHeaders.push_back({ "Store-Era", std::to_string(mEra) });
  }
  return response;
}

HttpResponse
StandInStore::Handle(VmPort& aVmPort, const HttpRequest& aRequest)
{
  ++mCalls;
  const HttpPath path = ParsePath(aRequest.mTarget);
  mRenewals += aRequest.mTarget.starts_with("/-/kv-keep/") ? 1 : 0;
  boost::this_fiber::sleep_for(mDelay);
  switch (aVmPort.mState) {
    case VmPortState::kNeverReplies:
      while (aVmPort.mState == VmPortState::kNeverReplies) {
        boost::this_fiber::sleep_for(kPollInterval);
      }
      return NoReply();
    case VmPortState::kLosesReplies:
      return LoseReply();
    case VmPortState::kClosesConnection:
      return NoReply();
    case VmPortState::kRefuses:
      return JsonResponse(kUnavailable, "{}");
    case VmPortState::kLimits:
      return JsonResponse(kTooManyRequests, "{}");
    case VmPortState::kSendsTooMuch: {
      constexpr std::size_t kTooManyBytes = std::size_t{ 60 } << 20U;
      return JsonResponse(kOk, std::string(kTooManyBytes, ' '));
    }
    case VmPortState::kSendsEndlessPages:
    case VmPortState::kServes:
      break;
  }
  if (path.mSegments.size() < 2 || path.mSegments[0] != "-") {
    return JsonResponse(kNotFound, "{}");
  }
  if (path.mSegments[1] == "kv-watch") {
    return Watch(aVmPort, path);
  }
  if (aRequest.mMethod == "GET") {
    return Read(aVmPort, path);
  }
  return Write(aRequest, path);
}

HttpResponse
StandInStore::EndlessPage()
{
  constexpr std::size_t kItems = 500;
  Json items = Json::array();
  for (std::size_t count = 0; count < kItems; ++count) {
    // Readable entries, which are kept: these are of targets.
    const std::string number = std::to_string(1'000'000 + ++mEndlessItems);
    const Json target{ { "service", "one" },  { "address", "127.0.0.1:9" },
                       { "zone", "zone-a" },  { "version", "1" },
                       { "slots", 1 },        { "state", "ready" },
                       { "warmupLeftMs", 0 }, { "seq", 1 },
                       { "born", 1 } };
    items.push_back(
      Describe("servers/" + number, Item{ target.dump(), mRevision, 1, 0 }));
  }
  return JsonResponse(
    kOk,
    Json{ { "items", items }, { "hasMore", true }, { "asOf", mRevision } }
      .dump());
}

HttpResponse
StandInStore::Read(VmPort& aVmPort, const HttpPath& aPath)
{
  const bool mayBeStale = Parameter(aPath, "serializable") == "1";
  const std::string after = Parameter(aPath, "after");
  const Snapshot read =
    mayBeStale ? NextReplica(after.empty()) : Snapshot{ {}, mRevision, mItems };
  const Items& items = read.mItems;
  if (aPath.mSegments[1] == "kv-key") {
    const auto position = items.find(Parameter(aPath, "key"));
    return position == items.end()
             ? JsonResponse(kNotFound, "{}")
             : JsonResponse(kOk,
                            Describe(position->first, position->second).dump());
  }
  if (aVmPort.mState == VmPortState::kSendsEndlessPages) {
    return EndlessPage();
  }
  Json found = Json::array();
  const std::string prefix = Parameter(aPath, "prefix");
  bool hasMore = false;
  for (auto position = items.upper_bound(after); position != items.end();
       ++position) {
    if (!position->first.starts_with(prefix)) {
      continue;
    }
    if (found.size() == mPageSize) {
      hasMore = true;
      break;
    }
    found.push_back(Describe(position->first, position->second));
  }
  return JsonResponse(kOk,
                      Json{ { "items", found },
                            { "hasMore", hasMore },
                            { "asOf", read.mRevision } }
                        .dump());
}

HttpResponse
StandInStore::Watch(VmPort& aVmPort, const HttpPath& aPath)
{
  const std::string prefix = Parameter(aPath, "prefix");
  const std::uint64_t after = std::stoull(Parameter(aPath, "after"));
  const std::int64_t wait = std::stoll(Parameter(aPath, "waitMs"));
  if (wait < 0 || wait > kMaxWaitMs) {
    return JsonResponse(kBadRequest, "{}");
  }
  const TimePoint until = Now() + std::chrono::milliseconds(wait);
  const std::uint64_t watchAborts = mWatchAborts;
  while (true) {
    const bool isLosing = aVmPort.mState == VmPortState::kLosesReplies;
    if (aVmPort.mState != VmPortState::kServes && !isLosing) {
      return NoReply();
    }
    if (watchAborts != mWatchAborts) {
      return NoReply();
    }
    const std::uint64_t oldest =
      mHistory.empty() ? mRevision : std::min(mCompactedRevision, mRevision);
    if (after < oldest || (mEra != 0 && after > mRevision)) {
      return JsonResponse(kGone, "{}");
    }
    Json events = Json::array();
    for (auto position = mHistory.upper_bound(after);
         position != mHistory.end();
         ++position) {
      if (position->second.at("key").get<std::string>().starts_with(prefix)) {
        events.push_back(position->second);
      }
    }
    if (!events.empty() || Now() >= until) {
      if (isLosing) {
        return LoseReply();
      }
      return JsonResponse(
        kOk, Json{ { "events", events }, { "asOf", mRevision } }.dump());
    }
    boost::this_fiber::sleep_for(kPollInterval);
  }
}

HttpResponse
StandInStore::LoseReply()
{
  const std::shared_ptr<bool> isOpen = mIsOpen;
  while (*isOpen) {
    boost::this_fiber::sleep_for(kLostReplyPollInterval);
  }
  return NoReply();
}

HttpResponse
StandInStore::Write(const HttpRequest& aRequest, const HttpPath& aPath)
{
  switch (mWriteFault) {
    case WriteFault::kLost:
      return NoReply();
    case WriteFault::kReplyLost:
      Perform(aRequest, aPath);
      return NoReply();
    case WriteFault::kLate:
      StartFiber([this, isOpen = mIsOpen, request = aRequest, path = aPath] {
        boost::this_fiber::sleep_for(kLateWriteDelay);
        if (*isOpen) {
          Perform(request, path);
        }
      });
      return NoReply();
    case WriteFault::kNone:
      break;
  }
  return Perform(aRequest, aPath);
}

HttpResponse
StandInStore::Perform(const HttpRequest& aRequest, const HttpPath& aPath)
{
  const std::string& call = aPath.mSegments[1];
  const Json body = Json::parse(aRequest.mBody, nullptr, false);
  if (call == "kv-lease" && body.is_object()) {
    const std::uint64_t id = mNextLease++;
    const auto lifetime =
      std::chrono::milliseconds(body.at("ttlMs").get<std::int64_t>());
    mLeases[id] = Lease{ lifetime, Now() + lifetime };
    return JsonResponse(
      kOk, Json{ { "lease", id }, { "ttlMs", lifetime.count() } }.dump());
  }
  if (call == "kv-txn" && body.is_object()) {
    return Transact(body);
  }
  if (aPath.mSegments.size() != 3) {
    return JsonResponse(kNotFound, "{}");
  }
  const std::uint64_t id = std::stoull(aPath.mSegments[2]);
  const auto lease = mLeases.find(id);
  if (lease == mLeases.end()) {
    return JsonResponse(kNotFound, "{}");
  }
  if (call == "kv-keep") {
    lease->second.mExpires = Now() + lease->second.mLifetime;
  } else {
    EndLease(id);
  }
  return JsonResponse(kOk, "{}");
}

HttpResponse
StandInStore::Transact(const Json& aBody)
{
  const Json expect = aBody.value("expect", Json::array());
  const Json puts = aBody.value("puts", Json::array());
  const Json deletes = aBody.value("deletes", Json::array());
  if (expect.size() + puts.size() + deletes.size() > kMaxEntries) {
    return JsonResponse(kBadRequest, "{}");
  }
  bool holds = true;
  for (const Json& row : expect) {
    const auto position = mItems.find(row.at("key").get<std::string>());
    const std::uint64_t revision =
      position == mItems.end() ? 0 : position->second.mRevision;
    holds = holds && revision == row.at("revision").get<std::uint64_t>();
  }
  if (!holds) {
    return JsonResponse(kConflict, R"({"items":[]})");
  }
  for (const Json& put : puts) {
    const auto lease = put.value("lease", std::uint64_t{ 0 });
    if (lease != 0 && !mLeases.contains(lease)) {
      return JsonResponse(kNotFound, "{}");
    }
    if (IsWrittenByOthers(put.at("key").get<std::string>())) {
      return JsonResponse(kForbidden, "{}");
    }
  }
  for (const Json& put : puts) {
    const std::string key = put.at("key").get<std::string>();
    const auto value =
      platform::DecodeBase64(put.at("value").get<std::string>());
    if (!value) {
      return JsonResponse(kBadRequest, "{}");
    }
    Put(key, mOnPut ? mOnPut(*value) : *value);
    mItems[key].mLease = put.value("lease", std::uint64_t{ 0 });
  }
  for (const Json& key : deletes) {
    Remove(key.get<std::string>());
  }
  return JsonResponse(kOk, Json{ { "revision", mRevision } }.dump());
}

void
StandInStore::ExpireLeases()
{
  const bool isUnavailable =
    std::none_of(mVmPorts.begin(),
                 mVmPorts.end(),
                 [](const std::unique_ptr<VmPort>& aVmPort) {
                   return aVmPort->mState == VmPortState::kServes;
                 });
  std::vector<std::uint64_t> ended;
  for (auto& [id, lease] : mLeases) {
    if (isUnavailable && !mLeasesExpireDuringOutage) {
      lease.mExpires = std::max(lease.mExpires, Now() + kLateWriteDelay);
    } else if (lease.mExpires <= Now()) {
      ended.push_back(id);
    }
  }
  for (const std::uint64_t id : ended) {
    EndLease(id);
  }
}

void
StandInStore::EndLease(std::uint64_t aLease)
{
  std::vector<std::string> keys;
  for (const auto& [key, item] : mItems) {
    if (item.mLease == aLease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Remove(key);
  }
  mLeases.erase(aLease);
}

} // namespace wasabispread::testing
