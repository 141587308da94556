/*
 * The names and help texts of a forwarder's metrics, with their values taken
 * from the forwarder's state.
 */
#include "wasabispread_forwarding.h"

namespace wasabispread::forwarding {

std::string
FormatForwarderMetrics(const ForwarderState& aState,
                       const HttpServerCounters& aCallers,
                       const MemoryAccount& aMemory,
                       const DecisionLog& aLog,
                       TimePoint aNow)
{
  const ForwarderCounters& counters = aState.mCounters;
  MetricFamilyList list;
  list.AddCounter("requests_total", "Callers' requests.", counters.mRequests);
  list.AddCounter(
    "requests_refused_total", "Requests that did not run.", counters.mRefused);
  list.AddCounter("answers_complete_total",
                  "Answers with every shard, or the target's own.",
                  counters.mAnsweredInFull);
  list.AddCounter("answers_partial_total",
                  "Answers with missing shards.",
                  counters.mAnsweredInPart);
  list.AddCounter(
    "answers_failed_total", "Requests that failed.", counters.mFailed);
  list.AddCounter("callers_gone_total",
                  "Callers that closed their connection before the answer.",
                  counters.mCallersDisconnected);
  list.AddCounter("answers_not_sent_total",
                  "Answers that could not be written to their caller.",
                  aCallers.mResponsesNotSent);
  list.AddCounter("connections_closed_with_input_total",
                  "Callers' connections that this VM closed although it had "
                  "not read all they sent.",
                  aCallers.mClosedWithInput);
  list.AddCounter("connections_refused_total",
                  "Callers' connections rejected because too many were open.",
                  aCallers.mConnectionsRefused);
  const MemoryLosses& losses = aMemory.Losses();
  list.AddCounter("requests_refused_for_memory_total",
                  "Requests refused because too much memory was held.",
                  losses.mRequestsRefused);
  list.AddCounter("answers_given_up_total",
                  "Answers given up because slow callers held too much memory.",
                  losses.mAnswersGivenUp);
  list.AddCounter("replies_given_up_total",
                  "Replies given up because they held too much memory.",
                  losses.mRepliesGivenUp);
  list.AddGauge("held_bytes",
                "Bytes held for requests, replies and answers.",
                static_cast<double>(aMemory.UsedBytes()));
  list.AddGauge("held_peak_bytes",
                "The most bytes held for these so far.",
                static_cast<double>(aMemory.PeakBytes()));
  list.AddCounter(
    "sendings_total", "Requests sent to targets.", counters.mAttempts);
  list.AddCounter("hedges_total",
                  "Requests sent to another target beside a late one.",
                  counters.mHedges);
  list.AddCounter("retries_total",
                  "Requests sent to another target after a failure.",
                  counters.mRetries);
  list.AddCounter("repeats_withheld_total",
                  "Hedges and retries that the budget did not allow.",
                  counters.mExtraAttemptsDenied);
  list.AddCounter("sub_searches_total",
                  "Parts of searches handed to other VMs.",
                  counters.mSubSearches);
  list.AddCounter("target_connections_opened_total",
                  "Connections asked for at targets.",
                  counters.mConnectionsOpened);
  list.AddCounter("target_connections_failed_total",
                  "Connections that could not be had.",
                  counters.mConnectionFailures);
  list.AddCounter(
    "store_calls_total", "Calls to the store.", counters.mStoreCalls);
  list.AddCounter("store_failures_total",
                  "Calls that the store did not answer.",
                  counters.mStoreFailures);
  list.AddCounter("entries_unreadable_total",
                  "Entries of the store that could not be read.",
                  counters.mUnreadableEntries);
  list.AddCounter("requests_unauthorised_total",
                  "Requests rejected because their key is missing, malformed "
                  "or held by no organisation.",
                  counters.mUnauthorised);
  list.AddCounter(
    "requests_refused_for_old_knowledge_total",
    "Requests refused because this VM's knowledge of keys was too "
    "old.",
    counters.mKnowledgeTooOld);
  list.AddCounter(
    "requests_over_quota_total",
    "Requests refused because their organisation's quota was used "
    "up.",
    counters.mOverQuota);
  list.AddCounter("requests_without_quota_total",
                  "Requests refused because no VM granted their organisation's "
                  "quota.",
                  counters.mQuotaUnavailable);
  list.AddCounter("requests_waited_for_quota_total",
                  "Requests that waited for an answer about quota.",
                  counters.mWaitedForQuota);
  list.AddCounter("quota_denied_total",
                  "Answers of this VM to others that denied quota.",
                  counters.mQuotaDenied);
  list.AddCounter("target_loads_unreadable_total",
                  "Statements of targets about their load that could not be "
                  "read.",
                  counters.mUnreadableLoads);
  list.AddCounter("log_lines_omitted_total",
                  "Log lines left out by their allowance.",
                  aLog.OmittedLines());
  list.AddCounter("log_lines_dropped_total",
                  "Log lines lost because standard output was not read.",
                  LogWriter::DroppedLines());
  list.AddGauge(
    "configuration_version",
    "The version of the configuration in force.",
    aState.mConfiguration == nullptr
      ? 0
      : static_cast<double>(aState.mConfiguration->mVersion.Value()));
  list.AddGauge(
    "configuration_store_version",
    "The version of the newest configuration in the store that can be read.",
    static_cast<double>(aState.mStore.mConfigurationVersion.Value()));
  list.AddGauge("configuration_unreadable",
                "1 while the newest configuration in the store cannot be read.",
                aState.mStore.mIsConfigurationUnreadable ? 1 : 0);
  list.AddGauge(
    "configuration_parts_unreadable",
    "Parts of that version that cannot be read and are put aside.",
    aState.mConfiguration == nullptr
      ? 0
      : static_cast<double>(aState.mConfiguration->mUnreadable.mCount));
  list.AddGauge(
    "configuration_age_seconds",
    "How long that version has been in force.",
    std::chrono::duration<double>(aNow - aState.mConfigurationSince).count());
  list.AddGauge("store_away",
                "1 while the store does not answer.",
                aState.mStore.IsUnavailable() ? 1 : 0);
  list.AddGauge(
    "store_reply_age_seconds",
    "How long ago the store, or the VM that watches it for this one, answered.",
    std::chrono::duration<double>(aNow - aState.mStore.mLastReply).count());
  list.AddGauge(
    "store_knowledge_age_seconds",
    "How old the knowledge of the store may be.",
    std::chrono::duration<double>(KnowledgeAge(aState, aNow)).count());
  list.AddGauge("store_revision",
                "The revision of the store up to which changes are applied.",
                static_cast<double>(aState.mStore.mRevision.Value()));
  list.AddGauge(
    "targets", "Targets known.", static_cast<double>(aState.mTargets.size()));
  list.AddGauge("targets_leaving",
                "Targets put aside because they state that they leave.",
                static_cast<double>(CountLeaving(aState)));
  list.AddGauge("targets_slow_under_load",
                "Targets that take fewer requests of this VM well than they "
                "have slots.",
                static_cast<double>(CountSlowUnderLoad(aState, aNow)));
  list.AddGauge("targets_paused",
                "Targets put aside because they asked for a pause.",
                static_cast<double>(CountPaused(aState, aNow)));
  list.AddGauge("targets_cold",
                "Cold targets that get no more than the rate that the "
                "configuration names.",
                static_cast<double>(CountCold(aState, aNow)));
  list.AddGauge("zones_evacuated",
                "Zones whose targets get no requests.",
                static_cast<double>(aState.mEvacuations.size()));
  list.AddGauge("quota_partitions_granted",
                "Partitions of organisations whose quota this VM grants.",
                static_cast<double>(CountGranted(aState, aNow)));
  list.AddGauge("key_knowledge_age_seconds",
                "How old the knowledge of keys is at most.",
                std::chrono::duration<double>(SoundAge(aState, aNow)).count());
  list.AddGauge("target_connections",
                "Connections to targets.",
                static_cast<double>(aState.mConnections.size()));
  list.AddGauge("requests_in_flight",
                "Requests under way.",
                static_cast<double>(aState.mRequests.size()));
  list.AddGauge("owners",
                "VMs that query shards for this one, itself included.",
                static_cast<double>(aState.mShardOwnership.CountOwners()));
  list.AddGauge("fleet_size",
                "VMs by which shared limits are divided.",
                static_cast<double>(FleetSize(aState, aNow)));
  return list.Text();
}

} // namespace wasabispread::forwarding
