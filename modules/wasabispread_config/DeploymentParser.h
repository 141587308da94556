/*
 * Turns the text of a deployment file into a checked Deployment.
 */
#pragma once

#include "Deployment.h"
#include "Fault.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wasabispread {

/** Parses and checks a whole file. The faults, when there are any, are all
    that the file holds, in its order; nothing of the file is then in force.
    aFile names the file in faults. */
tl::expected<Deployment, Faults>
ParseDeployment(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
