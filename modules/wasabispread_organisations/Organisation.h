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

/** Who holds a key. */
struct KeyHolder
{
  /** Null when no organisation that can be served holds it. */
  const Organisation* mOrganisation = nullptr;
  /** Whether the configuration has the key, or may have it, without a usable
      statement of whose it is. False when mOrganisation is not null. */
  bool mIsUndecided = false;
};

/** The organisations of one configuration, and the keys of those that cannot be
    served. Invariant: each value of mHolderOf is a position in mOrganisations
    or kNobody. */
class OrganisationDirectory
{
public:
  /** Adds an organisation with its keys. A key that another organisation has
      too then belongs to neither. Two entries with one name are one
      organisation, with the keys of both and the stricter terms of each. The
      keys of an entry without a name, or without a region that its other entry
      allows, are put aside. The error, kInvalidFile, tells what was odd without
      naming a key; the rest is added all the same. */
  Result<std::monostate> Add(Organisation aOrganisation,
                             const std::vector<std::string>& aKeys);

  /** Puts aside the keys of an organisation that cannot be served. */
  void PutAside(const std::vector<std::string>& aKeys);

  /** Records that some organisation has keys that could not be read. */
  void AddUnreadKeys() { mHasUnreadKeys = true; }

  /** Records that no organisation could be read. */
  void MarkUnread();

  /** Whether no organisation could be read, so that nothing is known about any
      key. */
  bool IsUnread() const { return mIsUnread; }

  /** Who holds a key. The cost does not depend on the number of keys. */
  KeyHolder FindHolder(std::string_view aKey) const;

  /** The organisation that holds a key; null when none that can be served
      does. */
  const Organisation* FindByKey(std::string_view aKey) const
  {
    return FindHolder(aKey).mOrganisation;
  }

  /** Null when there is no such organisation. */
  const Organisation* Find(OrganisationId aId) const;

  /** Whether any organisation has a limit. */
  bool HasLimits() const { return mHasLimits; }

  const std::vector<Organisation>& All() const { return mOrganisations; }

private:
  /** The holder of a key that was put aside. */
  static constexpr std::size_t kNobody = SIZE_MAX;

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
  bool mHasUnreadKeys = false;
  bool mIsUnread = false;
};

} // namespace wasabispread
