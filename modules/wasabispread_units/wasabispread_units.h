/*
 * wasabispread_units: strong types for identifiers, time types and typed
 * errors.
 *
 * Every other module depends on this one. It depends only on the standard
 * library, tl::expected and xxHash.
 */
#pragma once

#include "StrongType.h"

#include "Error.h"
#include "Identifiers.h"
#include "Time.h"
