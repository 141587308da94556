/*
 * Limits the number of extra attempts: hedges and retries.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace wasabispread::forwarding {

/** The limit that all VMs together keep for each service: within any window,
    extra attempts do not exceed a share of the requests plus a fixed number. */
struct ExtraAttemptRule
{
  double mShare = 0.2;
  double mFixed = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/** One VM's counts for one service, in slices of a window. */
struct WindowedExtraAttemptBudget
{
  /** Number of slices in a window. The oldest slice is counted completely, so
      the counted window is up to one slice longer than the rule's. */
  static constexpr std::size_t kSlices = 20;

  struct Slice
  {
    std::int64_t mNumber = -1;
    std::uint32_t mRequests = 0;
    std::uint32_t mExtraAttempts = 0;
  };

  std::array<Slice, kSlices + 1> mSlices{};
};

/** Counts a caller's request for the service. */
void
CountRequest(WindowedExtraAttemptBudget& aBudget,
             const ExtraAttemptRule& aRule,
             TimePoint aNow);

/** Whether one more extra attempt keeps the rule if aVms VMs all use as much as
    this one. aReservedShare, 0 to 1, is the share of the allowance that is
    reserved for more important extra attempts. */
bool
MayStartExtraAttempt(const WindowedExtraAttemptBudget& aBudget,
                     const ExtraAttemptRule& aRule,
                     std::size_t aVms,
                     double aReservedShare,
                     TimePoint aNow);

/** Counts an extra attempt that is sent. */
void
CountExtraAttempt(WindowedExtraAttemptBudget& aBudget,
                  const ExtraAttemptRule& aRule,
                  TimePoint aNow);

} // namespace wasabispread::forwarding
