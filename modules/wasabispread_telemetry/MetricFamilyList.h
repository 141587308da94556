/*
 * Metric families with one value each, and their Prometheus text format.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace wasabispread {

/** Collects metric families with one value each. The prefix "wasabispread_" is
    added to each name. */
class MetricFamilyList
{
public:
  void AddCounter(const char* aName, const char* aHelp, std::uint64_t aValue);
  void AddGauge(const char* aName, const char* aHelp, double aValue);

  /** All families added so far, in the Prometheus text format. */
  std::string Text() const;

private:
  void Add(const char* aName,
           const char* aHelp,
           prometheus::MetricType aType,
           const prometheus::ClientMetric& aMetric);

  std::vector<prometheus::MetricFamily> mFamilies;
};

} // namespace wasabispread
