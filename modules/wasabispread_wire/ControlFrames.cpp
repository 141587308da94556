/*
 * Encoding and decoding of configuration, membership and routing messages.
 */
#include "wasabispread_wire.h"

#include "ControlFrames.h"
#include "SearchFrames.h"

#include <algorithm>

namespace wasabispread {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

/** The size in bytes from which text is compressed; for shorter text the saving
    is not worth the time. */
constexpr std::size_t kMinCompressedBytes = 256;
/** The largest text of a section or of a routing configuration, in bytes. */
constexpr std::uint32_t kMaxSectionBytes = 16U << 20U;
/** The maximum number of member updates that a received probe may hold. */
constexpr std::size_t kMaxMemberUpdates = 64;

tl::unexpected<Error>
Invalid(std::string aMessage)
{
  return Fail(ErrorKind::kInvalidFrame,
              std::move(aMessage),
              "close the connection; compare the releases of both VMs");
}

/** Whole milliseconds of a duration; 0 for a negative one. */
std::uint64_t
NonNegativeMilliseconds(Duration aDuration)
{
  const auto duration = std::max(Duration::zero(), aDuration);
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

/** Converts a duration from a frame. Durations above one day are shortened to
    one day, which has the same effect. */
Duration
BoundedDuration(std::uint64_t aMilliseconds)
{
  constexpr std::uint64_t kMaxMilliseconds = 86'400'000;
  return std::chrono::milliseconds(std::min(aMilliseconds, kMaxMilliseconds));
}

flatbuffers::Offset<frame::MemberNews>
Encode(Builder& aBuilder, const MemberUpdate& aUpdate)
{
  const auto name = aBuilder.CreateString(aUpdate.mName);
  const auto zone = aBuilder.CreateSharedString(aUpdate.mZone.Value());
  const auto host = aBuilder.CreateString(aUpdate.mPeerAddress.mHost);
  return frame::CreateMemberNews(aBuilder,
                                 aUpdate.mVm.Value(),
                                 aUpdate.mVersion.Value(),
                                 static_cast<std::uint8_t>(aUpdate.mCondition),
                                 name,
                                 zone,
                                 host,
                                 aUpdate.mPeerAddress.mPort);
}

flatbuffers::Offset<frame::Section>
Encode(Builder& aBuilder, const DeploymentSection& aSection)
{
  const std::string& text = *aSection.mText;
  const bool isCompressed = text.size() >= kMinCompressedBytes;
  const std::string compressed =
    isCompressed ? Compress(text, CompressionLevel::kBestSpeed) : std::string();
  const std::string& sent = isCompressed ? compressed : text;
  const auto bytes = aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(sent.data()), sent.size());
  return frame::CreateSection(
    aBuilder,
    aSection.mHash,
    isCompressed ? static_cast<std::uint32_t>(text.size()) : 0U,
    bytes);
}

template<class Part, class Table>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Table>>>
EncodeAll(Builder& aBuilder, const std::vector<Part>& aParts)
{
  std::vector<flatbuffers::Offset<Table>> offsets;
  offsets.reserve(aParts.size());
  for (const Part& part : aParts) {
    offsets.push_back(Encode(aBuilder, part));
  }
  return aBuilder.CreateVector(offsets);
}

Result<MemberUpdate>
Decode(const frame::MemberNews& aUpdate)
{
  if (aUpdate.condition() > static_cast<std::uint8_t>(MemberCondition::kDead)) {
    return Invalid("a member update names an unknown condition");
  }
  MemberUpdate update;
  update.mVm = VmId(aUpdate.vm());
  update.mVersion = MemberVersion(aUpdate.version());
  update.mCondition = static_cast<MemberCondition>(aUpdate.condition());
  update.mName = aUpdate.name()->str();
  update.mZone = ZoneName(aUpdate.zone()->str());
  update.mPeerAddress = Endpoint{ aUpdate.host()->str(), aUpdate.port() };
  return update;
}

Result<DeploymentSection>
Decode(const frame::Section& aSection)
{
  const std::string_view sent(
    reinterpret_cast<const char*>(aSection.text()->data()),
    aSection.text()->size());
  if (aSection.text_bytes() > kMaxSectionBytes) {
    return Invalid("a section is above 16 MiB");
  }
  Result<std::string> text = std::string(sent);
  if (aSection.text_bytes() != 0) {
    text = Decompress(sent, aSection.text_bytes());
  }
  if (!text) {
    return tl::unexpected<Error>(text.error());
  }
  DeploymentSection section = MakeSection(std::move(*text));
  if (section.mHash != aSection.hash()) {
    return Invalid("a section's text does not match the hash sent with it");
  }
  return section;
}

template<class Part, class Table>
Result<std::vector<Part>>
DecodeAll(const flatbuffers::Vector<flatbuffers::Offset<Table>>* aTables)
{
  std::vector<Part> parts;
  if (aTables == nullptr) {
    return parts;
  }
  parts.reserve(aTables->size());
  for (const Table* table : *aTables) {
    auto part = Decode(*table);
    if (!part) {
      return tl::unexpected<Error>(part.error());
    }
    parts.push_back(std::move(*part));
  }
  return parts;
}

std::vector<std::uint64_t>
NumbersFrom(const flatbuffers::Vector<std::uint64_t>& aNumbers)
{
  return { aNumbers.begin(), aNumbers.end() };
}

Result<PeerFrame>
DecodeProbe(const frame::MemberProbe& aMessage)
{
  const bool isKnown =
    aMessage.condition() <= static_cast<std::uint8_t>(MemberCondition::kDead);
  const bool isBounded =
    aMessage.news() == nullptr || aMessage.news()->size() <= kMaxMemberUpdates;
  if (!isKnown || !isBounded) {
    return Invalid("a probe names an unknown condition or too many updates");
  }
  auto updates = DecodeAll<MemberUpdate>(aMessage.news());
  if (!updates) {
    return tl::unexpected<Error>(updates.error());
  }
  MemberProbe probe;
  probe.mSequence = aMessage.sequence();
  probe.mIsReply = aMessage.is_reply();
  probe.mVersion = MemberVersion(aMessage.version());
  probe.mCondition = static_cast<MemberCondition>(aMessage.condition());
  probe.mConfiguration = { Revision(aMessage.revision()),
                           aMessage.content_hash() };
  probe.mStoreAge = BoundedDuration(aMessage.store_age_ms());
  probe.mMembersHash = aMessage.members_hash();
  probe.mUpdates = std::move(*updates);
  return PeerFrame(PeerMessage(std::move(probe)));
}

Result<PeerFrame>
DecodeOffer(const frame::ConfigurationOffer& aMessage)
{
  auto sections = DecodeAll<DeploymentSection>(aMessage.sections());
  if (!sections) {
    return tl::unexpected<Error>(sections.error());
  }
  ConfigurationOffer offer;
  offer.mMetadata = { Revision(aMessage.revision()),
                      aMessage.change_id()->str(),
                      aMessage.author()->str(),
                      aMessage.time()->str() };
  offer.mSectionHashes = NumbersFrom(*aMessage.section_hashes());
  offer.mSections = std::move(*sections);
  offer.mIsPush = aMessage.is_push();
  offer.mRoot = VmId(aMessage.root());
  return PeerFrame(PeerMessage(std::move(offer)));
}

Result<PeerFrame>
DecodeSections(const frame::SectionsReply& aMessage)
{
  auto sections = DecodeAll<DeploymentSection>(aMessage.sections());
  if (!sections) {
    return tl::unexpected<Error>(sections.error());
  }
  return PeerFrame(PeerMessage(
    SectionsReply{ Revision(aMessage.revision()), std::move(*sections) }));
}

Result<PeerFrame>
DecodeMembers(const frame::MembersReply& aMessage)
{
  auto members = DecodeAll<MemberUpdate>(aMessage.members());
  if (!members) {
    return tl::unexpected<Error>(members.error());
  }
  return PeerFrame(PeerMessage(MembersReply{ std::move(*members) }));
}

Result<PeerFrame>
DecodeRouting(const frame::RoutingReply& aMessage)
{
  const std::string_view sent(
    reinterpret_cast<const char*>(aMessage.text()->data()),
    aMessage.text()->size());
  if (aMessage.text_bytes() > kMaxSectionBytes) {
    return Invalid("a routing configuration is above 16 MiB");
  }
  Result<std::string> text = std::string(sent);
  if (aMessage.text_bytes() != 0) {
    text = Decompress(sent, aMessage.text_bytes());
  }
  if (!text) {
    return tl::unexpected<Error>(text.error());
  }
  RoutingReply reply;
  reply.mText = std::make_shared<const std::string>(std::move(*text));
  if (aMessage.targets() != nullptr) {
    for (const frame::RegisteredTarget* target : *aMessage.targets()) {
      reply.mTargets.push_back(
        RegisteredTarget{ target->instance()->str(),
                          target->born(),
                          target->sequence(),
                          ServiceId(target->service()),
                          Endpoint{ target->host()->str(), target->port() },
                          ZoneName(target->zone()->str()),
                          target->slots() });
    }
  }
  reply.mSequence = aMessage.sequence();
  reply.mAge = OptionalDuration(aMessage.age_us());
  if (aMessage.evacuated_zones() != nullptr) {
    for (const flatbuffers::String* zone : *aMessage.evacuated_zones()) {
      reply.mEvacuatedZones.emplace_back(zone->str());
    }
  }
  return PeerFrame(PeerMessage(std::move(reply)));
}

Result<PeerFrame>
DecodeConfirmation(const frame::ConfirmationReply& aMessage)
{
  ConfirmationReply reply;
  reply.mId = aMessage.id();
  reply.mReport.mConfirmed = aMessage.confirmed();
  reply.mReport.mUnconfirmed = aMessage.unconfirmed();
  if (aMessage.listed() != nullptr) {
    for (const frame::UnconfirmedVm* vm : *aMessage.listed()) {
      if (vm->reason() >
          static_cast<std::uint8_t>(UnconfirmedReason::kUnreachable)) {
        return Invalid("a confirmation names an unknown reason");
      }
      reply.mReport.mListed.push_back(
        { VmId(vm->vm()),
          static_cast<UnconfirmedReason>(vm->reason()),
          Revision(vm->revision()) });
    }
  }
  return PeerFrame(PeerMessage(std::move(reply)));
}

Result<PeerFrame>
DecodeConfirmationRequest(const frame::ConfirmationRequest& aMessage)
{
  constexpr std::uint64_t kMaxBudgetMs = 60'000;
  const std::uint64_t budget =
    std::min<std::uint64_t>(aMessage.budget_ms(), kMaxBudgetMs);
  return PeerFrame(
    PeerMessage(ConfirmationRequest{ aMessage.id(),
                                     Revision(aMessage.revision()),
                                     VmId(aMessage.root()),
                                     BoundedDuration(budget) }));
}

} // namespace

EncodedMessage
EncodeInto(Builder& aBuilder, const MemberProbe& aMessage)
{
  const auto updates =
    EncodeAll<MemberUpdate, frame::MemberNews>(aBuilder, aMessage.mUpdates);
  const auto message =
    frame::CreateMemberProbe(aBuilder,
                             aMessage.mSequence,
                             aMessage.mIsReply,
                             aMessage.mVersion.Value(),
                             static_cast<std::uint8_t>(aMessage.mCondition),
                             aMessage.mConfiguration.mRevision.Value(),
                             aMessage.mConfiguration.mContentHash,
                             NonNegativeMilliseconds(aMessage.mStoreAge),
                             aMessage.mMembersHash,
                             updates);
  return { frame::Message::MemberProbe, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const MembersRequest&)
{
  return { frame::Message::MembersRequest,
           frame::CreateMembersRequest(aBuilder).Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const MembersReply& aMessage)
{
  const auto members =
    EncodeAll<MemberUpdate, frame::MemberNews>(aBuilder, aMessage.mMembers);
  return { frame::Message::MembersReply,
           frame::CreateMembersReply(aBuilder, members).Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const ConfigurationOffer& aMessage)
{
  const auto changeId = aBuilder.CreateString(aMessage.mMetadata.mChangeId);
  const auto author = aBuilder.CreateString(aMessage.mMetadata.mAuthor);
  const auto time = aBuilder.CreateString(aMessage.mMetadata.mTime);
  const auto hashes = aBuilder.CreateVector(aMessage.mSectionHashes);
  const auto sections =
    EncodeAll<DeploymentSection, frame::Section>(aBuilder, aMessage.mSections);
  const auto message =
    frame::CreateConfigurationOffer(aBuilder,
                                    aMessage.mMetadata.mRevision.Value(),
                                    changeId,
                                    author,
                                    time,
                                    hashes,
                                    sections,
                                    aMessage.mIsPush,
                                    aMessage.mRoot.Value());
  return { frame::Message::ConfigurationOffer, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const SectionsRequest& aMessage)
{
  const auto hashes = aBuilder.CreateVector(aMessage.mHashes);
  const auto message =
    frame::CreateSectionsRequest(aBuilder, aMessage.mRevision.Value(), hashes);
  return { frame::Message::SectionsRequest, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const SectionsReply& aMessage)
{
  const auto sections =
    EncodeAll<DeploymentSection, frame::Section>(aBuilder, aMessage.mSections);
  const auto message =
    frame::CreateSectionsReply(aBuilder, aMessage.mRevision.Value(), sections);
  return { frame::Message::SectionsReply, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const ConfirmationRequest& aMessage)
{
  const auto message = frame::CreateConfirmationRequest(
    aBuilder,
    aMessage.mId,
    aMessage.mRevision.Value(),
    aMessage.mRoot.Value(),
    static_cast<std::uint32_t>(NonNegativeMilliseconds(aMessage.mBudget)));
  return { frame::Message::ConfirmationRequest, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const RoutingRequest& aMessage)
{
  const auto message = frame::CreateRoutingRequest(
    aBuilder, aMessage.mKnownVersion, aMessage.mSequence);
  return { frame::Message::RoutingRequest, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const RoutingReply& aMessage)
{
  const std::string& text = *aMessage.mText;
  const std::string sent =
    text.empty() ? text : Compress(text, CompressionLevel::kBestSpeed);
  const auto bytes = aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(sent.data()), sent.size());
  std::vector<flatbuffers::Offset<frame::RegisteredTarget>> targets;
  for (const RegisteredTarget& target : aMessage.mTargets) {
    const auto instance = aBuilder.CreateString(target.mInstance);
    const auto host = aBuilder.CreateString(target.mAddress.mHost);
    const auto zone = aBuilder.CreateString(target.mZone.Value());
    targets.push_back(frame::CreateRegisteredTarget(aBuilder,
                                                    instance,
                                                    target.mBorn,
                                                    target.mSequence,
                                                    target.mService.Value(),
                                                    host,
                                                    target.mAddress.mPort,
                                                    zone,
                                                    target.mSlots));
  }
  const auto targetVector = aBuilder.CreateVector(targets);
  std::vector<flatbuffers::Offset<flatbuffers::String>> zones;
  for (const ZoneName& zone : aMessage.mEvacuatedZones) {
    zones.push_back(aBuilder.CreateString(zone.Value()));
  }
  const auto zoneVector = aBuilder.CreateVector(zones);
  const auto message =
    frame::CreateRoutingReply(aBuilder,
                              static_cast<std::uint32_t>(text.size()),
                              bytes,
                              targetVector,
                              aMessage.mSequence,
                              OptionalMicroseconds(aMessage.mAge),
                              zoneVector);
  return { frame::Message::RoutingReply, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const ConfirmationReply& aMessage)
{
  std::vector<frame::UnconfirmedVm> listed;
  for (const UnconfirmedVm& vm : aMessage.mReport.mListed) {
    listed.emplace_back(vm.mVm.Value(),
                        vm.mRevision.Value(),
                        static_cast<std::uint8_t>(vm.mReason));
  }
  const auto vector = aBuilder.CreateVectorOfStructs(listed);
  const auto message =
    frame::CreateConfirmationReply(aBuilder,
                                   aMessage.mId,
                                   aMessage.mReport.mConfirmed,
                                   aMessage.mReport.mUnconfirmed,
                                   vector);
  return { frame::Message::ConfirmationReply, message.Union() };
}

Result<PeerFrame>
DecodeControl(const frame::Frame& aFrame)
{
  switch (aFrame.message_type()) {
    case frame::Message::MemberProbe:
      return DecodeProbe(*aFrame.message_as_MemberProbe());
    case frame::Message::MembersRequest:
      return PeerFrame(PeerMessage(MembersRequest{}));
    case frame::Message::MembersReply:
      return DecodeMembers(*aFrame.message_as_MembersReply());
    case frame::Message::ConfigurationOffer:
      return DecodeOffer(*aFrame.message_as_ConfigurationOffer());
    case frame::Message::SectionsRequest: {
      const auto* request = aFrame.message_as_SectionsRequest();
      return PeerFrame(PeerMessage(SectionsRequest{
        Revision(request->revision()), NumbersFrom(*request->hashes()) }));
    }
    case frame::Message::SectionsReply:
      return DecodeSections(*aFrame.message_as_SectionsReply());
    case frame::Message::ConfirmationRequest:
      return DecodeConfirmationRequest(
        *aFrame.message_as_ConfirmationRequest());
    case frame::Message::ConfirmationReply:
      return DecodeConfirmation(*aFrame.message_as_ConfirmationReply());
    case frame::Message::RoutingRequest: {
      const auto* request = aFrame.message_as_RoutingRequest();
      return PeerFrame(PeerMessage(
        RoutingRequest{ request->known_version(), request->sequence() }));
    }
    case frame::Message::RoutingReply:
      return DecodeRouting(*aFrame.message_as_RoutingReply());
    case frame::Message::SubSearch:
      return DecodeSearch(*aFrame.message_as_SubSearch());
    case frame::Message::SubSearchReply:
      return DecodeSearch(*aFrame.message_as_SubSearchReply());
    case frame::Message::SubSearchCancel: {
      const auto* cancel = aFrame.message_as_SubSearchCancel();
      return PeerFrame(PeerMessage(
        SubSearchCancel{ cancel->sequence(), cancel->is_caller_gone() }));
    }
    case frame::Message::SubSearchConfirm:
      return PeerFrame(PeerMessage(
        SubSearchConfirm{ aFrame.message_as_SubSearchConfirm()->sequence() }));
    case frame::Message::ChangesRequest: {
      const auto* request = aFrame.message_as_ChangesRequest();
      return PeerFrame(PeerMessage(ChangesRequest{
        request->sequence(), request->after(), request->era() }));
    }
    case frame::Message::ChangesReply:
      return DecodeChanges(*aFrame.message_as_ChangesReply());
    case frame::Message::RevisionReport:
      return DecodeReport(*aFrame.message_as_RevisionReport());
    case frame::Message::QuotaRequest:
      return DecodeQuota(*aFrame.message_as_QuotaRequest());
    case frame::Message::QuotaReply:
      return DecodeQuota(*aFrame.message_as_QuotaReply());
    default:
      return Invalid("a frame holds a message that this release does not know");
  }
}

} // namespace wasabispread
