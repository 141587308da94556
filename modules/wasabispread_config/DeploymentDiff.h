/*
 * What differs between two deployments, in words for operators.
 */
#pragma once

#include "Deployment.h"

#include <string>
#include <vector>

namespace wasabispread {

/** One line for each service or target that was added, removed or changed,
    in the order of the files; empty when both mean the same. */
std::vector<std::string>
DescribeDifferences(const Deployment& aOld, const Deployment& aNew);

} // namespace wasabispread
