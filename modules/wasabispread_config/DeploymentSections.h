/*
 * A deployment file as sections, one for each service, so that VMs can send
 * and parse just those that changed.
 */
#pragma once

#include "Deployment.h"
#include "Fault.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace wasabispread {

/** A piece of a deployment file's text. Invariant: mHash is the stable hash of
 *mText, which is never null. */
struct DeploymentSection
{
  std::uint64_t mHash = 0;
  std::shared_ptr<const std::string> mText;
};

/** Makes a section of a text. */
DeploymentSection
MakeSection(std::string aText);

/** Splits a file before each [[service]] header; the first section is what
    comes before them. A file with multi-line strings stays one section, since
    such a string may hold what looks like a header. */
std::vector<DeploymentSection>
SplitIntoSections(std::string_view aText);

/** The file's text again. */
std::string
JoinSections(const std::vector<DeploymentSection>& aSections);

/** Identifies a whole file by its sections' hashes, in order. */
std::uint64_t
ContentHash(const std::vector<std::uint64_t>& aHashes);

/** A part of a deployment, parsed from one section. */
using DeploymentPart = std::shared_ptr<const Deployment>;

/** Parses one service's section under the file's first section. */
tl::expected<DeploymentPart, Faults>
ParseSection(const DeploymentSection& aFirst,
             const DeploymentSection& aSection);

/** Puts parts together in order; a service, target or address declared by two
    of them is a fault. */
tl::expected<Deployment, Faults>
AssembleDeployment(const std::vector<DeploymentPart>& aParts);

} // namespace wasabispread
