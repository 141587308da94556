/*
 * Builds metric families and serializes them.
 */
#include "wasabispread_telemetry.h"

#include <sstream>

#include <prometheus/text_serializer.h>

namespace wasabispread {

void
MetricFamilyList::AddCounter(const char* aName,
                             const char* aHelp,
                             std::uint64_t aValue)
{
  prometheus::ClientMetric metric;
  metric.counter.value = static_cast<double>(aValue);
  Add(aName, aHelp, prometheus::MetricType::Counter, metric);
}

void
MetricFamilyList::AddGauge(const char* aName, const char* aHelp, double aValue)
{
  prometheus::ClientMetric metric;
  metric.gauge.value = aValue;
  Add(aName, aHelp, prometheus::MetricType::Gauge, metric);
}

std::string
MetricFamilyList::Text() const
{
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, mFamilies);
  return text.str();
}

void
MetricFamilyList::Add(const char* aName,
                      const char* aHelp,
                      prometheus::MetricType aType,
                      const prometheus::ClientMetric& aMetric)
{
  prometheus::MetricFamily family;
  family.name = std::string("wasabispread_") + aName;
  family.help = aHelp;
  family.type = aType;
  family.metric.push_back(aMetric);
  mFamilies.push_back(std::move(family));
}

} // namespace wasabispread
