/*
 * wasabispread_platform: the HTTP protocol of the platform's key-value store
 * and VM list, and the apply of a deployment file.
 *
 * Depends on wasabispread_wire and nlohmann-json. It does no I/O: it formats
 * requests and parses responses, which wasabispread_runtime sends and receives.
 */
#pragma once

#include <wasabispread_wire/wasabispread_wire.h>

#include "PlatformProtocol.h"

#include "ApplyMachine.h"
#include "ConfigurationFormat.h"
