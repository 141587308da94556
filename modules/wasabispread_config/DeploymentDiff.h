/*
 * Describes the differences between two deployments for operators.
 */
#pragma once

#include "Deployment.h"

#include <string>
#include <vector>

namespace wasabispread {

/** Returns one line for the deployment if it was renamed, and one for each
    service or target that was added, removed or changed. Services come before
    targets; in each group, removals come first. Empty when the deployments are
    equal. */
std::vector<std::string>
DescribeDifferences(const Deployment& aOld, const Deployment& aNew);

} // namespace wasabispread
