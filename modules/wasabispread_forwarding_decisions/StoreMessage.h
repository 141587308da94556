/*
 * The results of calls to the platform's store, in terms of the entries that a
 * daemon follows there.
 */
#pragma once

#include "Routing.h"
#include "TargetRecord.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wasabispread::forwarding {

/** The store's counter of changes. */
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

/** Identifies a lease that the store granted. */
using LeaseId = StrongType<struct LeaseIdTag, std::uint64_t>;

/** What a VM states about itself to the others through the store. */
struct MemberRecord
{
  std::string mName;
  ZoneName mZone;
  /** The address at which other VMs reach it. */
  Endpoint mAddress;
  /** The share of a processor core that it has. */
  double mProcessorShare = 1;
};

/** The configuration was written. */
struct ConfigurationChange
{
  RoutingPointer mConfiguration;
  /** The text of the configuration as it is in the store, to be sent to other
      VMs. */
  SharedBytes mText;
};

/** The configuration was removed, or replaced by a text that is none. */
struct UnreadableConfiguration
{
  std::string mReason;
};

/** A target's entry was written. */
struct TargetChange
{
  TargetRecord mRecord;
  /** The revision of the entry; 0 when another VM passed it on. */
  StoreRevision mRevision = {};
};

/** A target's entry was removed, or was replaced by one that cannot be read. */
struct TargetRemoval
{
  InstanceId mInstance;
  /** Why the entry cannot be read; empty when it was removed. */
  std::string mReason = {};
};

/** A VM's entry was written. */
struct MemberChange
{
  MemberRecord mRecord;
};

/** A VM's entry was removed. */
struct MemberRemoval
{
  std::string mName;
};

/** The targets of a zone are to get no requests, or may get them again. */
struct EvacuationChange
{
  ZoneName mZone;
  bool mIsEvacuated = true;
};

/** A VM claimed to grant the quota of the organisations of one partition. */
struct QuotaClaimChange
{
  std::uint32_t mPartition = 0;
  std::string mVm;
  Endpoint mAddress;
  /** The revision of the claim. */
  StoreRevision mTerm;
};

/** A claim ended. */
struct QuotaClaimRemoval
{
  std::uint32_t mPartition = 0;
};

/** A claim that is to be written if the partition's claim still has the
    revision mKnown; 0 stands for none. */
struct QuotaClaim
{
  std::uint32_t mPartition = 0;
  StoreRevision mKnown;
};

/** What a lease is for. */
enum class LeasePurpose : std::uint8_t
{
  kMembership,
  kQuota,
};

/** An entry that cannot be read and changes nothing. */
struct UnreadableEntry
{
  std::string mKey;
  std::string mReason;
};

using StoreChange = std::variant<ConfigurationChange,
                                 UnreadableConfiguration,
                                 TargetChange,
                                 TargetRemoval,
                                 MemberChange,
                                 MemberRemoval,
                                 EvacuationChange,
                                 QuotaClaimChange,
                                 QuotaClaimRemoval,
                                 UnreadableEntry>;

/** Entries of the store. */
struct StoreContent
{
  std::vector<StoreChange> mEntries;
  /** Every change up to this revision is in the entries. */
  StoreRevision mRevision;
  /** No change after this revision is in the entries; at least mRevision. */
  StoreRevision mNewestRevision;
  /** The era of the store to which the revisions belong; 0 when the store names
      none. */
  std::uint64_t mEra = 0;
};

/** One page of the store's entries, as of one revision. */
struct StorePage
{
  std::vector<StoreChange> mEntries;
  StoreRevision mRevision;
  /** The key after which the next page begins; empty for the last page. */
  std::string mContinueAfter;
  /** As StoreContent::mEra. */
  std::uint64_t mEra = 0;
  /** The size of the store's answer. */
  std::size_t mTextBytes = 0;
};

/** The changes in the store since a revision. */
struct StoreChanges
{
  std::vector<StoreChange> mChanges;
  StoreRevision mRevision;
  /** The store's answer as it came, to be passed on to other VMs: as this VM
      received it from the store, or compressed from another VM. */
  SharedBytes mText;
  std::shared_ptr<const CompressedText> mCompressedText;
  /** Whether the store no longer has the requested changes, so that all entries
      must be listed. */
  bool mIsHistoryLost = false;
  /** As StoreContent::mEra. */
  std::uint64_t mEra = 0;
};

} // namespace wasabispread::forwarding
