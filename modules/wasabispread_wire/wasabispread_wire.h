/*
 * wasabispread_wire: the encoding of frames between VMs, and the HTTP
 * interfaces of callers and targets.
 *
 * Depends on wasabispread_decisions, FlatBuffers, nlohmann-json and zlib. Its
 * functions convert between bytes and typed messages and have no side effects.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include "HttpMessage.h"

#include "CallerProtocol.h"
#include "Compression.h"
#include "PeerProtocol.h"
#include "TargetProtocol.h"
