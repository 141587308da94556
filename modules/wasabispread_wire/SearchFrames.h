/*
 * The frame messages that carry sub-searches and changes of the store between
 * VMs.
 */
#pragma once

#include "ControlFrames.h"

namespace wasabispread {

/** Encodes a message into the frame that aBuilder is building. */
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder, const SubSearch& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const SubSearchReply& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const SubSearchCancel& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const SubSearchConfirm& aMessage);

EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const ChangesRequest& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const ChangesReply& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const RevisionReport& aMessage);

/** Decodes a verified message; kInvalidFrame when its fields are
    inconsistent. */
Result<PeerFrame>
DecodeSearch(const frame::SubSearch& aMessage);
Result<PeerFrame>
DecodeSearch(const frame::SubSearchReply& aMessage);
Result<PeerFrame>
DecodeChanges(const frame::ChangesReply& aMessage);
Result<PeerFrame>
DecodeReport(const frame::RevisionReport& aMessage);

} // namespace wasabispread
