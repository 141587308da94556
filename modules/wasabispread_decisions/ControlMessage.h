/*
 * Messages between VMs about configuration and membership.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread {

/** The state of a VM as other VMs see it. Of two conditions at the same version
    the later one in this list prevails. */
enum class MemberCondition : std::uint8_t
{
  kAlive,
  kSuspect,
  /** It finishes its requests in progress and takes no new ones. */
  kLeaving,
  kDead,
};

/** The name of a condition in answers and logs. */
std::string_view
ToText(MemberCondition aCondition);

/** Rises with each start of a VM's daemon and each time the VM refutes a wrong
    condition (the incarnation number of the SWIM protocol). An update with a
    lower version is stale. */
using MemberVersion = StrongType<struct MemberVersionTag, std::uint64_t>;

/** A membership update: what the sender knows of one VM. */
struct MemberUpdate
{
  VmId mVm;
  MemberVersion mVersion;
  MemberCondition mCondition = MemberCondition::kAlive;
  std::string mName;
  ZoneName mZone;
  Endpoint mPeerAddress;
};

/** Which configuration a VM has in force. */
struct ConfigurationDigest
{
  Revision mRevision;
  /** Tells two contents of one revision apart. */
  std::uint64_t mContentHash = 0;

  friend auto operator<=>(const ConfigurationDigest&,
                          const ConfigurationDigest&) = default;
};

/** Asks whether a VM answers. It also carries the sender's view of the fleet.
    The answer is a MemberProbe too. */
struct MemberProbe
{
  std::uint64_t mSequence = 0;
  bool mIsReply = false;
  /** The sender's own version and condition. */
  MemberVersion mVersion;
  MemberCondition mCondition = MemberCondition::kAlive;
  ConfigurationDigest mConfiguration;
  /** How long ago the store last answered the sender or, as far as the sender
      knows, another VM. */
  Duration mStoreAge{};
  /** Differs when two VMs know of different members. */
  std::uint64_t mMembersHash = 0;
  /** At most kMaxUpdatesPerProbe. */
  std::vector<MemberUpdate> mUpdates;
};

/** Asks for all members that the receiver knows. */
struct MembersRequest
{};

/** Some of the members that the sender knows. */
struct MembersReply
{
  std::vector<MemberUpdate> mMembers;
};

/** Who made a configuration change and when. The time is for display only. */
struct ConfigurationMetadata
{
  Revision mRevision;
  std::string mChangeId;
  std::string mAuthor;
  std::string mTime;
};

/** Offers a configuration, identified by the hashes of its sections. */
struct ConfigurationOffer
{
  ConfigurationMetadata mMetadata;
  std::vector<std::uint64_t> mSectionHashes;
  /** The sections that differ from the sender's previous configuration, which
      the receiver therefore probably lacks. */
  std::vector<DeploymentSection> mSections;
  /** Whether to forward it along the tree of the VMs of the sender's zone. */
  bool mIsPush = false;
  /** The VM at the root of the tree. */
  VmId mRoot;
};

/** Asks for sections of an offer. */
struct SectionsRequest
{
  Revision mRevision;
  std::vector<std::uint64_t> mHashes;
};

/** The requested sections, without those that the sender no longer has. */
struct SectionsReply
{
  Revision mRevision;
  std::vector<DeploymentSection> mSections;
};

/** Why a VM has not confirmed that a revision is in force. */
enum class UnconfirmedReason : std::uint8_t
{
  /** It has an earlier revision in force and may still adopt the new one. */
  kBehind,
  /** It received the revision but cannot use it, as its release is too old. */
  kRejected,
  kLeaving,
  /** It did not answer in time, or a VM above it in the tree did not. */
  kUnreachable,
};

/** The name of a reason in answers and logs. */
std::string_view
ToText(UnconfirmedReason aReason);

/** A VM that has not confirmed a revision. */
struct UnconfirmedVm
{
  VmId mVm;
  UnconfirmedReason mReason = UnconfirmedReason::kBehind;
  Revision mRevision;
};

/** Asks a VM, and through it the VMs below it in its zone's tree, whether a
    revision or a later one is in force. */
struct ConfirmationRequest
{
  /** Chosen by the sender; the reply repeats it. */
  std::uint64_t mId = 0;
  Revision mRevision;
  /** The VM at the root of the tree. */
  VmId mRoot;
  /** The time left for the reply when the request was sent. */
  Duration mBudget{};
};

/** How many VMs of a part of the fleet have confirmed a revision. */
struct ConfirmationReport
{
  std::uint32_t mConfirmed = 0;
  /** How many have not confirmed; mListed holds the first of them. */
  std::uint32_t mUnconfirmed = 0;
  std::vector<UnconfirmedVm> mListed;
};

/** Answers a ConfirmationRequest. */
struct ConfirmationReply
{
  std::uint64_t mId = 0;
  ConfirmationReport mReport;
};

} // namespace wasabispread
