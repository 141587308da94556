/*
 * wasabispread_load: how much load each target takes well, and how long work
 * takes there.
 *
 * Pure: no input or output, no clock, no threads. Depends on
 * wasabispread_units.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include "TargetCapacity.h"
