/*
 * The records of the platform's key-value store and of its VM list.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispread {

/** An earlier accepted change, as listed in a later configuration's history. */
struct ChangeRecord
{
  std::string mChangeId;
  Revision mRevision;
  std::string mAuthor;
  std::string mTime;
};

/** A configuration as it is stored. */
struct ConfigurationRecord
{
  Revision mRevision;
  std::string mChangeId;
  std::string mAuthor;
  /** Wall-clock time of the change in ISO 8601; for display only. */
  std::string mTime;
  /** The deployment file's text. */
  std::string mText;
  /** The changes before this one, newest first; their number is bounded. */
  std::vector<ChangeRecord> mEarlier;
};

/** The progress of a claimed action. */
enum class ClaimStatus : std::uint8_t
{
  /** It may be running, or the holder of the claim has failed. */
  kPending,
  kDone,
  /** It may have run. */
  kUnknown,
  /** It did not run; the claim may be taken over. */
  kNotRun,
};

/** The name of a status in the store and in answers. */
std::string_view
ToText(ClaimStatus aStatus);

/** A claim on an idempotency key as it is stored. */
struct ClaimRecord
{
  /** Identifies who made the claim. No two claims have the same holder. */
  std::string mHolder;
  RequestId mRequestId;
  ClaimStatus mStatus = ClaimStatus::kPending;
};

/** A claim as it was read; without a record when there is no claim. */
struct StoredClaim
{
  std::uint64_t mVersion = 0;
  std::optional<ClaimRecord> mRecord;
};

/** Identifies the calls of one claim to the store within one VM. */
using ClaimToken = StrongType<struct ClaimTokenTag, std::uint64_t>;

/** A VM as the platform's list states it. */
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
