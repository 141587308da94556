/*
 * How often requests may be sent a second time.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace wasabispread::forwarding {

/** The rule that all VMs together keep for each service: within any window,
    repeats do not exceed a share of the requests plus a fixed number. */
struct ExtraAttemptRule
{
  double mShare = 0.2;
  double mFixed = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/** One VM's count for one service, in slices of a window. */
struct WindowedExtraAttemptBudget
{
  /** Slices to a window: the oldest one is counted in full, so the window
      watched is up to a slice longer than the rule's. */
  static constexpr std::size_t kSlices = 20;

  struct Slice
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRequests = 0;
    std::uint32_t mRepeats = 0;
  };

  std::array<Slice, kSlices + 1> mSlices{};
};

/** Counts a caller's request for the service. */
void
CountRequest(WindowedExtraAttemptBudget& aBudget,
             const ExtraAttemptRule& aRule,
             TimePoint aNow);

/** Whether aMembers VMs that all spend like this one keep the rule if one more
    repeat is sent. aKeptBack, 0 to 1, is the share of the allowance left for
    more important repeats. */
bool
MayRepeat(const WindowedExtraAttemptBudget& aBudget,
          const ExtraAttemptRule& aRule,
          std::size_t aMembers,
          double aKeptBack,
          TimePoint aNow);

/** Counts a repeat that is sent. */
void
CountRepeat(WindowedExtraAttemptBudget& aBudget,
            const ExtraAttemptRule& aRule,
            TimePoint aNow);

} // namespace wasabispread::forwarding
