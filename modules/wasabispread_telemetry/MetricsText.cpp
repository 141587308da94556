/*
 * Metric names, and their values read from a VM's state.
 */
#include "wasabispread_telemetry.h"

namespace wasabispread {

namespace {

void
AddCoordinatorCounters(MetricFamilyList& aList, const Counters& aCounters)
{
  aList.AddCounter("requests_total", "Callers' requests.", aCounters.mRequests);
  aList.AddCounter("requests_refused_total",
                   "Requests refused before anything was sent.",
                   aCounters.mRequestsRefused);
  aList.AddCounter("answers_complete_total",
                   "Answers with every shard.",
                   aCounters.mAnswersComplete);
  aList.AddCounter("answers_partial_total",
                   "Answers with missing shards.",
                   aCounters.mAnswersPartial);
  aList.AddCounter("answers_failed_total",
                   "Requests that ended in an error.",
                   aCounters.mAnswersFailed);
  aList.AddCounter(
    "attempts_total", "Attempts at shards.", aCounters.mAttempts);
  aList.AddCounter(
    "retries_total", "Attempts after a failed one.", aCounters.mRetries);
  aList.AddCounter("batches_sent_total",
                   "Batches sent to target owners.",
                   aCounters.mBatchesSent);
  aList.AddCounter("late_replies_total",
                   "Replies dropped because nobody waits for them.",
                   aCounters.mLateReplies);
  aList.AddCounter("foreign_replies_total",
                   "Replies dropped because they answer something else.",
                   aCounters.mForeignReplies);
  aList.AddCounter("snapshot_mismatches_total",
                   "Replies from another snapshot, not used.",
                   aCounters.mSnapshotMismatches);
}

void
AddPolicyCounters(MetricFamilyList& aList, const Counters& aCounters)
{
  aList.AddCounter(
    "hedges_total", "Second attempts at slow shards.", aCounters.mHedges);
  aList.AddCounter("hedges_won_total",
                   "Hedges that answered before the first attempt.",
                   aCounters.mHedgesWon);
  aList.AddCounter("extra_load_denied_total",
                   "Hedges and retries not sent because the budget was spent.",
                   aCounters.mExtraAttemptsDenied);
  aList.AddCounter("early_answers_total",
                   "Answers sent once the least coverage was in.",
                   aCounters.mEarlyAnswers);
  aList.AddCounter("refused_overloaded_total",
                   "Requests refused because targets refuse work.",
                   aCounters.mRefusedOverloaded);
  aList.AddCounter("refused_budget_total",
                   "Requests refused because their time is too short.",
                   aCounters.mRefusedBudget);
  aList.AddCounter("targets_ejected_total",
                   "Times that a target was taken out of use.",
                   aCounters.mTargetsEjected);
  aList.AddCounter("targets_restored_total",
                   "Times that a target was put back to use.",
                   aCounters.mTargetsRestored);
  aList.AddCounter(
    "probes_total", "Attempts at targets out of use.", aCounters.mProbes);
  aList.AddCounter("snapshot_restarts_total",
                   "Searches begun again on another snapshot.",
                   aCounters.mSnapshotRestarts);
  aList.AddCounter("callers_gone_total",
                   "Requests whose caller left before the answer.",
                   aCounters.mCallersDisconnected);
}

void
AddOwnerCounters(MetricFamilyList& aList, const Counters& aCounters)
{
  aList.AddCounter("batches_received_total",
                   "Batches taken from entries.",
                   aCounters.mBatchesReceived);
  aList.AddCounter("duplicate_attempts_total",
                   "Attempts dropped because they were held already.",
                   aCounters.mDuplicateAttempts);
  aList.AddCounter("target_requests_total",
                   "Sub-requests sent to targets.",
                   aCounters.mTargetRequests);
  aList.AddCounter("target_connections_opened_total",
                   "Connections to targets asked for.",
                   aCounters.mTargetConnectionsOpened);
  aList.AddCounter("target_connections_failed_total",
                   "Connections to targets that could not be had.",
                   aCounters.mTargetConnectionsFailed);
  aList.AddCounter("target_connections_lost_total",
                   "Connections to targets that broke.",
                   aCounters.mTargetConnectionsLost);
  aList.AddCounter("items_refused_total",
                   "Attempts refused as not run.",
                   aCounters.mItemsRefused);
  aList.AddCounter("items_overloaded_total",
                   "Attempts refused because the wait would be too long.",
                   aCounters.mItemsOverloaded);
  aList.AddCounter("items_stopping_total",
                   "Attempts refused because this VM stops.",
                   aCounters.mItemsStopping);
  aList.AddCounter("items_without_share_total",
                   "Attempts refused because this VM has no share.",
                   aCounters.mItemsWithoutShare);
  aList.AddCounter("items_out_of_time_total",
                   "Attempts refused because their time was up.",
                   aCounters.mItemsOutOfTime);
  aList.AddCounter("items_held_back_total",
                   "Attempts refused because the target is leaving.",
                   aCounters.mItemsHeldBack);
  aList.AddCounter("target_sheds_total",
                   "Sub-requests that a target shed.",
                   aCounters.mTargetSheds);
  aList.AddCounter("target_cancels_total",
                   "Cancellations sent to targets.",
                   aCounters.mTargetCancels);
  aList.AddCounter("target_connections_closed_idle_total",
                   "Connections closed after being idle.",
                   aCounters.mTargetConnectionsClosedIdle);
  aList.AddCounter("owners_avoided_total",
                   "Times that an owner was passed over.",
                   aCounters.mOwnersAvoided);
  aList.AddCounter(
    "pauses_total", "Pauses of this process noticed.", aCounters.mPauses);
}

void
AddClaimCounters(MetricFamilyList& aList, const Counters& aCounters)
{
  aList.AddCounter("claims_made_total",
                   "Idempotency keys claimed; their actions were sent.",
                   aCounters.mClaimsMade);
  aList.AddCounter("claims_duplicate_total",
                   "Actions refused because their key was used before.",
                   aCounters.mClaimsDuplicate);
  aList.AddCounter("claims_failed_total",
                   "Actions refused because their key was not claimed.",
                   aCounters.mClaimsFailed);
  aList.AddCounter("claims_released_total",
                   "Claims made too late and given up.",
                   aCounters.mClaimsReleased);
}

void
AddConfiguration(MetricFamilyList& aList, const VmState& aState, TimePoint aNow)
{
  const Counters& counters = aState.mCounters;
  aList.AddCounter("configurations_adopted_total",
                   "Configurations adopted.",
                   counters.mConfigurationsAdopted);
  aList.AddCounter("configurations_rejected_total",
                   "Configurations not adopted.",
                   counters.mConfigurationsRejected);
  aList.AddCounter("platform_calls_total",
                   "Calls made to the platform.",
                   counters.mPlatformCalls);
  aList.AddCounter("platform_failures_total",
                   "Calls to the platform that failed.",
                   counters.mPlatformFailures);
  aList.AddCounter("configurations_pushed_total",
                   "Configurations passed on along the tree.",
                   counters.mConfigurationsPushed);
  aList.AddCounter("suspicions_total",
                   "Times that this VM suspected another one.",
                   counters.mSuspicions);
  aList.AddCounter("deaths_judged_total",
                   "Times that this VM held a suspect dead.",
                   counters.mDeathsDeclared);
  aList.AddGauge("configuration_revision",
                 "The revision in force; 0 is none.",
                 static_cast<double>(aState.mConfiguration.mRevision.Value()));
  aList.AddGauge(
    "store_silence_seconds",
    "Time since the platform's store last answered.",
    ToMilliseconds(aNow - aState.mConfiguration.mStoreLastAnswered) / 1000.0);
}

void
AddGauges(MetricFamilyList& aList, const VmState& aState)
{
  aList.AddGauge("members",
                 "VMs known, this one included.",
                 static_cast<double>(aState.mMembership.mMembers.size()));
  aList.AddGauge("requests_in_flight",
                 "Requests under way.",
                 static_cast<double>(aState.mCoordinator.mQueries.size()));
  aList.AddGauge("items_held",
                 "Attempts that this VM holds as owner.",
                 static_cast<double>(aState.mTargetOwner.mItems.size()));
  aList.AddGauge("target_connections",
                 "Connections to targets, open or opening.",
                 static_cast<double>(aState.mTargetOwner.mConnections.size()));
  aList.AddGauge("target_pools",
                 "Targets that this VM has a connection pool for.",
                 static_cast<double>(aState.mTargetOwner.mPools.size()));
  aList.AddGauge("owners_avoided",
                 "Owners passed over at present.",
                 static_cast<double>(aState.mPlacement.mAvoided.size()));
  aList.AddGauge(
    "ready", "1 while this VM takes requests.", aState.IsReady() ? 1.0 : 0.0);
}

} // namespace

std::string
FormatMetrics(const VmState& aState, TimePoint aNow)
{
  MetricFamilyList list;
  AddCoordinatorCounters(list, aState.mCounters);
  AddPolicyCounters(list, aState.mCounters);
  AddOwnerCounters(list, aState.mCounters);
  AddClaimCounters(list, aState.mCounters);
  AddConfiguration(list, aState, aNow);
  AddGauges(list, aState);
  list.AddCounter("log_lines_dropped_total",
                  "Log lines dropped because the queue was full.",
                  LogWriter::DroppedLines());
  return list.Text();
}

} // namespace wasabispread
