/*
 * Decides what is refused and what is given up when memory is short.
 */
#include "MemoryAccount.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace wasabispread {

namespace {

/** How long the other side may move nothing before it is slow, and the bytes a
    second below which it is slow once its transfer took kSlowAfter. */
constexpr Duration kStalledAfter = std::chrono::seconds(1);
constexpr Duration kSlowAfter = std::chrono::seconds(2);
constexpr double kSlowBytesPerSecond = 64 << 10;

/** Uses whose holders wait for a caller. One that has not run is given up
    first. */
constexpr std::array kCallerUses{ MemoryUse::kIncoming, MemoryUse::kAnswer };

std::size_t
BytesFor(const HeldBytes& aHeld, MemoryUse aUse)
{
  return aHeld[static_cast<std::size_t>(aUse)];
}

} // namespace

std::size_t
TotalOf(const HeldBytes& aHeld)
{
  return std::accumulate(aHeld.begin(), aHeld.end(), std::size_t{ 0 });
}

MemoryLimits
LimitsOfProcess(std::size_t aProcessBytes)
{
  // What the program takes without any request, with its libraries, the routing
  // and the log; measured 12 to 14 MB.
  constexpr std::size_t kBytesOfProgram = std::size_t{ 14 } << 20U;
  // Of the other half, one part is for connections, the other for copies that
  // exist for a moment and what the allocator keeps.
  constexpr std::size_t kBytesOfConnection = 32U << 10U;
  const std::size_t total =
    std::max(aProcessBytes / 16,
             aProcessBytes - std::min(aProcessBytes, kBytesOfProgram)) /
    2;
  return { total, total / 4 * 3, total / 2, total / 2 / kBytesOfConnection };
}

std::optional<MemoryUse>
UseToGiveUp(const HeldBytes& aHeld, const MemoryLimits& aLimits)
{
  if (BytesFor(aHeld, MemoryUse::kReply) > aLimits.mReplyBytes) {
    return MemoryUse::kReply;
  }
  if (TotalOf(aHeld) <= aLimits.mTotalBytes) {
    return std::nullopt;
  }
  for (const MemoryUse use :
       { MemoryUse::kIncoming, MemoryUse::kAnswer, MemoryUse::kReply }) {
    if (BytesFor(aHeld, use) != 0) {
      return use;
    }
  }
  return std::nullopt;
}

bool
MayReadReply(const HeldBytes& aHeld,
             const MemoryLimits& aLimits,
             bool aIsOldest)
{
  if (TotalOf(aHeld) >= aLimits.mAdmissionBytes) {
    return aIsOldest && BytesFor(aHeld, MemoryUse::kAnswer) == 0;
  }
  return aIsOldest ||
         BytesFor(aHeld, MemoryUse::kReply) < aLimits.mReplyBytes / 2;
}

bool
IsSlow(const MemoryHolder& aHolder, TimePoint aNow)
{
  const std::chrono::duration<double> age = aNow - aHolder.mStarted;
  const double needed = kSlowBytesPerSecond * age.count();
  return aNow - aHolder.mLastMoved >= kStalledAfter ||
         (age >= kSlowAfter &&
          static_cast<double>(aHolder.mMovedBytes) < needed);
}

bool
IsGivenUpBefore(const MemoryHolder& aLeft,
                const MemoryHolder& aRight,
                TimePoint aNow)
{
  if (aLeft.mUse == MemoryUse::kReply) {
    return aLeft.mBytes > aRight.mBytes;
  }
  const bool isLeftSlow = IsSlow(aLeft, aNow);
  if (isLeftSlow != IsSlow(aRight, aNow)) {
    return isLeftSlow;
  }
  return aLeft.mLastMoved < aRight.mLastMoved;
}

void
CountGivenUp(MemoryLosses& aLosses, MemoryUse aUse)
{
  aLosses.mRequestsRefused += aUse == MemoryUse::kIncoming ? 1 : 0;
  aLosses.mAnswersGivenUp += aUse == MemoryUse::kAnswer ? 1 : 0;
  aLosses.mRepliesGivenUp += aUse == MemoryUse::kReply ? 1 : 0;
}

bool
MemoryAccount::Admit(const void* aHolder,
                     std::size_t aBytes,
                     TimePoint aNow,
                     std::function<void()> aGiveUp)
{
  const auto found = mHolders.find(aHolder);
  const bool isHeld = found != mHolders.end();
  const std::size_t held = isHeld ? found->second.mMemory.mBytes : 0;
  const std::size_t added = aBytes - std::min(held, aBytes);
  while (added != 0 && UsedBytes() + added > mLimits.mAdmissionBytes) {
    if (!GiveUpSlowCaller(aNow)) {
      ++mLosses.mRequestsRefused;
      return false;
    }
    if (isHeld && !mHolders.contains(aHolder)) {
      // It is the slow one.
      return false;
    }
  }
  Set(aHolder, MemoryUse::kIncoming, aBytes, aNow, std::move(aGiveUp));
  return true;
}

void
MemoryAccount::Set(const void* aHolder,
                   MemoryUse aUse,
                   std::size_t aBytes,
                   TimePoint aNow,
                   std::function<void()> aGiveUp)
{
  if (aBytes < kLeastCountedBytes) {
    Release(aHolder);
    return;
  }
  Holder& holder = mHolders[aHolder];
  MemoryHolder& memory = holder.mMemory;
  HeldFor(memory.mUse) -= memory.mBytes;
  if (memory.mUse != aUse || memory.mStarted == TimePoint{}) {
    memory = MemoryHolder{ aUse, 0, aNow, aNow, 0 };
  }
  memory.mBytes = aBytes;
  holder.mGiveUp = std::move(aGiveUp);
  HeldFor(aUse) += aBytes;
  mPeakBytes = std::max(mPeakBytes, UsedBytes());
  KeepLimits(aNow);
}

void
MemoryAccount::ChangeLimits(const MemoryLimits& aLimits, TimePoint aNow)
{
  mLimits = aLimits;
  KeepLimits(aNow);
}

bool
MemoryAccount::MayRead(const void* aReply, TimePoint aNow)
{
  if (!mHolders.contains(aReply)) {
    // A small reply does not wait for large ones.
    return UsedBytes() < mLimits.mTotalBytes;
  }
  const bool mayRead = MayReadReply(mHeld, mLimits, false) ||
                       MayReadReply(mHeld, mLimits, IsOldestReply(aReply));
  if (!mayRead) {
    GiveUpSlowCaller(aNow);
  }
  return mayRead;
}

bool
MemoryAccount::IsOldestReply(const void* aReply) const
{
  const auto reply = mHolders.find(aReply);
  return reply != mHolders.end() &&
         std::none_of(
           mHolders.begin(), mHolders.end(), [&](const auto& aOther) {
             const MemoryHolder& other = aOther.second.mMemory;
             return other.mUse == MemoryUse::kReply &&
                    other.mStarted < reply->second.mMemory.mStarted;
           });
}

void
MemoryAccount::Move(const void* aHolder, std::size_t aBytes, TimePoint aNow)
{
  const auto found = mHolders.find(aHolder);
  if (found != mHolders.end() && aBytes != 0) {
    found->second.mMemory.mLastMoved = aNow;
    found->second.mMemory.mMovedBytes += aBytes;
  }
}

void
MemoryAccount::Release(const void* aHolder)
{
  const auto found = mHolders.find(aHolder);
  if (found != mHolders.end()) {
    HeldFor(found->second.mMemory.mUse) -= found->second.mMemory.mBytes;
    mHolders.erase(found);
  }
}

MemoryAccount::Holders::iterator
MemoryAccount::FirstToGiveUp(MemoryUse aUse, TimePoint aNow)
{
  auto first = mHolders.end();
  for (auto holder = mHolders.begin(); holder != mHolders.end(); ++holder) {
    const MemoryHolder& memory = holder->second.mMemory;
    const bool isBefore =
      memory.mUse == aUse && memory.mBytes != 0 &&
      (first == mHolders.end() ||
       IsGivenUpBefore(memory, first->second.mMemory, aNow));
    first = isBefore ? holder : first;
  }
  return first;
}

bool
MemoryAccount::GiveUpSlowCaller(TimePoint aNow)
{
  for (const MemoryUse use : kCallerUses) {
    const auto first = FirstToGiveUp(use, aNow);
    if (first != mHolders.end() && IsSlow(first->second.mMemory, aNow)) {
      GiveUp(first);
      return true;
    }
  }
  return false;
}

void
MemoryAccount::GiveUp(Holders::iterator aHolder)
{
  const auto giveUp = std::move(aHolder->second.mGiveUp);
  CountGivenUp(mLosses, aHolder->second.mMemory.mUse);
  Release(aHolder->first);
  if (giveUp) {
    giveUp();
  }
}

void
MemoryAccount::KeepLimits(TimePoint aNow)
{
  while (const auto use = UseToGiveUp(mHeld, mLimits)) {
    GiveUp(FirstToGiveUp(*use, aNow));
  }
}

} // namespace wasabispread
