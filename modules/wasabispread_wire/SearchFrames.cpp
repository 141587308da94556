/*
 * Encoding and decoding of sub-searches and changes of the store between VMs.
 */
#include "wasabispread_wire.h"

#include "SearchFrames.h"

#include <algorithm>
#include <limits>

namespace wasabispread {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Strings = std::vector<flatbuffers::Offset<flatbuffers::String>>;

constexpr std::uint64_t kNoDuration = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kUnknownHeld =
  std::numeric_limits<std::uint64_t>::max();

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
Bytes(Builder& aBuilder, const std::string& aBytes)
{
  return aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()), aBytes.size());
}

std::string
TextFrom(const flatbuffers::Vector<std::uint8_t>& aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

} // namespace

std::uint64_t
NonNegativeMicroseconds(Duration aDuration)
{
  const auto duration = std::max(Duration::zero(), aDuration);
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

std::uint64_t
OptionalMicroseconds(std::optional<Duration> aDuration)
{
  return aDuration ? NonNegativeMicroseconds(*aDuration) : kNoDuration;
}

Duration
BoundedDuration(std::uint64_t aMicroseconds)
{
  constexpr std::uint64_t kMaxMicroseconds = 86'400'000'000;
  return std::chrono::microseconds(std::min(aMicroseconds, kMaxMicroseconds));
}

std::optional<Duration>
OptionalDuration(std::uint64_t aMicroseconds)
{
  return aMicroseconds == kNoDuration
           ? std::nullopt
           : std::optional<Duration>(BoundedDuration(aMicroseconds));
}

EncodedMessage
EncodeInto(Builder& aBuilder, const SubSearch& aMessage)
{
  std::vector<flatbuffers::Offset<frame::Field>> fields;
  for (const RelayedField& field : aMessage.mFields) {
    const auto name = aBuilder.CreateString(field.mName);
    const auto value = aBuilder.CreateString(field.mValue);
    fields.push_back(frame::CreateField(aBuilder, name, value));
  }
  std::vector<std::uint64_t> shards;
  for (const ServiceId shard : aMessage.mShards) {
    shards.push_back(shard.Value());
  }
  const auto requestId = aBuilder.CreateString(aMessage.mRequestId.Value());
  const auto method = aBuilder.CreateString(aMessage.mMethod);
  const auto target = aBuilder.CreateString(aMessage.mTarget);
  const auto fieldVector = aBuilder.CreateVector(fields);
  const auto body = Bytes(aBuilder, aMessage.mBody);
  const auto shardVector = aBuilder.CreateVector(shards);
  const auto organisation = aBuilder.CreateString(aMessage.mOrganisation);
  Strings regions;
  for (const std::string& region : aMessage.mRegions) {
    regions.push_back(aBuilder.CreateString(region));
  }
  const auto regionVector = aBuilder.CreateVector(regions);
  const auto message =
    frame::CreateSubSearch(aBuilder,
                           aMessage.mSequence,
                           requestId,
                           method,
                           target,
                           fieldVector,
                           body,
                           aMessage.mRoute,
                           shardVector,
                           aMessage.mTopRecords,
                           aMessage.mMaxTargets,
                           NonNegativeMicroseconds(aMessage.mSoftTimeout),
                           NonNegativeMicroseconds(aMessage.mCallerTimeout),
                           aMessage.mMinShards,
                           organisation,
                           aMessage.mRank,
                           aMessage.mRouteRank,
                           regionVector);
  return { frame::Message::SubSearch, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const SubSearchReply& aMessage)
{
  Strings signatures;
  for (const std::string& signature : aMessage.mSignatures) {
    signatures.push_back(aBuilder.CreateString(signature));
  }
  const auto shards = aBuilder.CreateVector(aMessage.mShards);
  const auto signatureVector = aBuilder.CreateVector(signatures);
  const auto records = Bytes(aBuilder, aMessage.mRecords);
  const auto message =
    frame::CreateSubSearchReply(aBuilder,
                                aMessage.mSequence,
                                shards,
                                signatureVector,
                                records,
                                aMessage.mIsLast,
                                aMessage.mIsRefused,
                                aMessage.mIsIsolated,
                                NonNegativeMicroseconds(aMessage.mRetryAfter));
  return { frame::Message::SubSearchReply, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const SubSearchCancel& aMessage)
{
  const auto message = frame::CreateSubSearchCancel(
    aBuilder, aMessage.mSequence, aMessage.mIsCallerDisconnected);
  return { frame::Message::SubSearchCancel, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const SubSearchConfirm& aMessage)
{
  const auto message =
    frame::CreateSubSearchConfirm(aBuilder, aMessage.mSequence);
  return { frame::Message::SubSearchConfirm, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const ChangesRequest& aMessage)
{
  const auto message = frame::CreateChangesRequest(
    aBuilder, aMessage.mSequence, aMessage.mAfter, aMessage.mEra);
  return { frame::Message::ChangesRequest, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const ChangesReply& aMessage)
{
  std::vector<flatbuffers::Offset<frame::WatchText>> texts;
  for (const auto& text : aMessage.mTexts) {
    const auto bytes = Bytes(aBuilder, text->mCompressed);
    texts.push_back(frame::CreateWatchText(aBuilder, text->mSize, bytes));
  }
  const auto textVector = aBuilder.CreateVector(texts);
  const auto message =
    frame::CreateChangesReply(aBuilder,
                              aMessage.mSequence,
                              aMessage.mIsRefused,
                              aMessage.mIsUnavailable,
                              NonNegativeMicroseconds(aMessage.mAge),
                              textVector,
                              OptionalMicroseconds(aMessage.mSoundAge),
                              aMessage.mEra);
  return { frame::Message::ChangesReply, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const RevisionReport& aMessage)
{
  const auto message =
    frame::CreateRevisionReport(aBuilder,
                                aMessage.mRevision,
                                NonNegativeMicroseconds(aMessage.mAge),
                                aMessage.mEra);
  return { frame::Message::RevisionReport, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const QuotaRequest& aMessage)
{
  std::vector<frame::QuotaNeed> needs;
  for (const QuotaNeed& need : aMessage.mNeeds) {
    needs.emplace_back(need.mOrganisation.Value(),
                       need.mTerm,
                       need.mReceived,
                       need.mUsed,
                       need.mReturned,
                       need.mWaiting,
                       need.mWanted);
  }
  const auto vector = aBuilder.CreateVectorOfStructs(needs);
  const auto message = frame::CreateQuotaRequest(aBuilder,
                                                 aMessage.mSequence,
                                                 aMessage.mSession,
                                                 aMessage.mIsForZone,
                                                 vector);
  return { frame::Message::QuotaRequest, message.Union() };
}

EncodedMessage
EncodeInto(Builder& aBuilder, const QuotaReply& aMessage)
{
  std::vector<frame::QuotaGrant> grants;
  std::vector<std::uint64_t> held;
  for (const QuotaGrant& grant : aMessage.mGrants) {
    grants.emplace_back(grant.mOrganisation.Value(),
                        grant.mTerm,
                        grant.mGranted,
                        NonNegativeMicroseconds(grant.mNextGrant),
                        NonNegativeMicroseconds(grant.mRetryAfter));
    held.push_back(grant.mHeld.value_or(kUnknownHeld));
  }
  const auto vector = aBuilder.CreateVectorOfStructs(grants);
  const auto heldVector = aBuilder.CreateVector(held);
  const auto message =
    frame::CreateQuotaReply(aBuilder,
                            aMessage.mSequence,
                            NonNegativeMicroseconds(aMessage.mValid),
                            vector,
                            heldVector);
  return { frame::Message::QuotaReply, message.Union() };
}

Result<PeerFrame>
DecodeQuota(const frame::QuotaRequest& aMessage)
{
  QuotaRequest request;
  request.mSequence = aMessage.sequence();
  request.mSession = aMessage.session();
  request.mIsForZone = aMessage.is_for_zone();
  for (const frame::QuotaNeed* need : *aMessage.needs()) {
    request.mNeeds.push_back(QuotaNeed{ OrganisationId(need->organisation()),
                                        need->term(),
                                        need->received(),
                                        need->used(),
                                        need->returned(),
                                        need->waiting(),
                                        need->wanted() });
  }
  return PeerFrame(PeerMessage(std::move(request)));
}

namespace {

/** The receiver's quota by the sender's count, if the sender states it. */
std::optional<std::uint64_t>
HeldAt(const frame::QuotaReply& aMessage, std::size_t aPosition)
{
  const auto* held = aMessage.held();
  if (held == nullptr || aPosition >= held->size()) {
    return std::nullopt;
  }
  const std::uint64_t count =
    held->Get(static_cast<flatbuffers::uoffset_t>(aPosition));
  return count == kUnknownHeld ? std::nullopt : std::optional(count);
}

} // namespace

Result<PeerFrame>
DecodeQuota(const frame::QuotaReply& aMessage)
{
  QuotaReply reply;
  reply.mSequence = aMessage.sequence();
  reply.mValid = BoundedDuration(aMessage.valid_us());
  for (const frame::QuotaGrant* grant : *aMessage.grants()) {
    reply.mGrants.push_back(
      QuotaGrant{ OrganisationId(grant->organisation()),
                  grant->term(),
                  grant->granted(),
                  BoundedDuration(grant->next_grant_us()),
                  BoundedDuration(grant->retry_after_us()),
                  HeldAt(aMessage, reply.mGrants.size()) });
  }
  return PeerFrame(PeerMessage(std::move(reply)));
}

Result<PeerFrame>
DecodeReport(const frame::RevisionReport& aMessage)
{
  return PeerFrame(PeerMessage(RevisionReport{
    aMessage.revision(), BoundedDuration(aMessage.age_us()), aMessage.era() }));
}

Result<PeerFrame>
DecodeChanges(const frame::ChangesReply& aMessage)
{
  constexpr std::uint32_t kMaxTextBytes = 16U << 20U;
  ChangesReply reply;
  reply.mSequence = aMessage.sequence();
  reply.mIsRefused = aMessage.is_refused();
  reply.mIsUnavailable = aMessage.is_unavailable();
  reply.mAge = BoundedDuration(aMessage.age_us());
  reply.mSoundAge = OptionalDuration(aMessage.sound_age_us());
  reply.mEra = aMessage.era();
  for (const frame::WatchText* text : *aMessage.texts()) {
    if (text->text_bytes() > kMaxTextBytes) {
      return Fail(ErrorKind::kInvalidFrame,
                  "an answer of the store is above 16 MiB",
                  "run the same release on all VMs");
    }
    reply.mTexts.push_back(std::make_shared<const CompressedText>(
      CompressedText{ TextFrom(*text->text()), text->text_bytes() }));
  }
  return PeerFrame(PeerMessage(std::move(reply)));
}

Result<PeerFrame>
DecodeSearch(const frame::SubSearch& aMessage)
{
  SubSearch search;
  search.mSequence = aMessage.sequence();
  search.mRequestId = RequestId(aMessage.request_id()->str());
  search.mMethod = aMessage.method()->str();
  search.mTarget = aMessage.target()->str();
  for (const frame::Field* field : *aMessage.fields()) {
    search.mFields.push_back({ field->name()->str(), field->value()->str() });
  }
  search.mBody = TextFrom(*aMessage.body());
  search.mRoute = aMessage.route();
  for (const std::uint64_t shard : *aMessage.shards()) {
    search.mShards.emplace_back(shard);
  }
  search.mTopRecords = aMessage.top_records();
  search.mMaxTargets = aMessage.most_targets();
  search.mSoftTimeout = BoundedDuration(aMessage.aim_us());
  search.mCallerTimeout = BoundedDuration(aMessage.patience_us());
  search.mMinShards = aMessage.least_shards();
  if (aMessage.organisation() != nullptr) {
    search.mOrganisation = aMessage.organisation()->str();
  }
  search.mRank = aMessage.rank();
  search.mRouteRank = aMessage.route_rank();
  if (aMessage.regions() != nullptr) {
    for (const flatbuffers::String* region : *aMessage.regions()) {
      search.mRegions.push_back(region->str());
    }
  }
  return PeerFrame(PeerMessage(std::move(search)));
}

Result<PeerFrame>
DecodeSearch(const frame::SubSearchReply& aMessage)
{
  if (aMessage.shards()->size() != aMessage.proofs()->size()) {
    return Fail(ErrorKind::kInvalidFrame,
                "a sub-search reply has a different number of signatures than "
                "of shards",
                "close the connection; compare the releases of both VMs");
  }
  SubSearchReply reply;
  reply.mSequence = aMessage.sequence();
  for (const std::uint32_t shard : *aMessage.shards()) {
    reply.mShards.push_back(shard);
  }
  for (const flatbuffers::String* signature : *aMessage.proofs()) {
    reply.mSignatures.push_back(signature->str());
  }
  reply.mRecords = TextFrom(*aMessage.records());
  reply.mIsLast = aMessage.is_last();
  reply.mIsRefused = aMessage.is_refused();
  reply.mIsIsolated = aMessage.is_cut_off();
  reply.mRetryAfter = BoundedDuration(aMessage.retry_after_us());
  return PeerFrame(PeerMessage(std::move(reply)));
}

} // namespace wasabispread
