/*
 * The parts of frames that carry searches from VM to VM.
 */
#pragma once

#include "ControlFrames.h"

namespace wasabispread {

/** Adds a message to a frame. */
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const SubSearch& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const SubSearchReply& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const SubSearchCancel& aMessage);
EncodedMessage
EncodeControl(flatbuffers::FlatBufferBuilder& aBuilder,
              const SubSearchConfirm& aMessage);

/** Reads a verified message; kInvalidFrame when a field is out of range. */
Result<PeerFrame>
DecodeSearch(const frame::SubSearch& aMessage);
Result<PeerFrame>
DecodeSearch(const frame::SubSearchReply& aMessage);

} // namespace wasabispread
