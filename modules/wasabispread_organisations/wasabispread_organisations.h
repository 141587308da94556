/*
 * wasabispread_organisations: whose request it is, and how many requests of an
 * organisation may run. Covers access keys, the age of the knowledge that
 * decides about them, and quotas that all VMs share.
 *
 * Pure: no input or output, no clock, no threads. Depends on
 * wasabispread_units.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include "Organisation.h"

#include "KeyCheck.h"

#include "QuotaRule.h"

#include "HeldQuota.h"
#include "QuotaLedger.h"
