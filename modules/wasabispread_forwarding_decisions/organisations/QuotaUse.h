/*
 * Takes quota for requests, asks for more, and grants quota to others.
 *
 * This handles organisations whose callers hold few connections and so sit at
 * few VMs, of which some send many times their usual: equal parts for all VMs
 * would refuse most of what is owed. It also handles callers that reach another
 * VM with each request: a VM without quota asks one of its own zone, which
 * holds some in advance for all VMs there, so that requests do not wait for an
 * answer from another zone.
 */
#pragma once

#include "QuotaState.h"

namespace wasabispread::forwarding {

/** What a request gets. */
enum class QuotaOutcome : std::uint8_t
{
  kGranted,
  /** It waits for the answer of another VM, or was answered meanwhile. */
  kWaits,
  /** The quota is used up. */
  kUsedUp,
  /** The granting VM is not known or does not answer. */
  kUnavailable,
};

struct QuotaDecision
{
  QuotaOutcome mOutcome = QuotaOutcome::kGranted;
  /** When a refused request is to be tried again. */
  Duration mRetryAfter{};
  QuotaSource mSource = QuotaSource::kNone;
};

/** Takes quota for a request that arrived, or lets it wait. */
QuotaDecision
TakeQuota(ForwarderState& aState,
          const WaitingRequest& aRequest,
          TimePoint aNow,
          ForwarderEffects& aEffects);

/** Takes back the quota, taken at aTaken, of a request that has not run and
    will not run. */
void
TakeBackQuota(ForwarderState& aState,
              OrganisationId aOrganisation,
              QuotaSource aSource,
              TimePoint aTaken,
              TimePoint aNow);

/** Removes a request whose caller left while it waited; false when none did. */
bool
RemoveWaitingRequest(ForwarderState& aState, CallerToken aCaller);

/** Refuses all requests that wait, because the process stops. */
void
RefuseWaitingRequests(ForwarderState& aState,
                      TimePoint aNow,
                      ForwarderEffects& aEffects);

void
HandleQuotaRequested(ForwarderState& aState,
                     const QuotaRequested& aEvent,
                     TimePoint aNow,
                     ForwarderEffects& aEffects);

void
HandleQuotaReplied(ForwarderState& aState,
                   const QuotaReplied& aEvent,
                   TimePoint aNow,
                   ForwarderEffects& aEffects);

/** Reports what was used and extends grants. Called whenever the kQuota timer
    fires. */
void
ReviewQuota(ForwarderState& aState, TimePoint aNow, ForwarderEffects& aEffects);

/** Gives up a question that was not answered in time. */
void
HandleQuotaAnswerDue(ForwarderState& aState,
                     std::uint64_t aSequence,
                     TimePoint aNow,
                     ForwarderEffects& aEffects);

/** Gives up the questions to a VM whose connection broke. */
void
HandleGranterLost(ForwarderState& aState,
                  VmId aVm,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** The machine did not run for a time that the clock does not count: leases
    and grants end sooner by it. */
void
ShortenQuota(QuotaState& aQuota, Duration aTime);

} // namespace wasabispread::forwarding
