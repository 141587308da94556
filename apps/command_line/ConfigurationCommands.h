/*
 * The commands that change and show the configuration.
 */
#pragma once

#include "Commands.h"

namespace wasabispread {

/** Puts a deployment file in force, or prints why it was not. */
ExitCode
RunApply(IoLoop& aLoop, const CommandOptions& aOptions);

/** Shows what applying a file would change. */
ExitCode
RunDiff(IoLoop& aLoop, const CommandOptions& aOptions);

/** Shows accepted changes of the configuration and refused ones. */
ExitCode
RunHistory(IoLoop& aLoop, const CommandOptions& aOptions);

/** Waits until every live VM has a revision in force; when the time is over,
    lists the VMs that do not. */
ExitCode
RunWait(IoLoop& aLoop, const CommandOptions& aOptions);

} // namespace wasabispread
