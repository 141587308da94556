/*
 * Shared by the tests of real processes: the I/O loop of their callers, waits
 * for a condition, concurrent runs, and temporary folders.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <functional>
#include <string>

namespace wasabispread::testing {

/** Returns the I/O loop that all callers of this program share. */
IoLoop&
TestLoop();

/** Waits until a condition holds. Throws std::runtime_error, which names aWhat,
    if it doesn't hold within aTimeout. */
void
AwaitCondition(const std::function<bool()>& aCondition,
               const std::string& aWhat,
               Duration aTimeout = std::chrono::seconds(20));

/** Runs aBody in aFibers fibers, each with its index, and waits for all of
   them. Rethrows the last exception that a fiber threw. */
void
RunConcurrently(std::size_t aFibers,
                const std::function<void(std::size_t)>& aBody);

/** Creates a new folder under /tmp and returns its path. */
std::string
MakeFolder();

} // namespace wasabispread::testing
