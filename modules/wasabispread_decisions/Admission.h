/*
 * Whether a request is taken or refused before anything is sent.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <optional>

namespace wasabispread {

struct CallerRequest;
struct VmState;

/** A service's requests, those of them that were admitted and have ended, and
    how much of these was not refused under load; weighted towards the present.
    Invariant: mAccepted <= mAdmitted <= mOffered, but for rounding. */
struct AdmissionState
{
  double mOffered = 0;
  double mAdmitted = 0;
  double mAccepted = 0;
  TimePoint mUpdated{};
  /** When a request whose budget seems too short may next be tried. */
  TimePoint mNextTrial{};
};

/** The service that a request may use, or why it may not. */
Result<const Service*>
CheckRequest(const VmState& aState,
             const CallerRequest& aRequest,
             TimePoint aNow);

/** The time kept back so that the answer arrives within the caller's wait. */
Duration
AnswerMargin(Duration aBudget);

/** Refuses a request that could hardly be met: its time is shorter than the
    service's fastest replies of late, or the service's targets refuse work
    under load. A share of such requests is taken so that recovery is seen. */
std::optional<Error>
CheckAdmission(VmState& aState,
               const Service& aService,
               const CallerRequest& aRequest,
               TimePoint aNow);

/** Takes in, as a request ends, how much of it, 0 to 1, was not refused under
 * load. */
void
RecordAccepted(VmState& aState,
               ServiceId aService,
               double aShare,
               TimePoint aNow);

} // namespace wasabispread
