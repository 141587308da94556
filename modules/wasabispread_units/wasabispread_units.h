/*
 * wasabispread_units: strong types for identifiers, time and errors.
 *
 * Every other module depends on this one; it depends on the standard library,
 * tl::expected and xxHash only.
 */
#pragma once

#include "StrongType.h"

#include "Error.h"
#include "Identifiers.h"
#include "Time.h"
