/*
 * Fills and searches the directory of organisations.
 */
#include "wasabispread_organisations.h"

namespace wasabispread {

namespace {

tl::unexpected<Error>
Unusable(const std::string& aOrganisation, const char* aReason)
{
  return Fail(ErrorKind::kInvalidFile,
              "the organisation \"" + aOrganisation + "\" " + aReason,
              "give each organisation a name and keys of its own");
}

} // namespace

Result<std::monostate>
OrganisationDirectory::Add(Organisation aOrganisation,
                           const std::vector<std::string>& aKeys)
{
  const std::size_t position = mOrganisations.size();
  if (aOrganisation.mName.empty()) {
    return Unusable(aOrganisation.mName, "has no name");
  }
  if (!mPositionOf.emplace(aOrganisation.mId, position).second) {
    return Unusable(aOrganisation.mName, "is named twice");
  }
  for (const std::string& key : aKeys) {
    if (key.empty()) {
      return Unusable(aOrganisation.mName, "has an empty key");
    }
    // A key that an organisation names twice is the same key.
    const auto [holder, isNew] = mHolderOf.emplace(key, position);
    if (!isNew && holder->second != position) {
      return Unusable(aOrganisation.mName,
                      "has a key that another organisation has too");
    }
  }
  mHasLimits = mHasLimits || aOrganisation.mLimit.IsLimited();
  mOrganisations.push_back(std::move(aOrganisation));
  return std::monostate{};
}

const Organisation*
OrganisationDirectory::FindByKey(std::string_view aKey) const
{
  const auto found = mHolderOf.find(aKey);
  return found == mHolderOf.end() ? nullptr : &mOrganisations[found->second];
}

const Organisation*
OrganisationDirectory::Find(OrganisationId aId) const
{
  const auto found = mPositionOf.find(aId);
  return found == mPositionOf.end() ? nullptr : &mOrganisations[found->second];
}

} // namespace wasabispread
