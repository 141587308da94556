/*
 * What tests with real processes share: the loop of their callers, waits, and
 * a folder for files.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <functional>
#include <string>

namespace wasabispread::testing {

/** The loop that all callers of this program share. */
IoLoop&
TestLoop();

/** Waits, at most 20 s, until a condition holds; throws when it never does. */
void
AwaitCondition(const std::function<bool()>& aCondition,
               const std::string& aWhat);

/** Runs the body in as many fibers as told until it returns in each. */
void
RunConcurrently(std::size_t aFibers,
                const std::function<void(std::size_t)>& aBody);

/** A new folder under /tmp. */
std::string
MakeFolder();

} // namespace wasabispread::testing
