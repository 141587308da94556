/*
 * The frame messages that carry configuration, membership and routing.
 */
#pragma once

#include "PeerProtocol.h"

#include "generated/frame_generated.h"

namespace wasabispread {

/** The type of a message and its offset in a frame that is being built. */
struct EncodedMessage
{
  frame::Message mType = frame::Message::NONE;
  flatbuffers::Offset<void> mOffset;
};

/** Encodes a message into the frame that aBuilder is building. */
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const MemberProbe& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const MembersRequest& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const MembersReply& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const ConfigurationOffer& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const SectionsRequest& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const SectionsReply& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const ConfirmationRequest& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const ConfirmationReply& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const RoutingRequest& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const RoutingReply& aMessage);

/** Decodes a verified frame that holds one of the messages above or one of
    those in SearchFrames.h; kInvalidFrame when it holds another message or a
    field is out of range. */
Result<PeerFrame>
DecodeControl(const frame::Frame& aFrame);

} // namespace wasabispread
