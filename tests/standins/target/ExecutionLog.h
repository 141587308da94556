/*
 * The log of every execution. Its file remains after the process ends.
 */
#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispread {

/** One execution of a sub-request. */
struct RecordedExecution
{
  std::string mRequestId;
  std::string mTarget;
  std::string mShard;
  std::string mAttempt;
  std::uint64_t mSnapshot = 0;
};

/** Executions by request id. Each is written to the file, if one is named,
    before its request runs, so that none is lost if the process is killed. */
class ExecutionLog
{
public:
  explicit ExecutionLog(const std::string& aFile);

  void Add(const RecordedExecution& aExecution);

  /** Counts an execution that was cancelled before it completed. */
  void CountCancelled() { ++mCancelled; }

  /** Returns as JSON the executions of one request id, or all executions when
      the id is empty. */
  std::string Describe(std::string_view aRequestId) const;

  /** Returns as JSON the numbers of executions and of cancelled executions. */
  std::string DescribeCounts() const;

private:
  std::ofstream mFile;
  std::map<std::string, std::vector<RecordedExecution>, std::less<>>
    mExecutions;
  std::uint64_t mCount = 0;
  std::uint64_t mCancelled = 0;
};

} // namespace wasabispread
