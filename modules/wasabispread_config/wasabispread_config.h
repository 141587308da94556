/*
 * wasabispread_config: the operators' deployment file and the daemon's
 * settings file, parsed and checked whole.
 *
 * Depends on wasabispread_units and toml++. Pure: no I/O, no clock.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include "Fault.h"

#include "DaemonSettings.h"
#include "Deployment.h"
#include "DeploymentDiff.h"
#include "DeploymentParser.h"
#include "DeploymentSections.h"
#include "ForwarderSettings.h"
