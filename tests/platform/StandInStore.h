/*
 * A stand-in of the platform's store, written from its published protocol.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wasabispread::testing {

/** What becomes of the calls that come through one door. */
enum class DoorState : std::uint8_t
{
  kServes,
  /** No answer ever comes. */
  kIsSilent,
  /** The connection closes without an answer. */
  kCloses,
  /** 503: nothing was done. */
  kRefuses,
  /** 429: too many calls. */
  kLimits,
};

/** What becomes of writes. */
enum class WriteFault : std::uint8_t
{
  kNone,
  /** Done, but the answer is lost. */
  kAnswerLost,
  /** Not done, and no answer. */
  kLost,
  /** Done a second later, if it still holds; no answer. */
  kLate,
};

/** A key-value store with revisions, watches, transactions and leases. Each
    VM reaches it through a door of its own, so that it can be turned away
    alone. Used from the fibers of one thread. */
class StandInStore
{
public:
  explicit StandInStore(IoLoop& aLoop);
  ~StandInStore();

  StandInStore(const StandInStore&) = delete;
  StandInStore& operator=(const StandInStore&) = delete;

  /** Opens a port through which one VM reaches the store. */
  Endpoint OpenDoor();
  void SetDoor(std::size_t aDoor, DoorState aState);
  void SetAllDoors(DoorState aState);

  /** Writes as operators and targets do, beside every fault. */
  std::uint64_t Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  /** Forgets the history up to now: older watches get 410. */
  void Compact() { mHistory.clear(); }

  /** Ends each waiting watch without an answer. */
  void CutWatches();

  /** Lets reads of seconds-old content answer with the present one. */
  void HoldStaleContent() { mStale = mItems; }

  bool Has(const std::string& aKey) const { return mItems.contains(aKey); }
  std::size_t CountWithPrefix(const std::string& aPrefix) const;

  /** How long every answer takes. */
  Duration mDelay = std::chrono::milliseconds(1);
  WriteFault mWriteFault = WriteFault::kNone;
  /** Whether leases run out while no door serves; else they pause. */
  bool mLeasesRunOutWhileAway = true;
  /** Calls served or refused so far. */
  std::uint64_t mCalls = 0;

private:
  using Json = nlohmann::json;

  struct Item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    std::uint64_t mLease = 0;
  };

  using Items = std::map<std::string, Item>;

  struct Lease
  {
    Duration mLifetime{};
    TimePoint mEnds{};
  };

  struct Door
  {
    std::unique_ptr<HttpServer> mServer;
    DoorState mState = DoorState::kServes;
  };

  HttpResponse Serve(Door& aDoor, const HttpRequest& aRequest);
  HttpResponse Read(const HttpPath& aPath);
  HttpResponse Watch(Door& aDoor, const HttpPath& aPath);
  HttpResponse Write(const HttpRequest& aRequest, const HttpPath& aPath);
  HttpResponse Perform(const HttpRequest& aRequest, const HttpPath& aPath);
  HttpResponse Transact(const Json& aBody);
  void RunOutLeases();
  void EndLease(std::uint64_t aLease);
  void Note(Json aEvent);
  Json Describe(const std::string& aKey, const Item& aItem) const;

  IoLoop& mLoop;
  std::vector<std::unique_ptr<Door>> mDoors;
  Items mItems;
  /** What stale reads show, while held. */
  std::optional<Items> mStale;
  /** Every change by its revision, since the last compaction. */
  std::map<std::uint64_t, Json> mHistory;
  std::uint64_t mRevision = 7;
  /** Watches from before this revision have lost their history. */
  std::uint64_t mForgotten = 0;
  std::map<std::uint64_t, Lease> mLeases;
  std::uint64_t mNextLease = 1;
  /** Changed by each cut; a watch ends when it has changed. */
  std::uint64_t mCuts = 0;
  std::shared_ptr<bool> mIsOpen = std::make_shared<bool>(true);
};

} // namespace wasabispread::testing
