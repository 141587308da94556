/*
 * Metrics with one value each, on their way to the text format.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace wasabispread {

/** Collects families of one value each. */
class MetricFamilyList
{
public:
  void AddCounter(const char* aName, const char* aHelp, std::uint64_t aValue);
  void AddGauge(const char* aName, const char* aHelp, double aValue);

  /** Everything added so far, in the Prometheus text format. */
  std::string Text() const;

private:
  void Add(const char* aName,
           const char* aHelp,
           prometheus::MetricType aType,
           const prometheus::ClientMetric& aMetric);

  std::vector<prometheus::MetricFamily> mFamilies;
};

} // namespace wasabispread
