/*
 * wasabispread_runtime: fibers, sockets and HTTP. Feeds events to a VM's
 * reducer and performs the effects that the reducer returns.
 *
 * Depends on wasabispread_platform, wasabispread_telemetry, wasabispread_wire
 * and the modules below them, Boost.Fiber, Boost.Asio and Boost.Beast. Its
 * headers include neither Asio nor Beast. Everything runs on one thread.
 */
#pragma once

#include <wasabispread_platform/wasabispread_platform.h>
#include <wasabispread_telemetry/wasabispread_telemetry.h>
#include <wasabispread_wire/wasabispread_wire.h>

#include "FiberEvent.h"
#include "IoLoop.h"

#include "HttpClient.h"
#include "HttpServer.h"

#include "PeerTransport.h"

#include "OperatorInterface.h"
#include "VmRunner.h"
