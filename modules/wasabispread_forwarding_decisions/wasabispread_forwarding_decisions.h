/*
 * wasabispread_forwarding_decisions: decides how whole requests are forwarded
 * to targets that register themselves. Covers routes, the registry of targets,
 * target selection, hedges, retries, searches over shards, refusals and
 * following the store.
 *
 * Pure: no input or output, no clock, no threads. Depends on
 * wasabispread_decisions for its histogram, its timers and its random source,
 * and on wasabispread_load for what targets take well.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include "Message.h"

#include "Routing.h"

#include "TargetRecord.h"

#include "StoreListing.h"
#include "StoreMessage.h"

#include "DecisionRecord.h"

#include "ForwarderEffect.h"
#include "ForwarderEvent.h"

#include "AnswerReserve.h"
#include "ExtraAttemptBudget.h"
#include "LatencyEstimate.h"
#include "TopRecords.h"

#include "ChangeRelay.h"
#include "LoadPace.h"
#include "Membership.h"
#include "Registry.h"
#include "RequestLimit.h"
#include "ShardOwnership.h"
#include "Shutdown.h"
#include "StoreFollower.h"
#include "StoreFreshness.h"
#include "TargetPause.h"
#include "TargetPool.h"

#include "organisations/QuotaClaims.h"
#include "organisations/QuotaState.h"
#include "organisations/RequestOwner.h"
#include "placement/Evacuation.h"
#include "placement/Homes.h"
#include "store/EntryOrder.h"
#include "store/StoreEra.h"

#include "RequestState.h"

#include "ForwarderState.h"

#include "AnswerTiming.h"
#include "Isolation.h"
#include "LimitAdmission.h"
#include "Refusal.h"
#include "TargetAssignment.h"
#include "TargetSelection.h"

#include "organisations/QuotaPath.h"
#include "organisations/QuotaUse.h"

#include "RequestHandling.h"
#include "SubSearches.h"

#include "ForwarderReducer.h"
