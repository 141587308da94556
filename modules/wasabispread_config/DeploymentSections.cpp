/*
 * Splits a deployment file into sections and joins parsed sections.
 */
#include "wasabispread_config.h"

#include <unordered_set>

namespace wasabispread {

namespace {

constexpr std::string_view kServiceHeader = "[[service]]";

/** The position of the next line that begins with a [[service]] header, or
    npos. */
std::size_t
FindServiceLine(std::string_view aText, std::size_t aFrom)
{
  std::size_t position = aText.find(kServiceHeader, aFrom);
  while (position != std::string_view::npos && position != 0 &&
         aText[position - 1] != '\n') {
    position = aText.find(kServiceHeader, position + 1);
  }
  return position;
}

bool
HasMultiLineString(std::string_view aText)
{
  return aText.find(R"(""")") != std::string_view::npos ||
         aText.find("'''") != std::string_view::npos;
}

tl::unexpected<Faults>
Duplicate(const std::string& aWhat)
{
  return tl::unexpected<Faults>(Faults{ Fault{
    "stored", 0, 0, aWhat + " is declared twice", "rename one of them" } });
}

/** Appends parts to a deployment and detects duplicates. */
class Assembler
{
public:
  explicit Assembler(const std::vector<DeploymentPart>& aParts)
  {
    std::size_t targets = 0;
    for (const DeploymentPart& part : aParts) {
      targets += part->mTargets.size();
    }
    mDeployment.mTargets.reserve(targets);
    mDeployment.mTargetIndex.reserve(targets);
    mAddresses.reserve(targets);
  }

  /** Appends a part. Returns a description of the first duplicate, or an empty
      string when there is none. */
  std::string Append(const Deployment& aPart);

  Deployment TakeDeployment() { return std::move(mDeployment); }

private:
  std::string AppendTargets(const Deployment& aPart);

  Deployment mDeployment;
  /** Hashes of the addresses of all targets so far. */
  std::unordered_set<std::uint64_t> mAddresses;
};

std::string
Assembler::Append(const Deployment& aPart)
{
  mDeployment.mName = aPart.mName;
  const auto offset = static_cast<std::uint32_t>(mDeployment.mTargets.size());
  for (Service service : aPart.mServices) {
    const auto position =
      static_cast<std::uint32_t>(mDeployment.mServices.size());
    if (!mDeployment.mServiceIndex.emplace(service.mId, position).second) {
      return "the service '" + service.mName + "'";
    }
    for (std::uint32_t& target : service.mTargets) {
      target += offset;
    }
    for (auto& replicas : service.mReplicas) {
      for (std::uint32_t& target : replicas) {
        target += offset;
      }
    }
    mDeployment.mServices.push_back(std::move(service));
  }
  return AppendTargets(aPart);
}

std::string
Assembler::AppendTargets(const Deployment& aPart)
{
  for (const Target& target : aPart.mTargets) {
    const auto position =
      static_cast<std::uint32_t>(mDeployment.mTargets.size());
    if (!mDeployment.mTargetIndex.emplace(target.mId, position).second) {
      return "the target '" + target.mName + "'";
    }
    const std::uint64_t address =
      StableHash(target.mAddress.mHost, target.mAddress.mPort);
    if (!mAddresses.insert(address).second) {
      return "the address " + ToText(target.mAddress);
    }
    mDeployment.mTargets.push_back(target);
  }
  return {};
}

} // namespace

DeploymentSection
MakeSection(std::string aText)
{
  const std::uint64_t hash = StableHash(aText);
  return { hash, std::make_shared<const std::string>(std::move(aText)) };
}

std::vector<DeploymentSection>
SplitIntoSections(std::string_view aText)
{
  std::vector<DeploymentSection> sections;
  if (HasMultiLineString(aText)) {
    sections.push_back(MakeSection(std::string(aText)));
    return sections;
  }
  std::size_t begin = 0;
  std::size_t end = FindServiceLine(aText, 0);
  while (end != std::string_view::npos) {
    sections.push_back(
      MakeSection(std::string(aText.substr(begin, end - begin))));
    begin = end;
    end = FindServiceLine(aText, begin + 1);
  }
  sections.push_back(MakeSection(std::string(aText.substr(begin))));
  return sections;
}

std::string
JoinSections(const std::vector<DeploymentSection>& aSections)
{
  std::string text;
  for (const DeploymentSection& section : aSections) {
    text += *section.mText;
  }
  return text;
}

std::uint64_t
ContentHash(const std::vector<std::uint64_t>& aHashes)
{
  std::uint64_t hash = aHashes.size();
  for (const std::uint64_t part : aHashes) {
    hash = StableHash(std::to_string(part), hash);
  }
  return hash;
}

tl::expected<DeploymentPart, Faults>
ParseSection(const DeploymentSection& aFirst, const DeploymentSection& aSection)
{
  auto part = ParseDeployment(*aFirst.mText + *aSection.mText, "stored");
  if (!part) {
    return tl::unexpected<Faults>(std::move(part.error()));
  }
  return std::make_shared<const Deployment>(std::move(*part));
}

tl::expected<Deployment, Faults>
AssembleDeployment(const std::vector<DeploymentPart>& aParts)
{
  Assembler assembler(aParts);
  for (const DeploymentPart& part : aParts) {
    const std::string duplicate = assembler.Append(*part);
    if (!duplicate.empty()) {
      return Duplicate(duplicate);
    }
  }
  return assembler.TakeDeployment();
}

} // namespace wasabispread
