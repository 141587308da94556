/*
 * wasabispread_platform: the platform's key-value store and VM list, as HTTP.
 *
 * Depends on wasabispread_wire and nlohmann-json. Pure: it builds requests and
 * reads responses; the runtime sends them.
 */
#pragma once

#include <wasabispread_wire/wasabispread_wire.h>

#include "PlatformProtocol.h"

#include "ApplyMachine.h"
#include "ConfigurationFormat.h"
