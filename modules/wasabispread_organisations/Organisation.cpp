/*
 * Fills and searches the directory of organisations.
 */
#include "wasabispread_organisations.h"

#include <algorithm>

namespace wasabispread {

namespace {

/** The limit that keeps to both. */
OrganisationLimit
Stricter(const OrganisationLimit& aLeft, const OrganisationLimit& aRight)
{
  if (!aLeft.IsLimited() || !aRight.IsLimited()) {
    return aLeft.IsLimited() ? aLeft : aRight;
  }
  return { std::min(aLeft.mRatePerSecond, aRight.mRatePerSecond),
           std::min(aLeft.mBurst, aRight.mBurst) };
}

/** Restricts an organisation to what another entry of its name allows too;
    false, with no change, when no region is allowed by both. */
bool
Restrict(Organisation& aOrganisation, const Organisation& aOther)
{
  std::vector<RegionName> regions = aOrganisation.mRegions;
  if (regions.empty()) {
    regions = aOther.mRegions;
  } else if (!aOther.mRegions.empty()) {
    std::erase_if(regions, [&](const RegionName& aRegion) {
      return std::find(aOther.mRegions.begin(),
                       aOther.mRegions.end(),
                       aRegion) == aOther.mRegions.end();
    });
    if (regions.empty()) {
      return false;
    }
  }
  aOrganisation.mRegions = std::move(regions);
  aOrganisation.mLimit = Stricter(aOrganisation.mLimit, aOther.mLimit);
  // A higher number ranks lower; no rank, the lowest value of optional, is
  // replaced.
  aOrganisation.mRank = std::max(aOrganisation.mRank, aOther.mRank);
  return true;
}

} // namespace

Result<std::monostate>
OrganisationDirectory::Add(Organisation aOrganisation,
                           const std::vector<std::string>& aKeys)
{
  const auto fail = [name = aOrganisation.mName](const char* aReason) {
    return Fail(ErrorKind::kInvalidFile,
                "the organisation \"" + name + "\" " + aReason,
                "give each organisation a name and keys of its own");
  };
  if (aOrganisation.mName.empty()) {
    PutAside(aKeys);
    return fail("has no name");
  }
  const auto [named, isNew] =
    mPositionOf.emplace(aOrganisation.mId, mOrganisations.size());
  const std::size_t position = named->second;
  if (isNew) {
    mOrganisations.push_back(std::move(aOrganisation));
  } else if (!Restrict(mOrganisations[position], aOrganisation)) {
    PutAside(aKeys);
    return fail("is named twice, with no region in common");
  }
  mHasLimits = mHasLimits || mOrganisations[position].mLimit.IsLimited();
  const char* fault = isNew ? nullptr : "is named twice";
  for (const std::string& key : aKeys) {
    if (key.empty()) {
      fault = "has an empty key";
      continue;
    }
    // A key that an organisation names twice is the same key.
    const auto [holder, isNewKey] = mHolderOf.emplace(key, position);
    if (!isNewKey && holder->second != position) {
      holder->second = kNobody;
      fault = "has a key that another organisation has too";
    }
  }
  if (fault != nullptr) {
    return fail(fault);
  }
  return std::monostate{};
}

void
OrganisationDirectory::PutAside(const std::vector<std::string>& aKeys)
{
  for (const std::string& key : aKeys) {
    mHolderOf[key] = kNobody;
  }
}

void
OrganisationDirectory::MarkUnread()
{
  mIsUnread = true;
  mHasUnreadKeys = true;
}

KeyHolder
OrganisationDirectory::FindHolder(std::string_view aKey) const
{
  const auto found = mHolderOf.find(aKey);
  if (found == mHolderOf.end()) {
    return { nullptr, mHasUnreadKeys };
  }
  if (found->second == kNobody) {
    return { nullptr, true };
  }
  return { &mOrganisations[found->second], false };
}

const Organisation*
OrganisationDirectory::Find(OrganisationId aId) const
{
  const auto found = mPositionOf.find(aId);
  return found == mPositionOf.end() ? nullptr : &mOrganisations[found->second];
}

} // namespace wasabispread
