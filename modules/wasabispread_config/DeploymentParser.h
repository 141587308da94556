/*
 * Parses the text of a deployment file into a checked Deployment.
 */
#pragma once

#include "Deployment.h"
#include "Fault.h"

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace wasabispread {

/** Parses and checks a whole file. On failure it returns all faults of the
    file, in the order of the file, and nothing of the file may be used. aFile
    is the file name that the faults show. */
tl::expected<Deployment, Faults>
ParseDeployment(std::string_view aText, const std::string& aFile);

} // namespace wasabispread
