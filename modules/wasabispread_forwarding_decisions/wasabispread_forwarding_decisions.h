/*
 * wasabispread_forwarding_decisions: how whole requests reach targets that
 * register themselves: routes, the registry of targets, placement, hedging,
 * retries, searches over shards, refusals and the following of the store.
 *
 * Pure: no input or output, no clock, no threads. Depends on
 * wasabispread_decisions for its histogram, its timers and its random source.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include "Message.h"

#include "Routing.h"

#include "TargetRecord.h"

#include "StoreMessage.h"

#include "DecisionLine.h"

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"

#include "LatencyEstimate.h"
#include "RepeatBudget.h"
#include "TopRecords.h"

#include "Delegation.h"
#include "Fleet.h"
#include "Registry.h"
#include "StoreFollower.h"
#include "TargetPool.h"

#include "RequestState.h"

#include "ForwarderState.h"

#include "AnswerTiming.h"
#include "Assignment.h"
#include "Isolation.h"
#include "Placement.h"
#include "Refusal.h"

#include "RequestParts.h"
#include "SubSearches.h"

#include "ForwarderReducer.h"
