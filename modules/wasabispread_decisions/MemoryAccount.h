/*
 * Bounds the memory that a process holds for requests, replies and answers, so
 * that it is not ended for its memory with all requests in progress. Each of
 * these is within a limit of its own; this handles many of them at once.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <unordered_map>

namespace wasabispread {

/** What held bytes are. */
enum class MemoryUse : std::uint8_t
{
  /** A request that is being received, and so has not run. */
  kIncoming,
  /** An answer that is being written. */
  kAnswer,
  /** A reply that is being received from a target. */
  kReply,
  /** A request in progress, which is never given up. */
  kRequest,
};

inline constexpr std::size_t kMemoryUses = 4;

/** The bytes held for each use, indexed by MemoryUse. */
using HeldBytes = std::array<std::size_t, kMemoryUses>;

std::size_t
TotalOf(const HeldBytes& aHeld);

/** How many bytes may be held. */
struct MemoryLimits
{
  /** For all uses; beyond it, what is being received or written is given
      up. */
  std::size_t mTotalBytes = 0;
  /** For all uses, counting a new request; beyond it, the request is
      refused. */
  std::size_t mAdmissionBytes = 0;
  /** For replies. */
  std::size_t mReplyBytes = 0;
  /** How many connections clients may have; each takes memory even while it is
      idle. */
  std::size_t mConnections = 0;
};

/** The limits of a process that may use aProcessBytes in all. */
MemoryLimits
LimitsOfProcess(std::size_t aProcessBytes);

/** The limits of a server that does not bound its memory. */
inline constexpr MemoryLimits kNoMemoryLimits{
  std::numeric_limits<std::size_t>::max(),
  std::numeric_limits<std::size_t>::max(),
  std::numeric_limits<std::size_t>::max(),
  std::numeric_limits<std::size_t>::max()
};

/** What is given up so that the limits hold; none when they do. */
std::optional<MemoryUse>
UseToGiveUp(const HeldBytes& aHeld, const MemoryLimits& aLimits);

/** Whether more of a reply may be read. The oldest reply goes on although there
    is little room, unless answers make room first: else none would end. */
bool
MayReadReply(const HeldBytes& aHeld,
             const MemoryLimits& aLimits,
             bool aIsOldest);

/** The bytes of one transfer, and how it proceeds. */
struct MemoryHolder
{
  MemoryUse mUse = MemoryUse::kIncoming;
  std::size_t mBytes = 0;
  /** When it began to hold bytes for this use. */
  TimePoint mStarted{};
  /** When the other side last sent or accepted bytes, and how many in all. */
  TimePoint mLastMoved{};
  std::size_t mMovedBytes = 0;
};

/** Whether the other side is so slow that it is given up before new requests
    are refused. */
bool
IsSlow(const MemoryHolder& aHolder, TimePoint aNow);

/** Whether aLeft is given up before aRight, of the same use. */
bool
IsGivenUpBefore(const MemoryHolder& aLeft,
                const MemoryHolder& aRight,
                TimePoint aNow);

/** How much was refused or given up so far. */
struct MemoryLosses
{
  /** Requests refused before they were received completely. */
  std::uint64_t mRequestsRefused = 0;
  std::uint64_t mAnswersGivenUp = 0;
  std::uint64_t mRepliesGivenUp = 0;

  bool operator==(const MemoryLosses&) const = default;
};

/** Counts one holder of a use that is given up. */
void
CountGivenUp(MemoryLosses& aLosses, MemoryUse aUse);

/** Counts the bytes that each holder, known by its address, has. Decides which
    requests are refused, and gives up holders when a limit is exceeded. Less
    than kLeastCountedBytes is not counted, so that ordinary requests cost
    nothing. Invariant: mHeld is the sum over all holders. */
class MemoryAccount
{
public:
  static constexpr std::size_t kLeastCountedBytes = 4096;

  explicit MemoryAccount(const MemoryLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  /** Begins or continues to receive a request of aBytes; false, and nothing is
      counted, when it must be refused. aGiveUp is called when it is given
      up. */
  bool Admit(const void* aHolder,
             std::size_t aBytes,
             TimePoint aNow,
             std::function<void()> aGiveUp);

  /** Sets what a holder has. When it is given up, aGiveUp is called and the
      bytes are no longer counted. */
  void Set(const void* aHolder,
           MemoryUse aUse,
           std::size_t aBytes,
           TimePoint aNow,
           std::function<void()> aGiveUp = {});

  /** Whether more of a reply may be read. When it may not, slow callers are
      given up; it is to be asked again soon. */
  bool MayRead(const void* aReply, TimePoint aNow);

  /** Records that the other side of a holder sent or accepted bytes. */
  void Move(const void* aHolder, std::size_t aBytes, TimePoint aNow);

  /** Drops the bytes of a holder. */
  void Release(const void* aHolder);

  const MemoryLimits& Limits() const { return mLimits; }

  /** Puts changed limits in force. */
  void ChangeLimits(const MemoryLimits& aLimits, TimePoint aNow);

  std::size_t UsedBytes() const { return TotalOf(mHeld); }
  std::size_t PeakBytes() const { return mPeakBytes; }
  const MemoryLosses& Losses() const { return mLosses; }

private:
  struct Holder
  {
    MemoryHolder mMemory;
    std::function<void()> mGiveUp;
  };
  using Holders = std::unordered_map<const void*, Holder>;

  std::size_t& HeldFor(MemoryUse aUse)
  {
    return mHeld[static_cast<std::size_t>(aUse)];
  }
  /** The holder of a use that is given up first; mHolders.end() for none. */
  Holders::iterator FirstToGiveUp(MemoryUse aUse, TimePoint aNow);
  /** Whether no other reply is held for longer. */
  bool IsOldestReply(const void* aReply) const;
  /** Gives up a slow caller; false when there is none. */
  bool GiveUpSlowCaller(TimePoint aNow);
  void GiveUp(Holders::iterator aHolder);
  /** Gives up holders until the limits hold. */
  void KeepLimits(TimePoint aNow);

  MemoryLimits mLimits;
  Holders mHolders;
  HeldBytes mHeld{};
  std::size_t mPeakBytes = 0;
  MemoryLosses mLosses;
};

} // namespace wasabispread
