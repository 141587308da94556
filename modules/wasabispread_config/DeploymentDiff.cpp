/*
 * Compares deployments.
 */
#include "wasabispread_config.h"

namespace wasabispread {

namespace {

/** Collects the names of the fields that differ between two services or two
    targets with the same id. */
class Comparison
{
public:
  template<class Value>
  void Compare(const char* aField, const Value& aOld, const Value& aNew)
  {
    if (aOld != aNew) {
      mFields += mFields.empty() ? "" : ", ";
      mFields += aField;
    }
  }

  /** The names of the fields that differ, separated by commas. */
  const std::string& Fields() const { return mFields; }

private:
  std::string mFields;
};

std::string
ChangedFields(const Service& aOld, const Service& aNew)
{
  Comparison comparison;
  comparison.Compare("shards", aOld.mShardCount, aNew.mShardCount);
  comparison.Compare("operations", aOld.mOperations, aNew.mOperations);
  comparison.Compare("max_wait", aOld.mMaximumWait, aNew.mMaximumWait);
  comparison.Compare("prefer", aOld.mPreference, aNew.mPreference);
  comparison.Compare("least_coverage", aOld.mMinCoverage, aNew.mMinCoverage);
  comparison.Compare(
    "connection_cap", aOld.mConnectionCap, aNew.mConnectionCap);
  comparison.Compare("connect_time", aOld.mConnectTime, aNew.mConnectTime);
  comparison.Compare(
    "extra_load_percent", aOld.mExtraAttemptShare, aNew.mExtraAttemptShare);
  comparison.Compare(
    "hedge_quantile", aOld.mHedgeQuantile, aNew.mHedgeQuantile);
  return comparison.Fields();
}

std::string
ChangedFields(const Target& aOld, const Target& aNew)
{
  Comparison comparison;
  comparison.Compare("service", aOld.mService, aNew.mService);
  comparison.Compare("address", aOld.mAddress, aNew.mAddress);
  comparison.Compare("zone", aOld.mZone, aNew.mZone);
  comparison.Compare("shards", aOld.mShards, aNew.mShards);
  return comparison.Fields();
}

/** Compares two lists of services or targets. aFindNew and aFindOld return the
    element with an id, or nullptr. */
template<class Element, class FindNew, class FindOld>
void
DescribeList(const std::string& aKind,
             const std::vector<Element>& aOld,
             const std::vector<Element>& aNew,
             const FindNew& aFindNew,
             const FindOld& aFindOld,
             std::vector<std::string>& aLines)
{
  for (const Element& element : aOld) {
    if (aFindNew(element.mId) == nullptr) {
      aLines.push_back("- " + aKind + " " + element.mName);
    }
  }
  for (const Element& element : aNew) {
    const Element* before = aFindOld(element.mId);
    if (before == nullptr) {
      aLines.push_back("+ " + aKind + " " + element.mName);
      continue;
    }
    const std::string fields = ChangedFields(*before, element);
    if (!fields.empty()) {
      std::string line = "~ " + aKind + " ";
      line += element.mName;
      line += ": ";
      line += fields;
      aLines.push_back(std::move(line));
    }
  }
}

} // namespace

std::vector<std::string>
DescribeDifferences(const Deployment& aOld, const Deployment& aNew)
{
  std::vector<std::string> lines;
  if (aOld.mName != aNew.mName) {
    lines.push_back("~ deployment " + aOld.mName + ": now " + aNew.mName);
  }
  DescribeList(
    "service",
    aOld.mServices,
    aNew.mServices,
    [&aNew](ServiceId aId) { return aNew.FindService(aId); },
    [&aOld](ServiceId aId) { return aOld.FindService(aId); },
    lines);
  DescribeList(
    "target",
    aOld.mTargets,
    aNew.mTargets,
    [&aNew](TargetId aId) { return aNew.FindTarget(aId); },
    [&aOld](TargetId aId) { return aOld.FindTarget(aId); },
    lines);
  return lines;
}

} // namespace wasabispread
