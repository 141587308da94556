/*
 * The organisations of a configuration, and which of them holds a key.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace wasabispread {

/** Identifies an organisation across versions of the configuration: the stable
    hash of its name. */
using OrganisationId = StrongType<struct OrganisationIdTag, std::uint64_t>;

/** Names a region; each availability zone lies in one. */
using RegionName = StrongType<struct RegionNameTag, std::string>;

/** How many requests of an organisation may run, over all VMs together. */
struct OrganisationLimit
{
  /** Requests per second; 0 for no limit. */
  double mRatePerSecond = 0;
  /** Requests that may run at once in addition. */
  double mBurst = 0;

  bool IsLimited() const { return mRatePerSecond > 0; }

  friend bool operator==(const OrganisationLimit&,
                         const OrganisationLimit&) = default;
};

/** An organisation as the configuration names it. */
struct Organisation
{
  OrganisationId mId;
  std::string mName;
  /** The rank of its requests, before the route's; 0 is the highest. None when
      the route's alone counts. */
  std::optional<unsigned> mRank;
  OrganisationLimit mLimit;
  /** The regions whose targets may serve it; empty for all. */
  std::vector<RegionName> mRegions;
};

/** The organisations of one configuration. Invariant: each value of mHolderOf
    is a position in mOrganisations. */
class OrganisationDirectory
{
public:
  /** Adds an organisation with its keys; kInvalidFile, without naming a key,
      when its name or one of its keys is in use or empty. */
  Result<std::monostate> Add(Organisation aOrganisation,
                             const std::vector<std::string>& aKeys);

  /** The organisation that holds a key; null when none does. The cost does not
      depend on the number of keys. */
  const Organisation* FindByKey(std::string_view aKey) const;

  /** Null when there is no such organisation. */
  const Organisation* Find(OrganisationId aId) const;

  /** Whether any organisation has a limit. */
  bool HasLimits() const { return mHasLimits; }

  const std::vector<Organisation>& All() const { return mOrganisations; }

private:
  /** Hashes a key by the library's hash function. */
  struct KeyHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aKey) const noexcept
    {
      return StableHash(aKey);
    }
  };

  std::vector<Organisation> mOrganisations;
  std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>>
    mHolderOf;
  std::unordered_map<OrganisationId, std::size_t> mPositionOf;
  bool mHasLimits = false;
};

} // namespace wasabispread
