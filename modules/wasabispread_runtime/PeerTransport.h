/*
 * Exchanges messages between VMs as frames over TCP.
 */
#pragma once

#include "IoLoop.h"

#include <wasabispread_wire/wasabispread_wire.h>

#include <functional>
#include <memory>
#include <vector>

namespace wasabispread {

/** The callbacks of a transport. */
struct PeerTransportHandlers
{
  /** Called for a message that was received. The endpoint is the sender's peer
      address, at which it accepts connections. */
  std::function<void(VmId, const Endpoint&, PeerMessage)> mMessage;
  /** Called for attempts of which no byte was written, nor will be. */
  std::function<void(VmId, std::vector<AttemptSequence>)> mNotSent;
  /** Called after mNotSent when the connection to a VM failed or could not be
      opened. Messages sent to the VM before may be lost. */
  std::function<void(VmId)> mLost;
  /** Called with a warning to log. */
  std::function<void(const std::string&)> mLogWarning;
};

/** Limits of a transport. */
struct PeerTransportLimits
{
  /** The largest frame, in bytes. */
  std::uint32_t mMaxFrameBytes = 16U << 20U;
  /** The maximum number of bytes queued for one VM; the connection is dropped
      when the queue grows beyond it. */
  std::size_t mMaxQueuedBytes = 64U << 20U;
};

/** Sends the messages for each VM in order over one connection, which is opened
    by the first message. A connection begins with a hello frame in each
    direction. By it both sides check that the connection reached the VM that it
    was meant for, and that their releases share a version of the frame
    format.

    A connection may go silent for good without a reset, in one direction or
    both, while new ones work. So what is written is followed by a heartbeat,
    and a connection whose heartbeat is not answered is closed and reported as
    lost; the next message opens another one. Idle connections carry none. A VM
    that opens another connection has given up the earlier one, whose unread
    bytes are dropped. */
class PeerTransport
{
public:
  /** Opens the port; kConnectionFailed when it cannot be opened. */
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
