/*
 * wasabispread_forwarding: the runtime of a forwarder. Passes events from
 * sockets and timers to the forwarding decisions and performs their effects.
 *
 * Depends on wasabispread_forwarding_decisions, wasabispread_runtime,
 * wasabispread_telemetry and, for its settings, wasabispread_config. The
 * platform's message formats come from a PlatformAdapter.
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
