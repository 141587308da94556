/*
 * The protocol between VMs. A frame is a length followed by a FlatBuffer, which
 * is verified before it is read.
 */
#pragma once

#include <wasabispread_decisions/wasabispread_decisions.h>

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace wasabispread {

/** The number of bytes that hold a frame's length, least significant byte
    first. */
inline constexpr std::size_t kFrameLengthBytes = 4;

/** The oldest and the newest frame version that this release supports. */
inline constexpr std::uint32_t kOldestFrameVersion = 1;
inline constexpr std::uint32_t kNewestFrameVersion = 4;
/** The first frame version that has PeerHeartbeat. */
inline constexpr std::uint32_t kHeartbeatVersion = 4;

/** The first frame that each side of a connection sends. */
struct PeerHello
{
  std::uint32_t mOldestVersion = kOldestFrameVersion;
  std::uint32_t mNewestVersion = kNewestFrameVersion;
  VmId mVm;
  Incarnation mIncarnation;
  Endpoint mPeerAddress;
  /** The VM to which the sender meant to connect. */
  VmId mExpectedVm;
};

/** Asks whether a connection still carries bytes in both directions, or answers
    this on the same connection. */
struct PeerHeartbeat
{
  bool mIsReply = false;
};

/** The content of a frame. */
using PeerFrame = std::variant<PeerHello, PeerMessage, PeerHeartbeat>;

/** Encodes a whole frame, including its length. */
std::string
EncodeHello(const PeerHello& aHello);

/** Encodes a whole frame, including its length. */
std::string
EncodeHeartbeat(const PeerHeartbeat& aHeartbeat);

/** Encodes a whole frame, including its length. */
std::string
EncodeMessage(const PeerMessage& aMessage);

/** Reads the length from a frame's first bytes; kInvalidFrame when it is 0 or
    above aMaxBytes. */
Result<std::uint32_t>
DecodeFrameLength(std::span<const std::uint8_t, kFrameLengthBytes> aBytes,
                  std::uint32_t aMaxBytes);

/** Decodes the bytes of a frame that follow its length. Every field is checked
    before it is used; kInvalidFrame when the frame is invalid. */
Result<PeerFrame>
DecodeFrame(std::span<const std::uint8_t> aBytes);

/** Returns the newest frame version that this VM and the sender of aHello both
    support; kIncompatibleRelease when there is none. */
Result<std::uint32_t>
NegotiateFrameVersion(const PeerHello& aHello);

/** The oldest frame version that has this kind of message. */
std::uint32_t
FrameVersionOf(const PeerMessage& aMessage);

} // namespace wasabispread
