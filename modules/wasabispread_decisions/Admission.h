/*
 * Decides whether a request is admitted or refused before anything is sent.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <optional>

namespace wasabispread {

struct CallerRequest;
struct VmState;

/** Counts of a service's requests, weighted towards the present: those offered,
    those of them that were admitted and have ended, and how much of the latter
    was not refused under load. Invariant: mAccepted <= mAdmitted <= mOffered,
    apart from rounding. */
struct AdmissionState
{
  double mOffered = 0;
  double mAdmitted = 0;
  double mAccepted = 0;
  TimePoint mUpdated{};
  /** When a request whose budget seems too short is next admitted, to see
      whether the service has become faster. */
  TimePoint mNextTrial{};
};

/** Returns the service that a request asks, or the error with which it is
    refused. */
Result<const Service*>
CheckRequest(const VmState& aState,
             const CallerRequest& aRequest,
             TimePoint aNow);

/** The part of a request's budget that is reserved for sending the answer back,
    so that it arrives within the caller's timeout. */
Duration
AnswerMargin(Duration aBudget);

/** Refuses a request that is unlikely to succeed: its budget is shorter than
    the service's fastest recent replies take, or the service's targets refuse
    work under load. Some of these requests are admitted nevertheless, so that a
    recovery is noticed. */
std::optional<Error>
CheckAdmission(VmState& aState,
               const Service& aService,
               const CallerRequest& aRequest,
               TimePoint aNow);

/** Records, when a request ends, the share of its shards, 0 to 1, that was not
    refused under load. */
void
RecordAccepted(VmState& aState,
               ServiceId aService,
               double aShare,
               TimePoint aNow);

} // namespace wasabispread
