/*
 * The store's calls.
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
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;
constexpr Duration kPoll = std::chrono::milliseconds(2);
constexpr Duration kLateBy = std::chrono::seconds(1);
constexpr std::size_t kMostItems = 500;
constexpr std::size_t kMostEntries = 32;
constexpr std::int64_t kMostWaitMs = 30'000;

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
NoAnswer()
{
  HttpResponse response;
  response.mStatus = kNoResponse;
  return response;
}

bool
IsForeign(const std::string& aKey)
{
  return aKey.starts_with("op/") || aKey.starts_with("servers/");
}

} // namespace

StandInStore::StandInStore(IoLoop& aLoop)
  : mLoop(aLoop)
{
  StartFiber([this, isOpen = mIsOpen] {
    while (*isOpen) {
      RunOutLeases();
      boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
    }
  });
}

StandInStore::~StandInStore()
{
  *mIsOpen = false;
  SetAllDoors(DoorState::kCloses);
  for (const auto& door : mDoors) {
    door->mServer->Stop(Now());
  }
}

Endpoint
StandInStore::OpenDoor()
{
  auto door = std::make_unique<Door>();
  Endpoint address{ "127.0.0.1", NextFreePort() };
  auto server = HttpServer::Start(
    mLoop,
    address,
    HttpServerLimits{},
    HttpHandler([this, place = door.get()](const HttpRequest& aRequest) {
      return Serve(*place, aRequest);
    }));
  if (!server) {
    throw std::runtime_error(server.error().mMessage);
  }
  door->mServer = std::move(*server);
  mDoors.push_back(std::move(door));
  return address;
}

void
StandInStore::SetDoor(std::size_t aDoor, DoorState aState)
{
  mDoors.at(aDoor)->mState = aState;
}

void
StandInStore::SetAllDoors(DoorState aState)
{
  for (const auto& door : mDoors) {
    door->mState = aState;
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
  Note(Describe(aKey, item));
  return revision;
}

void
StandInStore::Remove(const std::string& aKey)
{
  if (mItems.erase(aKey) != 0) {
    ++mRevision;
    Note({ { "key", aKey }, { "revision", mRevision }, { "deleted", true } });
  }
}

void
StandInStore::CutWatches()
{
  ++mCuts;
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
StandInStore::Note(Json aEvent)
{
  if (mHistory.empty()) {
    mForgotten = mRevision - 1;
  }
  mHistory[mRevision] = std::move(aEvent);
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
StandInStore::Serve(Door& aDoor, const HttpRequest& aRequest)
{
  ++mCalls;
  const HttpPath path = ParsePath(aRequest.mTarget);
  boost::this_fiber::sleep_for(mDelay);
  switch (aDoor.mState) {
    case DoorState::kIsSilent:
      while (aDoor.mState == DoorState::kIsSilent) {
        boost::this_fiber::sleep_for(kPoll);
      }
      return NoAnswer();
    case DoorState::kCloses:
      return NoAnswer();
    case DoorState::kRefuses:
      return JsonResponse(kUnavailable, "{}");
    case DoorState::kLimits:
      return JsonResponse(kTooMany, "{}");
    case DoorState::kServes:
      break;
  }
  if (path.mSegments.size() < 2 || path.mSegments[0] != "-") {
    return JsonResponse(kNotFound, "{}");
  }
  if (path.mSegments[1] == "kv-watch") {
    return Watch(aDoor, path);
  }
  if (aRequest.mMethod == "GET") {
    return Read(path);
  }
  return Write(aRequest, path);
}

HttpResponse
StandInStore::Read(const HttpPath& aPath)
{
  const bool mayBeStale = Parameter(aPath, "serializable") == "1";
  const Items& items = mayBeStale && mStale ? *mStale : mItems;
  if (aPath.mSegments[1] == "kv-key") {
    const auto place = items.find(Parameter(aPath, "key"));
    return place == items.end()
             ? JsonResponse(kNotFound, "{}")
             : JsonResponse(kOk, Describe(place->first, place->second).dump());
  }
  Json found = Json::array();
  const std::string prefix = Parameter(aPath, "prefix");
  const std::string after = Parameter(aPath, "after");
  bool hasMore = false;
  for (auto place = items.upper_bound(after); place != items.end(); ++place) {
    if (!place->first.starts_with(prefix)) {
      continue;
    }
    if (found.size() == kMostItems) {
      hasMore = true;
      break;
    }
    found.push_back(Describe(place->first, place->second));
  }
  return JsonResponse(
    kOk,
    Json{ { "items", found }, { "hasMore", hasMore }, { "asOf", mRevision } }
      .dump());
}

HttpResponse
StandInStore::Watch(Door& aDoor, const HttpPath& aPath)
{
  const std::string prefix = Parameter(aPath, "prefix");
  const std::uint64_t after = std::stoull(Parameter(aPath, "after"));
  const std::int64_t wait = std::stoll(Parameter(aPath, "waitMs"));
  if (wait < 0 || wait > kMostWaitMs) {
    return JsonResponse(kBadRequest, "{}");
  }
  const TimePoint until = Now() + std::chrono::milliseconds(wait);
  const std::uint64_t cuts = mCuts;
  while (true) {
    if (aDoor.mState != DoorState::kServes) {
      return NoAnswer();
    }
    if (cuts != mCuts) {
      return NoAnswer();
    }
    const std::uint64_t oldest =
      mHistory.empty() ? mRevision : std::min(mForgotten, mRevision);
    if (after < oldest) {
      return JsonResponse(kGone, "{}");
    }
    Json events = Json::array();
    for (auto place = mHistory.upper_bound(after); place != mHistory.end();
         ++place) {
      if (place->second.at("key").get<std::string>().starts_with(prefix)) {
        events.push_back(place->second);
      }
    }
    if (!events.empty() || Now() >= until) {
      return JsonResponse(
        kOk, Json{ { "events", events }, { "asOf", mRevision } }.dump());
    }
    boost::this_fiber::sleep_for(kPoll);
  }
}

HttpResponse
StandInStore::Write(const HttpRequest& aRequest, const HttpPath& aPath)
{
  switch (mWriteFault) {
    case WriteFault::kLost:
      return NoAnswer();
    case WriteFault::kAnswerLost:
      Perform(aRequest, aPath);
      return NoAnswer();
    case WriteFault::kLate:
      StartFiber([this, isOpen = mIsOpen, request = aRequest, path = aPath] {
        boost::this_fiber::sleep_for(kLateBy);
        if (*isOpen) {
          Perform(request, path);
        }
      });
      return NoAnswer();
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
    lease->second.mEnds = Now() + lease->second.mLifetime;
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
  if (expect.size() + puts.size() + deletes.size() > kMostEntries) {
    return JsonResponse(kBadRequest, "{}");
  }
  bool holds = true;
  for (const Json& row : expect) {
    const auto place = mItems.find(row.at("key").get<std::string>());
    const std::uint64_t revision =
      place == mItems.end() ? 0 : place->second.mRevision;
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
    if (IsForeign(put.at("key").get<std::string>())) {
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
    Put(key, *value);
    mItems[key].mLease = put.value("lease", std::uint64_t{ 0 });
  }
  for (const Json& key : deletes) {
    Remove(key.get<std::string>());
  }
  return JsonResponse(kOk, Json{ { "revision", mRevision } }.dump());
}

void
StandInStore::RunOutLeases()
{
  const bool isAway = std::none_of(
    mDoors.begin(), mDoors.end(), [](const std::unique_ptr<Door>& aDoor) {
      return aDoor->mState == DoorState::kServes;
    });
  std::vector<std::uint64_t> ended;
  for (auto& [id, lease] : mLeases) {
    if (isAway && !mLeasesRunOutWhileAway) {
      lease.mEnds = std::max(lease.mEnds, Now() + kLateBy);
    } else if (lease.mEnds <= Now()) {
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
