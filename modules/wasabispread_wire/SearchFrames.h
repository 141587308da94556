/*
 * The frame messages that carry sub-searches and changes of the store between
 * VMs.
 */
#pragma once

#include "ControlFrames.h"

namespace wasabispread {

/** Whole microseconds of a duration; 0 for a negative one. */
std::uint64_t
NonNegativeMicroseconds(Duration aDuration);

/** As NonNegativeMicroseconds(); the largest number stands for none. */
std::uint64_t
OptionalMicroseconds(std::optional<Duration> aDuration);

/** Converts a duration from a frame. Durations above one day are shortened to
    one day, which has the same effect. */
Duration
BoundedDuration(std::uint64_t aMicroseconds);

/** As BoundedDuration(); the largest number stands for none. */
std::optional<Duration>
OptionalDuration(std::uint64_t aMicroseconds);

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
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const QuotaRequest& aMessage);
EncodedMessage
EncodeInto(flatbuffers::FlatBufferBuilder& aBuilder,
           const QuotaReply& aMessage);

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
Result<PeerFrame>
DecodeQuota(const frame::QuotaRequest& aMessage);
Result<PeerFrame>
DecodeQuota(const frame::QuotaReply& aMessage);

} // namespace wasabispread
