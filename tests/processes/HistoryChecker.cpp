/*
 * Implements the checks of a history of calls and executions.
 */
#include "HistoryChecker.h"

#include <algorithm>
#include <map>
#include <set>

namespace wasabispread::testing {

namespace {

using Executions = std::map<std::string, std::vector<HistoryExecution>>;

/** Checks one call against its executions and collects the violations. */
class CallChecker
{
public:
  CallChecker(const HistoryCall& aCall,
              const std::vector<HistoryExecution>& aExecutions,
              std::vector<std::string>& aViolations)
    : mCall(aCall)
    , mExecutions(aExecutions)
    , mViolations(aViolations)
  {
  }

  void Check()
  {
    if (mCall.mErrorKind.empty()) {
      CheckCoverage();
      CheckResults();
    } else if (mCall.mRan == "no" && !mExecutions.empty()) {
      Report("was not run, but a target ran it");
    }
    if (mCall.mOperation == "action" && mExecutions.size() > 1) {
      Report("is an action and ran more than once");
    }
  }

private:
  void Report(const std::string& aMessage)
  {
    mViolations.push_back(mCall.mRequestId + " " + aMessage);
  }

  void CheckCoverage()
  {
    std::set<unsigned> shards(mCall.mMissing.begin(), mCall.mMissing.end());
    for (const HistoryResult& result : mCall.mResults) {
      shards.insert(result.mShard);
    }
    const std::size_t listed = mCall.mMissing.size() + mCall.mResults.size();
    if (shards.size() != listed || listed != mCall.mShardsAsked) {
      Report("lists a shard twice or not at all");
    }
  }

  void CheckResults()
  {
    for (const HistoryResult& result : mCall.mResults) {
      const std::string expected = mCall.mRequestId + " at shard " +
                                   std::to_string(result.mShard) + " of " +
                                   result.mTarget + " at snapshot " +
                                   std::to_string(mCall.mSnapshot);
      if (result.mBody != expected) {
        Report("has a result that is not its own: " + result.mBody);
      }
      const bool isRecorded =
        std::any_of(mExecutions.begin(),
                    mExecutions.end(),
                    [&](const HistoryExecution& aExecution) {
                      return aExecution.mTarget == result.mTarget &&
                             aExecution.mShard == result.mShard &&
                             aExecution.mSnapshot == mCall.mSnapshot;
                    });
      if (!isRecorded) {
        Report("has a result that no target recorded");
      }
    }
  }

  const HistoryCall& mCall;
  const std::vector<HistoryExecution>& mExecutions;
  std::vector<std::string>& mViolations;
};

void
CheckKeys(const std::vector<HistoryCall>& aCalls,
          const Executions& aExecutions,
          std::vector<std::string>& aViolations)
{
  std::map<std::string, std::size_t> runsByKey;
  for (const HistoryCall& call : aCalls) {
    const auto found = aExecutions.find(call.mRequestId);
    if (!call.mIdempotencyKey.empty() && found != aExecutions.end()) {
      runsByKey[call.mIdempotencyKey] += found->second.size();
    }
  }
  for (const auto& [key, runs] : runsByKey) {
    if (runs > 1) {
      aViolations.push_back("idempotency key " + key + " ran " +
                            std::to_string(runs) + " times");
    }
  }
}

} // namespace

std::vector<std::string>
CheckHistory(const std::vector<HistoryCall>& aCalls,
             const std::vector<HistoryExecution>& aExecutions)
{
  Executions executions;
  for (const HistoryExecution& execution : aExecutions) {
    executions[execution.mRequestId].push_back(execution);
  }
  std::vector<std::string> violations;
  for (const HistoryCall& call : aCalls) {
    CallChecker(call, executions[call.mRequestId], violations).Check();
  }
  CheckKeys(aCalls, executions, violations);
  return violations;
}

} // namespace wasabispread::testing
