/*
 * The commands that change and show the configuration.
 */
#pragma once

#include "Commands.h"

namespace wasabispread {

/** Puts a deployment file in force, or says why not. */
ExitCode
RunApply(IoLoop& aLoop, const CommandOptions& aOptions);

/** Shows what a file would change. */
ExitCode
RunDiff(IoLoop& aLoop, const CommandOptions& aOptions);

/** Shows accepted changes and refused attempts. */
ExitCode
RunHistory(IoLoop& aLoop, const CommandOptions& aOptions);

/** Waits until every live VM has a revision in force, or names those that
    have not. */
ExitCode
RunWait(IoLoop& aLoop, const CommandOptions& aOptions);

} // namespace wasabispread
