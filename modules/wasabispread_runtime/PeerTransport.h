/*
 * Frames between VMs over TCP.
 */
#pragma once

#include "IoLoop.h"

#include <wasabispread_wire/wasabispread_wire.h>

#include <functional>
#include <memory>
#include <vector>

namespace wasabispread {

/** What a transport tells its user. */
struct PeerTransportHandlers
{
  /** A message came; the endpoint is where its sender takes connections. */
  std::function<void(VmId, const Endpoint&, PeerMessage)> mMessage;
  /** No byte of these attempts was written, and none will be. */
  std::function<void(VmId, std::vector<AttemptSequence>)> mNotSent;
  /** The connection to a VM broke, or could not be had; messages sent to it
      before may be lost. Called after mNotSent. */
  std::function<void(VmId)> mLost;
  /** Something worth a log line. */
  std::function<void(const std::string&)> mLogWarning;
};

/** Limits of a transport. */
struct PeerTransportLimits
{
  /** The largest frame, in bytes. */
  std::uint32_t mMaxFrameBytes = 16U << 20U;
  /** The most bytes waiting for one VM; beyond, the connection is dropped. */
  std::size_t mMaxQueuedBytes = 64U << 20U;
};

/** Sends each VM's messages in order over one connection, opened when first
    needed. Each connection begins with a hello in each direction, by which
    both sides check whom they reached and that their releases fit. */
class PeerTransport
{
public:
  /** Opens the port; kConnectionFailed when it cannot. */
  static Result<std::unique_ptr<PeerTransport>> Start(
    IoLoop& aLoop,
    const VmIdentity& aSelf,
    PeerTransportLimits aLimits,
    PeerTransportHandlers aHandlers);

  ~PeerTransport();

  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /** Queues a message; never blocks. */
  void Send(VmId aPeer, const Endpoint& aAddress, const PeerMessage& aMessage);

private:
  struct Implementation;

  explicit PeerTransport(std::shared_ptr<Implementation> aImplementation);

  std::shared_ptr<Implementation> mImplementation;
};

} // namespace wasabispread
