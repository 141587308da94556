/*
 * Keeps executions in memory and appends them to a file as JSON lines.
 */
#include "ExecutionLog.h"

#include <nlohmann/json.hpp>

namespace wasabispread {

namespace {

using Json = nlohmann::ordered_json;

Json
ToJson(const RecordedExecution& aExecution)
{
  return { { "request_id", aExecution.mRequestId },
           { "target", aExecution.mTarget },
           { "shard", aExecution.mShard },
           { "attempt", aExecution.mAttempt },
           { "snapshot", aExecution.mSnapshot } };
}

} // namespace

ExecutionLog::ExecutionLog(const std::string& aFile)
{
  if (!aFile.empty()) {
    mFile.open(aFile, std::ios::app);
  }
}

void
ExecutionLog::Add(const RecordedExecution& aExecution)
{
  if (mFile.is_open()) {
    mFile << ToJson(aExecution).dump() << std::endl;
  }
  mExecutions[aExecution.mRequestId].push_back(aExecution);
  ++mCount;
}

std::string
ExecutionLog::Describe(std::string_view aRequestId) const
{
  Json json = Json::object();
  for (const auto& [requestId, executions] : mExecutions) {
    if (!aRequestId.empty() && aRequestId != requestId) {
      continue;
    }
    Json list = Json::array();
    for (const RecordedExecution& execution : executions) {
      list.push_back(ToJson(execution));
    }
    json[requestId] = std::move(list);
  }
  return json.dump();
}

std::string
ExecutionLog::DescribeCounts() const
{
  return Json{ { "executions", mCount }, { "cancelled", mCancelled } }.dump();
}

} // namespace wasabispread
