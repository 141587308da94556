/*
 * Frames between VMs: a length, then a verified FlatBuffer.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace wasabispread {

/** The bytes that hold a frame's length, least significant first. */
inline constexpr std::size_t kFrameLengthBytes = 4;

/** The oldest and newest frame versions this release understands. */
inline constexpr std::uint32_t kOldestFrameVersion = 1;
inline constexpr std::uint32_t kNewestFrameVersion = 1;

/** The first frame on a connection, in each direction. */
struct PeerHello
{
  std::uint32_t mOldestVersion = kOldestFrameVersion;
  std::uint32_t mNewestVersion = kNewestFrameVersion;
  VmId mVm;
  Incarnation mIncarnation;
  Endpoint mPeerAddress;
  /** Which VM the sender means to have reached. */
  VmId mExpectedVm;
};

/** Whatever a frame may hold. */
using PeerFrame = std::variant<PeerHello, PeerMessage>;

/** A whole frame, length included. */
std::string
EncodeHello(const PeerHello& aHello);

/** A whole frame, length included. */
std::string
EncodeMessage(const PeerMessage& aMessage);

/** The length that a frame's first bytes announce, or kInvalidFrame when it
    is 0 or above aMostBytes. */
Result<std::uint32_t>
DecodeFrameLength(std::span<const std::uint8_t, kFrameLengthBytes> aBytes,
                  std::uint32_t aMostBytes);

/** Reads a frame's bytes after its length. Every field is checked before it
    is used; kInvalidFrame when anything is wrong. */
Result<PeerFrame>
DecodeFrame(std::span<const std::uint8_t> aBytes);

/** kIncompatibleRelease when there is no version that both sides speak. */
Result<std::uint32_t>
NegotiateFrameVersion(const PeerHello& aHello);

} // namespace wasabispread
