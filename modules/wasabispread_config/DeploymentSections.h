/*
 * A deployment file split into sections, one for each service, so that VMs send
 * and parse only those that changed.
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

/** A section of a deployment file. Invariant: mText is not null, and mHash is
    the StableHash() of the text. */
struct DeploymentSection
{
  std::uint64_t mHash = 0;
  std::shared_ptr<const std::string> mText;
};

/** Makes a section from its text. */
DeploymentSection
MakeSection(std::string aText);

/** Splits a file before each [[service]] header; the first section is the text
    before the first header. A file with multi-line strings is not split, since
    such a string may contain a line that looks like a header. */
std::vector<DeploymentSection>
SplitIntoSections(std::string_view aText);

/** Joins sections to the text of the file. */
std::string
JoinSections(const std::vector<DeploymentSection>& aSections);

/** A hash of a whole file, computed from the hashes of its sections in
    order. */
std::uint64_t
ContentHash(const std::vector<std::uint64_t>& aHashes);

/** A part of a deployment, parsed from one section. */
using DeploymentPart = std::shared_ptr<const Deployment>;

/** Parses the section of one service together with the file's first section,
    which holds the keys that apply to the whole file. */
tl::expected<DeploymentPart, Faults>
ParseSection(const DeploymentSection& aFirst,
             const DeploymentSection& aSection);

/** Joins parts in order. It is a fault when two of them declare the same
    service, target or address. */
tl::expected<Deployment, Faults>
AssembleDeployment(const std::vector<DeploymentPart>& aParts);

} // namespace wasabispread
