/*
 * wasabispread_forwarding: runs the forwarding decisions over sockets.
 *
 * Depends on wasabispread_forwarding_decisions, wasabispread_runtime and
 * wasabispread_telemetry. The outside formats come from a PlatformAdapter.
 */
#pragma once

#include <wasabispread_forwarding_decisions/wasabispread_forwarding_decisions.h>
#include <wasabispread_runtime/wasabispread_runtime.h>

#include "PlatformAdapter.h"

#include "DecisionLog.h"

#include "ForwarderMetrics.h"

#include "StoreClient.h"

#include "ForwarderRunner.h"

#include "ForwarderDaemon.h"
