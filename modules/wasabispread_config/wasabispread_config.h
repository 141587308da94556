/*
 * wasabispread_config: parses and checks the deployment file and the settings
 * files of the daemons.
 *
 * Depends on wasabispread_units and toml++. It does no I/O and reads no clock.
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
