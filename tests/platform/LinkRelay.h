/*
 * A link of the network in user space: passes the bytes of TCP connections on
 * and disturbs them as a network does.
 */
#pragma once

#include <wasabispread_runtime/wasabispread_runtime.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace wasabispread::testing {

/** The direction in which bytes pass a link. */
enum class LinkDirection : std::uint8_t
{
  kToServer,
  kToClient,
};

/** A span of time in which a link did not pass bytes. */
struct LinkSpan
{
  TimePoint mFrom{};
  TimePoint mUntil = TimePoint::max();
};

/** What passed on one connection of a link. */
struct LinkRecord
{
  /** The port of the client, and the one that the server sees instead. */
  std::uint16_t mClientPort = 0;
  std::uint16_t mOnwardPort = 0;
  TimePoint mAccepted{};
  std::size_t mBytesToServer = 0;
  std::size_t mBytesToClient = 0;
  TimePoint mLastToServer{};
  /** When the server closed or reset the connection. */
  TimePoint mServerEnd = TimePoint::max();
  /** When the link broke or silenced the connection, and how. */
  TimePoint mHarmed = TimePoint::max();
  std::string mHarm;
};

/** Listens on a port of its own and connects each client on to one server. The
    destructor resets all connections. Used from the fibers of one thread. */
class LinkRelay
{
public:
  LinkRelay(IoLoop& aLoop, const Endpoint& aServer);
  ~LinkRelay();

  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /** The address at which clients reach the server. */
  const Endpoint& Address() const;

  /** Holds the bytes of a direction until a time, as packets that are lost and
      sent again do. */
  void Hold(LinkDirection aDirection, TimePoint aUntil);

  /** Lets nothing pass, nor connections open, until Heal(). */
  void Cut();

  /** Limits the bytes per second of each connection and direction until
      Heal(). */
  void LimitRate(std::size_t aBytesPerSecond);

  /** Ends what Hold(), Cut() and LimitRate() began. */
  void Heal();

  /** Loses all further bytes of the open connections, without a reset. */
  void SilenceOpen();

  /** As above, in one direction only. */
  void SilenceOpen(LinkDirection aDirection);

  /** Resets the open connections. */
  void ResetOpen();

  /** Closes each open connection once aBytes further bytes of a reply have
      passed. */
  void CutNextReplies(std::size_t aBytes);

  /** The record of the last connection that was accepted from a client's port
      up to a time; null when none was. */
  std::shared_ptr<const LinkRecord> Find(std::uint16_t aClientPort,
                                         TimePoint aTime) const;

  /** The record of the last connection; null before the first one. */
  std::shared_ptr<const LinkRecord> Last() const;

  /** The spans in which the link was cut. */
  const std::vector<LinkSpan>& Cuts() const;

private:
  struct Implementation;
  std::shared_ptr<Implementation> mImplementation;
};

/** Disturbs a link in a way that aRandom chooses and heals it, at the latest at
    aEnd. */
void
DisturbLink(LinkRelay& aLink, Random& aRandom, TimePoint aEnd);

} // namespace wasabispread::testing
