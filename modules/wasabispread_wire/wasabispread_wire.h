/*
 * wasabispread_wire: frames between VMs, and the adapters for the outside
 * formats of callers and targets.
 *
 * Depends on wasabispread_decisions, FlatBuffers and nlohmann-json. Pure: it
 * turns bytes into typed messages and back.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include "HttpMessage.h"

#include "CallerProtocol.h"
#include "Compression.h"
#include "PeerProtocol.h"
#include "TargetProtocol.h"
