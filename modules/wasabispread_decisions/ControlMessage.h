/*
 * Messages between VMs about configuration and membership.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread {

/** What is held of a VM; of two conditions at one version the later in this
    list prevails. */
enum class MemberCondition : std::uint8_t
{
  kAlive,
  kSuspect,
  /** It finishes what it has and takes no new work. */
  kLeaving,
  kDead,
};

/** The name used in answers and logs. */
std::string_view
ToText(MemberCondition aCondition);

/** Rises with each start of a VM's daemon and with each refutation of a wrong
    suspicion; news of a lower version is stale. */
using MemberVersion = StrongType<struct MemberVersionTag, std::uint64_t>;

/** News of one VM. */
struct MemberNews
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

/** Asks whether a VM answers, and tells what the sender knows; the answer is
    a probe too. */
struct MemberProbe
{
  std::uint64_t mSequence = 0;
  bool mIsReply = false;
  /** The sender's own version and condition. */
  MemberVersion mVersion;
  MemberCondition mCondition = MemberCondition::kAlive;
  ConfigurationDigest mConfiguration;
  /** How long ago the store last spoke, directly or through others. */
  Duration mStoreAge{};
  /** Tells two views of the membership apart. */
  std::uint64_t mMembersHash = 0;
  /** At most kMaxUpdatesPerProbe. */
  std::vector<MemberNews> mUpdates;
};

/** Asks for every VM that the receiver knows. */
struct MembersRequest
{};

/** Some of the VMs that the sender knows. */
struct MembersReply
{
  std::vector<MemberNews> mMembers;
};

/** Who made a change and when; the time is for display only. */
struct ConfigurationMetadata
{
  Revision mRevision;
  std::string mChangeId;
  std::string mAuthor;
  std::string mTime;
};

/** Offers a configuration by the hashes of its sections. */
struct ConfigurationOffer
{
  ConfigurationMetadata mMetadata;
  std::vector<std::uint64_t> mSectionHashes;
  /** Sections that the receiver is thought to lack. */
  std::vector<DeploymentSection> mSections;
  /** Whether to pass it on along the tree of the sender's zone. */
  bool mIsPush = false;
  /** The VM at the tree's root. */
  VmId mRoot;
};

/** Asks for sections of an offer. */
struct SectionsRequest
{
  Revision mRevision;
  std::vector<std::uint64_t> mHashes;
};

/** Sections that were asked for; those no longer held are left out. */
struct SectionsReply
{
  Revision mRevision;
  std::vector<DeploymentSection> mSections;
};

/** Why a VM has not confirmed a revision. */
enum class UnconfirmedReason : std::uint8_t
{
  /** It has an earlier revision and may still follow. */
  kBehind,
  /** It got the revision but cannot use it: its release is too old. */
  kRejected,
  kLeaving,
  /** It, or a VM that asks it, did not answer in time. */
  kUnreachable,
};

/** The name used in answers and logs. */
std::string_view
ToText(UnconfirmedReason aReason);

/** A VM that has not confirmed. */
struct UnconfirmedVm
{
  VmId mVm;
  UnconfirmedReason mReason = UnconfirmedReason::kBehind;
  Revision mRevision;
};

/** Asks a VM and those below it in its zone's tree whether a revision, or a
    later one, is in force. */
struct ConfirmationRequest
{
  /** Chosen by the sender; the reply repeats it. */
  std::uint64_t mId = 0;
  Revision mRevision;
  VmId mRoot;
  Duration mBudget{};
};

/** What a part of the fleet confirms. */
struct ConfirmationReport
{
  std::uint32_t mConfirmed = 0;
  /** How many have not; mListed names the first of them. */
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
