/*
 * wasabispread_telemetry: writes the decision log as JSON lines, and formats
 * metrics for Prometheus.
 *
 * Depends on wasabispread_decisions, Boost.Log, prometheus-cpp and
 * nlohmann-json.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include "LogFormat.h"
#include "LogWriter.h"
#include "MetricFamilyList.h"
#include "MetricsText.h"
