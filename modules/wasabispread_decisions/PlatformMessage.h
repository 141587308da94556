/*
 * What the platform's key-value store and VM list tell a node.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispread {

/** An accepted change, as later ones remember it. */
struct ChangeRecord
{
  std::string mChangeId;
  Revision mRevision;
  std::string mAuthor;
  std::string mTime;
};

/** A configuration as the store holds it. */
struct ConfigurationRecord
{
  Revision mRevision;
  std::string mChangeId;
  std::string mAuthor;
  /** Wall-clock time of the change in ISO 8601; for display only. */
  std::string mTime;
  /** The deployment file's text. */
  std::string mText;
  /** The changes before this one, newest first; bounded. */
  std::vector<ChangeRecord> mEarlier;
};

/** How far a claimed action has come. */
enum class ClaimStatus : std::uint8_t
{
  /** It may be running, or its holder was lost. */
  kPending,
  kDone,
  /** It may have run. */
  kUnknown,
  /** It did not run; the claim may be taken over. */
  kNotRun,
};

/** The name used in the store and in answers. */
std::string_view
ToText(ClaimStatus aStatus);

/** A claim on an idempotency key as the store holds it. */
struct ClaimRecord
{
  /** Who made it; no two claims have the same. */
  std::string mHolder;
  RequestId mRequestId;
  ClaimStatus mStatus = ClaimStatus::kPending;
};

/** A claim as read; without a record when there is none. */
struct StoredClaim
{
  std::uint64_t mVersion = 0;
  std::optional<ClaimRecord> mRecord;
};

/** Identifies a claim's calls to the store within one node. */
using ClaimToken = StrongType<struct ClaimTokenTag, std::uint64_t>;

/** A VM as the platform's list shows it. */
struct VmRecord
{
  VmId mId;
  std::string mName;
  ZoneName mZone;
  /** Where other VMs connect to it. */
  Endpoint mPeerAddress;
  bool mLeaving = false;
};

} // namespace wasabispread
