/*
 * Connections to and from other VMs.
 */
#include "AsioSupport.h"

#include "wasabispread_runtime.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/operations.hpp>
#include <netinet/tcp.h>

namespace wasabispread {

namespace {

/** The timeout for connecting and exchanging hello frames. */
constexpr Duration kHelloTimeout = std::chrono::seconds(1);
/** The timeout of each write, after which the connection is closed. */
constexpr Duration kWriteTimeout = std::chrono::seconds(5);
/** The pause after a failed accept. */
constexpr Duration kAcceptPause = std::chrono::milliseconds(2);

/** The least time between heartbeats on one connection. */
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
/** How long the answer to a heartbeat is awaited, beside the time that the
    bytes before it take at kSlowLinkBytes a second. */
constexpr Duration kHeartbeatTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t kSlowLinkBytes = 16U << 10U;
/** A timer that is this late shows that this process stood still. The answer
    may have arrived and is read within kArrivedReadTime. */
constexpr Duration kLateTimer = std::chrono::milliseconds(100);
constexpr Duration kArrivedReadTime = std::chrono::milliseconds(250);
/** How long an accepted connection may be idle before the kernel checks whether
    the other VM still exists. */
constexpr int kKeepAliveIdleSeconds = 300;

/** The most bytes of a hello frame, which names one address. Whatever connects
    to the port may send what it likes before it. */
constexpr std::uint32_t kMaxHelloBytes = 4U << 10U;
/** The most of a frame that is allocated before it arrives. */
constexpr std::size_t kFrameReadBytes = 64U << 10U;

using Stream = boost::beast::tcp_stream;

/** An encoded message that is not written yet. */
struct QueuedFrame
{
  std::string mBytes;
  /** The attempts that the message requests; empty for messages other than
      BatchRequest. */
  std::vector<AttemptSequence> mAttempts;
  /** The oldest frame version that has the message. */
  std::uint32_t mVersion = kOldestFrameVersion;
};

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

/** What is known of whether a connection carries bytes. */
struct Heartbeats
{
  /** When the next heartbeat may be sent. */
  TimePoint mNext{};
  /** When the connection is given up; TimePoint::max() while no answer is
      awaited. */
  TimePoint mDeadline = TimePoint::max();
  /** The bytes written since the last heartbeat that was answered, and those of
      them after the last heartbeat. */
  std::size_t mUnconfirmedBytes = 0;
  std::size_t mBytesSinceHeartbeat = 0;

  bool IsAwaited() const { return mDeadline != TimePoint::max(); }
  /** Whether a heartbeat is due when aBytes are about to be written. */
  bool IsDue(std::size_t aBytes, TimePoint aNow) const
  {
    return !IsAwaited() && aBytes + mBytesSinceHeartbeat != 0 && aNow >= mNext;
  }
  /** When the writer acts next although no message is queued. */
  TimePoint NextStep() const
  {
    return IsAwaited() || mBytesSinceHeartbeat == 0 ? mDeadline : mNext;
  }
};

/** The connection to one VM and the messages queued for it. */
struct OutgoingLink
{
  Endpoint mAddress;
  std::deque<QueuedFrame> mQueue;
  std::size_t mQueuedBytes = 0;
  Heartbeats mHeartbeats;
  /** Set when a message is queued or the link fails. */
  FiberEvent mWake;
  bool mIsBroken = false;
};

/** A connection that another VM opened. */
struct AcceptedLink
{
  Incarnation mIncarnation;
  std::shared_ptr<Stream> mStream;
};

/** Reads one frame, within the time limit set on the stream if there is one. */
template<class ReadStream>
Result<PeerFrame>
ReadFrame(ReadStream& aStream, std::uint32_t aMaxBytes)
{
  std::array<std::uint8_t, kFrameLengthBytes> prefix{};
  const IoResult prefixRead = Await([&](auto aHandler) {
    boost::asio::async_read(aStream, boost::asio::buffer(prefix), aHandler);
  });
  if (prefixRead.mError) {
    return Fail(ErrorKind::kConnectionFailed,
                prefixRead.mError.message(),
                "check the other VM");
  }
  const auto length = DecodeFrameLength(prefix, aMaxBytes);
  if (!length) {
    return tl::unexpected<Error>(length.error());
  }
  // The stated length is not allocated before the bytes arrive.
  std::vector<std::uint8_t> bytes;
  while (bytes.size() < *length) {
    const std::size_t held = bytes.size();
    bytes.resize(std::min<std::size_t>(*length, held + kFrameReadBytes));
    const IoResult read = Await([&](auto aHandler) {
      boost::asio::async_read(
        aStream, boost::asio::buffer(bytes) + held, aHandler);
    });
    if (read.mError) {
      return Fail(ErrorKind::kConnectionFailed,
                  "the connection ended within a frame",
                  "check the other VM");
    }
  }
  return DecodeFrame(bytes);
}

bool
WriteBytes(Stream& aStream, const std::string& aBytes)
{
  const IoResult written = Await([&](auto aHandler) {
    boost::asio::async_write(aStream, boost::asio::buffer(aBytes), aHandler);
  });
  return !written.mError;
}

/** Reads the hello frame that begins a connection, and checks that both
    releases share a frame version. */
Result<PeerHello>
ReadHello(Stream& aStream)
{
  auto frame = ReadFrame(aStream, kMaxHelloBytes);
  if (!frame) {
    return tl::unexpected<Error>(frame.error());
  }
  const PeerHello* hello = std::get_if<PeerHello>(&*frame);
  if (hello == nullptr) {
    return Fail(ErrorKind::kInvalidFrame,
                "the first frame is not a hello frame",
                "check what connects to the peer port");
  }
  const auto version = NegotiateFrameVersion(*hello);
  if (!version) {
    return tl::unexpected<Error>(version.error());
  }
  return *hello;
}

} // namespace

struct PeerTransport::Implementation
{
  Implementation(boost::asio::ip::tcp::acceptor aAcceptor,
                 VmIdentity aSelf,
                 PeerTransportLimits aLimits,
                 PeerTransportHandlers aHandlers)
    : mAcceptor(std::move(aAcceptor))
    , mSelf(std::move(aSelf))
    , mLimits(aLimits)
    , mHandlers(std::move(aHandlers))
  {
  }

  PeerHello MakeHello(VmId aExpected) const
  {
    PeerHello hello;
    hello.mVm = mSelf.mId;
    hello.mIncarnation = mSelf.mIncarnation;
    hello.mPeerAddress = mSelf.mPeerAddress;
    hello.mExpectedVm = aExpected;
    return hello;
  }

  /** Connects to a VM, exchanges hello frames and checks that the expected VM
      responded. Returns the frame version that both support. */
  Result<std::uint32_t> Open(Stream& aStream,
                             VmId aPeer,
                             const Endpoint& aAddress) const
  {
    aStream.expires_after(kHelloTimeout);
    const IoResult connected = AwaitConnect(aStream, aAddress);
    if (connected.mError) {
      return Fail(ErrorKind::kConnectionFailed,
                  "cannot reach the VM at " + ToText(aAddress) + ": " +
                    connected.mError.message(),
                  "check that its daemon runs");
    }
    boost::system::error_code ignored;
    aStream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    if (!WriteBytes(aStream, EncodeHello(MakeHello(aPeer)))) {
      return Fail(ErrorKind::kConnectionFailed,
                  "the VM at " + ToText(aAddress) + " closed the connection",
                  "check that its daemon runs");
    }
    const auto hello = ReadHello(aStream);
    if (!hello) {
      return tl::unexpected<Error>(hello.error());
    }
    if (hello->mVm != aPeer) {
      return Fail(ErrorKind::kConnectionFailed,
                  "another VM answers at " + ToText(aAddress),
                  "correct the VM list or the settings");
    }
    return NegotiateFrameVersion(*hello);
  }

  /** Removes the queued messages of a link and returns their bytes. Messages
      that a peer of frame version aVersion does not know are dropped. */
  static std::string TakeQueued(OutgoingLink& aLink, std::uint32_t aVersion)
  {
    std::string bytes;
    for (const QueuedFrame& frame : aLink.mQueue) {
      if (frame.mVersion <= aVersion) {
        bytes += frame.mBytes;
      }
    }
    aLink.mQueue.clear();
    aLink.mQueuedBytes = 0;
    return bytes;
  }

  /** Writes the queued messages of a link, and heartbeats, until the link
      fails. */
  void RunWriter(Stream& aStream,
                 OutgoingLink& aLink,
                 std::uint32_t aVersion) const
  {
    Heartbeats& heartbeats = aLink.mHeartbeats;
    while (!aLink.mIsBroken) {
      const TimePoint now = Now();
      if (now >= heartbeats.mDeadline) {
        if (now < heartbeats.mDeadline + kLateTimer) {
          LogWarning(Error{ ErrorKind::kConnectionFailed,
                            "the connection to the VM at " +
                              ToText(aLink.mAddress) + " is silent",
                            "check the network between the VMs" });
          return;
        }
        heartbeats.mDeadline = now + kArrivedReadTime;
      }
      std::string bytes = TakeQueued(aLink, aVersion);
      heartbeats.mUnconfirmedBytes += bytes.size();
      const bool isDue =
        aVersion >= kHeartbeatVersion && heartbeats.IsDue(bytes.size(), now);
      heartbeats.mBytesSinceHeartbeat += bytes.size();
      if (isDue) {
        bytes += EncodeHeartbeat(PeerHeartbeat{});
        heartbeats.mNext = now + kHeartbeatInterval;
        heartbeats.mDeadline =
          now + kHeartbeatTimeout +
          std::chrono::seconds(heartbeats.mUnconfirmedBytes / kSlowLinkBytes);
        heartbeats.mBytesSinceHeartbeat = 0;
      }
      if (bytes.empty()) {
        aLink.mWake.WaitUntil(aVersion >= kHeartbeatVersion
                                ? heartbeats.NextStep()
                                : TimePoint::max());
        continue;
      }
      aStream.expires_after(kWriteTimeout);
      if (!WriteBytes(aStream, bytes)) {
        return;
      }
      aStream.expires_never();
    }
  }

  void LogWarning(const Error& aError) const
  {
    if (mHandlers.mLogWarning) {
      mHandlers.mLogWarning(ToText(aError));
    }
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  VmIdentity mSelf;
  PeerTransportLimits mLimits;
  PeerTransportHandlers mHandlers;
  std::unordered_map<VmId, std::shared_ptr<OutgoingLink>> mLinks;
  std::unordered_map<VmId, AcceptedLink> mAccepted;
};

namespace {

/** Reads the answers to heartbeats, and detects that the peer closes the
    connection. The peer sends nothing else on it after its hello. */
void
WatchConnection(const std::shared_ptr<Stream>& aStream,
                const std::shared_ptr<OutgoingLink>& aLink)
{
  constexpr std::uint32_t kMaxAnswerBytes = 1024;
  Heartbeats& heartbeats = aLink->mHeartbeats;
  while (true) {
    // Time limits of the stream are those of the writer.
    const auto frame = ReadFrame(aStream->socket(), kMaxAnswerBytes);
    if (!frame || !std::holds_alternative<PeerHeartbeat>(*frame)) {
      break;
    }
    heartbeats.mDeadline = TimePoint::max();
    heartbeats.mUnconfirmedBytes = heartbeats.mBytesSinceHeartbeat;
    // The writer may wait for the deadline.
    aLink->mWake.Notify();
  }
  aLink->mIsBroken = true;
  aLink->mWake.Notify();
}

/** The attempts that a message requests. */
std::vector<AttemptSequence>
AttemptsIn(const PeerMessage& aMessage)
{
  std::vector<AttemptSequence> attempts;
  if (const auto* request = std::get_if<BatchRequest>(&aMessage)) {
    attempts.reserve(request->mItems.size());
    for (const BatchItem& item : request->mItems) {
      attempts.push_back(item.mSequence);
    }
  }
  return attempts;
}

/** Removes and returns the attempts that a link did not begin to write. The
    link must have ended. */
std::vector<AttemptSequence>
TakeUnsent(OutgoingLink& aLink)
{
  std::vector<AttemptSequence> unsent;
  for (const QueuedFrame& frame : aLink.mQueue) {
    unsent.insert(unsent.end(), frame.mAttempts.begin(), frame.mAttempts.end());
  }
  aLink.mQueue.clear();
  return unsent;
}

/** Runs a link: connects, writes messages until the link fails, and reports its
    end. */
template<class Transport>
void
RunLink(std::shared_ptr<Transport> aTransport,
        VmId aPeer,
        std::shared_ptr<OutgoingLink> aLink)
{
  auto stream = std::make_shared<Stream>(aTransport->mAcceptor.get_executor());
  const auto opened = aTransport->Open(*stream, aPeer, aLink->mAddress);
  if (opened) {
    stream->expires_never();
    StartFiber([stream, aLink] { WatchConnection(stream, aLink); });
    aTransport->RunWriter(*stream, *aLink, *opened);
    stream->close();
  } else {
    aTransport->LogWarning(opened.error());
  }
  const auto found = aTransport->mLinks.find(aPeer);
  if (found != aTransport->mLinks.end() && found->second == aLink) {
    aTransport->mLinks.erase(found);
  }
  aLink->mIsBroken = true;
  auto unsent = TakeUnsent(*aLink);
  if (!unsent.empty()) {
    aTransport->mHandlers.mNotSent(aPeer, std::move(unsent));
  }
  aTransport->mHandlers.mLost(aPeer);
}

/** Makes the kernel find out that a VM is gone whose connection was not
    closed. */
void
EnableKeepAlive(Stream& aStream)
{
  using Idle =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  boost::system::error_code ignored;
  aStream.socket().set_option(boost::asio::socket_base::keep_alive(true),
                              ignored);
  aStream.socket().set_option(Idle(kKeepAliveIdleSeconds), ignored);
}

/** Records the connection that a VM opened and closes the one that it had
    opened before: nothing is written to that any more. */
template<class Transport>
void
ReplaceAccepted(Transport& aTransport,
                const PeerHello& aHello,
                const std::shared_ptr<Stream>& aStream)
{
  AcceptedLink& accepted = aTransport.mAccepted[aHello.mVm];
  if (accepted.mStream != nullptr) {
    if (aHello.mIncarnation < accepted.mIncarnation) {
      return;
    }
    accepted.mStream->close();
  }
  accepted = AcceptedLink{ aHello.mIncarnation, aStream };
}

/** Receives messages on a connection after its hello frames, until it ends. */
template<class Transport>
void
ReceiveMessages(Transport& aTransport, const PeerHello& aHello, Stream& aStream)
{
  while (true) {
    auto frame = ReadFrame(aStream, aTransport.mLimits.mMaxFrameBytes);
    if (!frame) {
      if (frame.error().mKind == ErrorKind::kInvalidFrame) {
        aTransport.LogWarning(frame.error());
      }
      return;
    }
    if (std::holds_alternative<PeerHeartbeat>(*frame)) {
      aStream.expires_after(kWriteTimeout);
      if (!WriteBytes(aStream, EncodeHeartbeat(PeerHeartbeat{ true }))) {
        return;
      }
      aStream.expires_never();
      continue;
    }
    PeerMessage* message = std::get_if<PeerMessage>(&*frame);
    // A connection that was replaced may have been read in part.
    if (message == nullptr || !aStream.socket().is_open()) {
      return;
    }
    aTransport.mHandlers.mMessage(
      aHello.mVm, aHello.mPeerAddress, std::move(*message));
  }
}

/** Serves a connection that another VM opened. */
template<class Transport>
void
ServePeer(const std::shared_ptr<Transport>& aTransport,
          const std::shared_ptr<Stream>& aStream)
{
  aStream->expires_after(kHelloTimeout);
  const auto hello = ReadHello(*aStream);
  if (!hello) {
    aTransport->LogWarning(hello.error());
    return;
  }
  const std::string reply = EncodeHello(aTransport->MakeHello(hello->mVm));
  const bool isExpectedVm = hello->mExpectedVm == aTransport->mSelf.mId;
  if (!WriteBytes(*aStream, reply) || !isExpectedVm) {
    return;
  }
  aStream->expires_never();
  EnableKeepAlive(*aStream);
  ReplaceAccepted(*aTransport, *hello, aStream);
  ReceiveMessages(*aTransport, *hello, *aStream);
  const auto accepted = aTransport->mAccepted.find(hello->mVm);
  if (accepted != aTransport->mAccepted.end() &&
      accepted->second.mStream == aStream) {
    aTransport->mAccepted.erase(accepted);
  }
}

template<class Transport>
void
AcceptPeers(std::shared_ptr<Transport> aTransport)
{
  while (aTransport->mAcceptor.is_open()) {
    boost::asio::ip::tcp::socket socket(aTransport->mAcceptor.get_executor());
    const IoResult accepted = Await([&](auto aHandler) {
      aTransport->mAcceptor.async_accept(socket, aHandler);
    });
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kAcceptPause);
      continue;
    }
    auto stream = std::make_shared<Stream>(std::move(socket));
    StartFiber([aTransport, stream] {
      ServePeer(aTransport, stream);
      stream->close();
    });
  }
}

} // namespace

Result<std::unique_ptr<PeerTransport>>
PeerTransport::Start(IoLoop& aLoop,
                     const VmIdentity& aSelf,
                     PeerTransportLimits aLimits,
                     PeerTransportHandlers aHandlers)
{
  auto acceptor = Listen(aLoop.Context(), aSelf.mPeerAddress);
  if (!acceptor) {
    return tl::unexpected<Error>(acceptor.error());
  }
  auto implementation = std::make_shared<Implementation>(
    std::move(*acceptor), aSelf, aLimits, std::move(aHandlers));
  StartFiber([implementation] { AcceptPeers(implementation); });
  return std::unique_ptr<PeerTransport>(
    new PeerTransport(std::move(implementation)));
}

PeerTransport::PeerTransport(std::shared_ptr<Implementation> aImplementation)
  : mImplementation(std::move(aImplementation))
{
}

PeerTransport::~PeerTransport()
{
  boost::system::error_code ignored;
  mImplementation->mAcceptor.close(ignored);
}

void
PeerTransport::Send(VmId aPeer,
                    const Endpoint& aAddress,
                    const PeerMessage& aMessage)
{
  std::shared_ptr<OutgoingLink>& link = mImplementation->mLinks[aPeer];
  if (link == nullptr || link->mIsBroken) {
    link = std::make_shared<OutgoingLink>();
    link->mAddress = aAddress;
    StartFiber([transport = mImplementation, aPeer, link = link] {
      RunLink(transport, aPeer, link);
    });
  }
  std::string bytes = EncodeMessage(aMessage);
  const std::size_t queued = link->mQueuedBytes + bytes.size();
  link->mQueue.push_back(QueuedFrame{
    std::move(bytes), AttemptsIn(aMessage), FrameVersionOf(aMessage) });
  link->mQueuedBytes = queued;
  link->mIsBroken = queued > mImplementation->mLimits.mMaxQueuedBytes;
  link->mWake.Notify();
}

} // namespace wasabispread
