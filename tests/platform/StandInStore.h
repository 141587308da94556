/*
 * A stand-in of the platform's store, written from its published protocol.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace wasabispread::testing {

/** How the store answers the calls that arrive at one VM's port. */
enum class VmPortState : std::uint8_t
{
  kServes,
  /** Sends no answer and keeps the connection open until the state ends. */
  kNeverReplies,
  /** Loses every answer. A connection that lost one stays open and silent, also
      after the state ends; a watch without a change meanwhile goes on. */
  kLosesReplies,
  /** Closes the connection without an answer. */
  kClosesConnection,
  /** Answers 503 and does nothing. */
  kRefuses,
  /** Answers 429 (too many calls) and does nothing. */
  kLimits,
  /** Answers with more bytes than a process may hold, which are no answer. */
  kSendsTooMuch,
  /** Answers a list with one page after the other, without end. */
  kSendsEndlessPages,
};

/** The fault that is injected into writes. */
enum class WriteFault : std::uint8_t
{
  kNone,
  /** The write is done, but its answer is lost. */
  kReplyLost,
  /** The write is not done and gets no answer. */
  kLost,
  /** The write is done a second later, if its conditions hold then, and gets
      no answer. */
  kLate,
};

/** A key-value store with revisions, watches, transactions and leases. Each
    VM reaches it through a separate port, so that the store can be made
    unavailable to one VM alone. Used from the fibers of one thread. */
class StandInStore
{
public:
  explicit StandInStore(IoLoop& aLoop);
  ~StandInStore();

  StandInStore(const StandInStore&) = delete;
  StandInStore& operator=(const StandInStore&) = delete;

  /** Opens a port through which one VM reaches the store. */
  Endpoint OpenVmPort();
  void SetVmPortState(std::size_t aVmPort, VmPortState aState);
  void SetAllVmPortStates(VmPortState aState);

  /** Writes as operators and targets do, unaffected by the injected faults. */
  std::uint64_t Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);

  /** Removes the history up to now; watches from before then get 410. */
  void Compact() { mHistory.clear(); }

  /** Ends each waiting watch without an answer. */
  void AbortWatches();

  /** Comes back from a copy that is aAge old: revisions go back and are given
      out again, what VMs wrote is gone, and the era rises. */
  void ComeBackFromCopy(Duration aAge);

  /** Answers the reads that allow stale content from replicas in turn: the
      first page of each list from the first one. Each replica has its own
      lag. */
  void ServeFromReplicas(std::vector<Duration> aLags)
  {
    mReplicaLags = std::move(aLags);
  }

  bool Has(const std::string& aKey) const { return mItems.contains(aKey); }
  std::size_t CountWithPrefix(const std::string& aPrefix) const;

  /** Changes the values that VMs write; may be empty. */
  std::function<std::string(std::string aValue)> mOnPut;
  /** The era that every answer names; none names it while it is 0. */
  std::uint64_t mEra = 0;
  /** The delay of every answer. */
  Duration mDelay = std::chrono::milliseconds(1);
  WriteFault mWriteFault = WriteFault::kNone;
  /** Whether leases expire while no port serves; otherwise they are extended
      meanwhile. */
  bool mLeasesExpireDuringOutage = true;
  /** The most items of a page. */
  std::size_t mPageSize = 500;
  /** The number of calls received so far, in every state of the ports. */
  std::uint64_t mCalls = 0;
  /** Those of them that renew a lease. */
  std::uint64_t mRenewals = 0;

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

  /** The content since a time, with its revision. */
  struct Snapshot
  {
    TimePoint mSince{};
    std::uint64_t mRevision = 0;
    Items mItems;
  };

  struct Lease
  {
    Duration mLifetime{};
    TimePoint mExpires{};
  };

  struct VmPort
  {
    std::unique_ptr<HttpServer> mServer;
    VmPortState mState = VmPortState::kServes;
  };

  HttpResponse Serve(VmPort& aVmPort, const HttpRequest& aRequest);
  HttpResponse Handle(VmPort& aVmPort, const HttpRequest& aRequest);
  /** The content that the store had at a time. */
  Snapshot SnapshotAt(TimePoint aTime) const;
  HttpResponse Read(VmPort& aVmPort, const HttpPath& aPath);
  HttpResponse EndlessPage();
  HttpResponse Watch(VmPort& aVmPort, const HttpPath& aPath);
  /** Blocks until the store ends. */
  HttpResponse LoseReply();
  HttpResponse Write(const HttpRequest& aRequest, const HttpPath& aPath);
  HttpResponse Perform(const HttpRequest& aRequest, const HttpPath& aPath);
  HttpResponse Transact(const Json& aBody);
  void ExpireLeases();
  void EndLease(std::uint64_t aLease);
  void RecordEvent(Json aEvent);
  Json Describe(const std::string& aKey, const Item& aItem) const;

  IoLoop& mLoop;
  std::vector<std::unique_ptr<VmPort>> mVmPorts;
  Items mItems;
  /** The snapshot that the next read which allows stale content gets. */
  Snapshot NextReplica(bool aIsFirstPage);

  std::vector<Duration> mReplicaLags{ Duration::zero() };
  std::size_t mNextReplica = 0;
  /** The last seconds of content, oldest first. */
  std::deque<Snapshot> mSnapshots;
  /** Every change since the last compaction, by its revision. */
  std::map<std::uint64_t, Json> mHistory;
  std::uint64_t mRevision = 7;
  /** The items of endless pages so far. */
  std::uint64_t mEndlessItems = 0;
  /** Watches from before this revision get 410: their history is compacted. */
  std::uint64_t mCompactedRevision = 0;
  std::map<std::uint64_t, Lease> mLeases;
  std::uint64_t mNextLease = 1;
  /** Incremented by each AbortWatches; a watch ends when it has changed. */
  std::uint64_t mWatchAborts = 0;
  std::shared_ptr<bool> mIsOpen = std::make_shared<bool>(true);
};

} // namespace wasabispread::testing
