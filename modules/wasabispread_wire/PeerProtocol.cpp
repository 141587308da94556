/*
 * Encoding and decoding of frames between VMs.
 */
#include "wasabispread_wire.h"

#include "ControlFrames.h"
#include "SearchFrames.h"

#include <algorithm>

namespace wasabispread {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

tl::unexpected<Error>
Invalid(std::string aMessage)
{
  return Fail(ErrorKind::kInvalidFrame,
              std::move(aMessage),
              "close the connection; compare the releases of both VMs");
}

/** Finishes the FlatBuffer and returns it with its length in front. */
std::string
FinishFrame(Builder& aBuilder,
            frame::Message aType,
            flatbuffers::Offset<void> aMessage)
{
  constexpr unsigned kBitsPerByte = 8;
  constexpr std::uint32_t kByteMask = 0xff;
  aBuilder.Finish(frame::CreateFrame(aBuilder, aType, aMessage));
  const std::uint32_t size = aBuilder.GetSize();
  std::string bytes;
  bytes.reserve(kFrameLengthBytes + size);
  for (unsigned index = 0; index < kFrameLengthBytes; ++index) {
    bytes.push_back(
      static_cast<char>((size >> (index * kBitsPerByte)) & kByteMask));
  }
  bytes.append(reinterpret_cast<const char*>(aBuilder.GetBufferPointer()),
               size);
  return bytes;
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
CreateBytes(Builder& aBuilder, const SharedBytes& aBytes)
{
  if (aBytes == nullptr) {
    return aBuilder.CreateVector(std::vector<std::uint8_t>{});
  }
  return aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aBytes->data()), aBytes->size());
}

SharedBytes
ReadBytes(const flatbuffers::Vector<std::uint8_t>* aBytes)
{
  if (aBytes == nullptr) {
    return std::make_shared<const std::string>();
  }
  return std::make_shared<const std::string>(
    reinterpret_cast<const char*>(aBytes->data()), aBytes->size());
}

std::string
Encode(const BatchRequest& aRequest)
{
  Builder builder;
  std::vector<frame::Item> items;
  items.reserve(aRequest.mItems.size());
  for (const BatchItem& item : aRequest.mItems) {
    items.emplace_back(
      item.mSequence.Value(), item.mTarget.Value(), item.mShard.Value());
  }
  const auto requestId = builder.CreateString(aRequest.mRequestId.Value());
  const auto key = builder.CreateString(aRequest.mKey);
  const auto body = CreateBytes(builder, aRequest.mBody);
  const auto itemVector = builder.CreateVectorOfStructs(items);
  const auto budget = std::chrono::duration_cast<std::chrono::microseconds>(
    std::max(Duration::zero(), aRequest.mBudget));
  const auto message =
    frame::CreateBatchRequest(builder,
                              aRequest.mIncarnation.Value(),
                              requestId,
                              aRequest.mService.Value(),
                              aRequest.mRevision.Value(),
                              static_cast<std::uint8_t>(aRequest.mOperation),
                              aRequest.mSnapshot.Value(),
                              key,
                              body,
                              static_cast<std::uint64_t>(budget.count()),
                              itemVector);
  return FinishFrame(builder, frame::Message::BatchRequest, message.Union());
}

std::string
Encode(const BatchReply& aReply)
{
  Builder builder;
  std::vector<flatbuffers::Offset<frame::ItemReply>> items;
  items.reserve(aReply.mItems.size());
  for (const ItemReply& item : aReply.mItems) {
    std::vector<std::uint64_t> held;
    for (const SnapshotVersion version : item.mHeldSnapshots) {
      held.push_back(version.Value());
    }
    const auto heldVector = builder.CreateVector(held);
    const auto body = CreateBytes(builder, item.mBody);
    items.push_back(
      frame::CreateItemReply(builder,
                             item.mSequence.Value(),
                             static_cast<std::uint8_t>(item.mOutcome),
                             static_cast<std::uint8_t>(item.mReason),
                             item.mSnapshot.Value(),
                             heldVector,
                             body));
  }
  const auto itemVector = builder.CreateVector(items);
  const auto message =
    frame::CreateBatchReply(builder, aReply.mIncarnation.Value(), itemVector);
  return FinishFrame(builder, frame::Message::BatchReply, message.Union());
}

std::string
Encode(const BatchCancel& aCancel)
{
  Builder builder;
  std::vector<std::uint64_t> sequences;
  for (const AttemptSequence sequence : aCancel.mSequences) {
    sequences.push_back(sequence.Value());
  }
  const auto message = frame::CreateBatchCancel(
    builder, aCancel.mIncarnation.Value(), builder.CreateVector(sequences));
  return FinishFrame(builder, frame::Message::BatchCancel, message.Union());
}

template<class Control>
std::string
Encode(const Control& aMessage)
{
  Builder builder;
  const EncodedMessage encoded = EncodeInto(builder, aMessage);
  return FinishFrame(builder, encoded.mType, encoded.mOffset);
}

Result<PeerFrame>
Decode(const frame::Hello& aHello)
{
  PeerHello hello;
  hello.mOldestVersion = aHello.oldest_version();
  hello.mNewestVersion = aHello.newest_version();
  hello.mVm = VmId(aHello.vm());
  hello.mIncarnation = Incarnation(aHello.incarnation());
  hello.mPeerAddress = Endpoint{ aHello.host()->str(), aHello.port() };
  hello.mExpectedVm = VmId(aHello.expected_vm());
  return PeerFrame(hello);
}

Result<PeerFrame>
Decode(const frame::BatchRequest& aMessage)
{
  constexpr std::uint64_t kMaxBudgetMicroseconds = 600'000'000;
  if (aMessage.operation() > static_cast<std::uint8_t>(Operation::kAction)) {
    return Invalid("a batch names an unknown operation");
  }
  if (aMessage.budget_us() > kMaxBudgetMicroseconds) {
    return Invalid("a batch's budget is above 10 min");
  }
  BatchRequest request;
  request.mIncarnation = Incarnation(aMessage.incarnation());
  request.mRequestId = RequestId(aMessage.request_id()->str());
  request.mService = ServiceId(aMessage.service());
  request.mRevision = Revision(aMessage.revision());
  request.mOperation = static_cast<Operation>(aMessage.operation());
  request.mSnapshot = SnapshotVersion(aMessage.snapshot());
  request.mKey = aMessage.key()->str();
  request.mBody = ReadBytes(aMessage.body());
  request.mBudget = std::chrono::microseconds(aMessage.budget_us());
  request.mItems.reserve(aMessage.items()->size());
  for (const frame::Item* item : *aMessage.items()) {
    request.mItems.push_back(BatchItem{ AttemptSequence(item->sequence()),
                                        TargetId(item->target()),
                                        ShardIndex(item->shard()) });
  }
  return PeerFrame(PeerMessage(std::move(request)));
}

Result<ItemReply>
Decode(const frame::ItemReply& aItem)
{
  const bool isKnown =
    aItem.outcome() <= static_cast<std::uint8_t>(AttemptOutcome::kUnknown) &&
    aItem.reason() <= static_cast<std::uint8_t>(MissingReason::kStopping);
  if (!isKnown) {
    return Invalid("a reply names an unknown outcome or reason");
  }
  ItemReply reply;
  reply.mSequence = AttemptSequence(aItem.sequence());
  reply.mOutcome = static_cast<AttemptOutcome>(aItem.outcome());
  reply.mReason = static_cast<MissingReason>(aItem.reason());
  reply.mSnapshot = SnapshotVersion(aItem.snapshot());
  if (aItem.held_snapshots() != nullptr) {
    for (const std::uint64_t version : *aItem.held_snapshots()) {
      reply.mHeldSnapshots.emplace_back(version);
    }
  }
  reply.mBody = ReadBytes(aItem.body());
  return reply;
}

Result<PeerFrame>
Decode(const frame::BatchReply& aMessage)
{
  BatchReply batch;
  batch.mIncarnation = Incarnation(aMessage.incarnation());
  batch.mItems.reserve(aMessage.items()->size());
  for (const frame::ItemReply* item : *aMessage.items()) {
    auto reply = Decode(*item);
    if (!reply) {
      return tl::unexpected<Error>(reply.error());
    }
    batch.mItems.push_back(std::move(*reply));
  }
  return PeerFrame(PeerMessage(std::move(batch)));
}

Result<PeerFrame>
Decode(const frame::BatchCancel& aMessage)
{
  BatchCancel cancel;
  cancel.mIncarnation = Incarnation(aMessage.incarnation());
  for (const std::uint64_t sequence : *aMessage.sequences()) {
    cancel.mSequences.emplace_back(sequence);
  }
  return PeerFrame(PeerMessage(std::move(cancel)));
}

} // namespace

std::string
EncodeHello(const PeerHello& aHello)
{
  Builder builder;
  const auto host = builder.CreateString(aHello.mPeerAddress.mHost);
  const auto message = frame::CreateHello(builder,
                                          aHello.mOldestVersion,
                                          aHello.mNewestVersion,
                                          aHello.mVm.Value(),
                                          aHello.mIncarnation.Value(),
                                          host,
                                          aHello.mPeerAddress.mPort,
                                          aHello.mExpectedVm.Value());
  return FinishFrame(builder, frame::Message::Hello, message.Union());
}

std::string
EncodeHeartbeat(const PeerHeartbeat& aHeartbeat)
{
  Builder builder;
  const auto message = frame::CreateHeartbeat(builder, aHeartbeat.mIsReply);
  return FinishFrame(builder, frame::Message::Heartbeat, message.Union());
}

std::string
EncodeMessage(const PeerMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return Encode(aPart); }, aMessage);
}

Result<std::uint32_t>
DecodeFrameLength(std::span<const std::uint8_t, kFrameLengthBytes> aBytes,
                  std::uint32_t aMaxBytes)
{
  constexpr unsigned kBitsPerByte = 8;
  std::uint32_t length = 0;
  for (unsigned index = 0; index < kFrameLengthBytes; ++index) {
    length |= static_cast<std::uint32_t>(aBytes[index])
              << (index * kBitsPerByte);
  }
  if (length == 0 || length > aMaxBytes) {
    return Invalid("a frame states a length of " + std::to_string(length) +
                   " bytes; 1 to " + std::to_string(aMaxBytes) +
                   " are allowed");
  }
  return length;
}

Result<PeerFrame>
DecodeFrame(std::span<const std::uint8_t> aBytes)
{
  flatbuffers::Verifier verifier(aBytes.data(), aBytes.size());
  if (!frame::VerifyFrameBuffer(verifier)) {
    return Invalid("a frame is not a valid FlatBuffer");
  }
  const frame::Frame* root = frame::GetFrame(aBytes.data());
  switch (root->message_type()) {
    case frame::Message::Hello:
      return Decode(*root->message_as_Hello());
    case frame::Message::BatchRequest:
      return Decode(*root->message_as_BatchRequest());
    case frame::Message::BatchReply:
      return Decode(*root->message_as_BatchReply());
    case frame::Message::BatchCancel:
      return Decode(*root->message_as_BatchCancel());
    case frame::Message::Heartbeat:
      return PeerFrame(
        PeerHeartbeat{ root->message_as_Heartbeat()->is_reply() });
    default:
      return DecodeControl(*root);
  }
}

Result<std::uint32_t>
NegotiateFrameVersion(const PeerHello& aHello)
{
  const std::uint32_t common =
    std::min(kNewestFrameVersion, aHello.mNewestVersion);
  if (common < kOldestFrameVersion || common < aHello.mOldestVersion) {
    return Fail(ErrorKind::kIncompatibleRelease,
                "the other VM supports frame versions " +
                  std::to_string(aHello.mOldestVersion) + " to " +
                  std::to_string(aHello.mNewestVersion),
                "update the older of the two VMs first");
  }
  return common;
}

std::uint32_t
FrameVersionOf(const PeerMessage& aMessage)
{
  constexpr std::uint32_t kRevisionReportVersion = 2;
  constexpr std::uint32_t kQuotaVersion = 3;
  if (std::holds_alternative<QuotaRequest>(aMessage) ||
      std::holds_alternative<QuotaReply>(aMessage)) {
    return kQuotaVersion;
  }
  return std::holds_alternative<RevisionReport>(aMessage)
           ? kRevisionReportVersion
           : kOldestFrameVersion;
}

} // namespace wasabispread
