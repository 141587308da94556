/*
 * The parts of frames that carry configuration and membership.
 */
#pragma once

#include "PeerProtocol.h"

#include "generated/frame_generated.h"

namespace wasabispread {

/** A message's type and place in a frame that is being built. */
struct EncodedMessage
{
  frame::Message mType = frame::Message::NONE;
  flatbuffers::Offset<void> mOffset;
};

/** Adds a message to a frame. */
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const MemberProbe& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const MembersRequest& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const MembersReply& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const ConfigurationOffer& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const SectionsRequest& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const SectionsReply& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const ConfirmationRequest& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const ConfirmationReply& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const RoutingRequest& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const RoutingReply& aMessage);

/** Reads a verified frame whose message is one of the above; kInvalidFrame
    when it is another one or has a field out of range. */
Result<PeerFrame>
DecodeControl(const frame::Frame& aFrame);

} // namespace wasabispread
