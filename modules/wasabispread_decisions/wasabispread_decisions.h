/*
 * wasabispread_decisions: everything a VM decides, as one reducer.
 *
 * Depends on wasabispread_units and wasabispread_config. Has no I/O, clock,
 * threads or randomness of its own: events, the present time and a seed are
 * arguments, and effects are returned as data. A daemon, a test, a fuzzer and a
 * benchmark all run the same code.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>
#include <wasabispread_units/wasabispread_units.h>

#include "Answer.h"
#include "ControlMessage.h"
#include "PeerMessage.h"
#include "PlatformMessage.h"
#include "TargetMessage.h"

#include "DecisionRecord.h"
#include "Effect.h"
#include "Event.h"

#include "Counters.h"
#include "DescriptorReserve.h"
#include "MemoryAccount.h"
#include "PlatformBudget.h"
#include "Random.h"
#include "TimerQueue.h"

#include "Admission.h"
#include "ConcurrencyLimit.h"
#include "ConfigurationState.h"
#include "ConfirmationState.h"
#include "ConnectionPolicy.h"
#include "CoordinatorPolicy.h"
#include "CoordinatorState.h"
#include "ExtraAttemptBudget.h"
#include "LatencyHistogram.h"
#include "MembershipState.h"
#include "PauseState.h"
#include "PlacementState.h"
#include "ReplayWindow.h"
#include "TargetOwnerState.h"

#include "VmState.h"

#include "Attempts.h"
#include "Candidates.h"
#include "ClaimState.h"
#include "Configuration.h"
#include "ConfigurationPropagation.h"
#include "Confirmation.h"
#include "Coordinator.h"
#include "Hedging.h"
#include "IdempotencyClaims.h"
#include "MemberProbing.h"
#include "Membership.h"
#include "OwnerAvoidance.h"
#include "Pause.h"
#include "Placement.h"
#include "QueryCompletion.h"
#include "QueryPlan.h"
#include "Reducer.h"
#include "SnapshotChoice.h"
#include "SnapshotFollowUp.h"
#include "TargetHealth.h"
#include "TargetOwner.h"
