/*
 * A TCP connection that sends arbitrary bytes, including malformed requests.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <string>
#include <string_view>

namespace wasabispread::testing {

/** A blocking TCP connection. A single send or read that makes no progress for
    5 s fails. */
class RawConnection
{
public:
  explicit RawConnection(const Endpoint& aAddress);
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /** Sends the bytes; stops without an error when the peer no longer accepts
      them. */
  void Send(std::string_view aBytes) const;

  /** Shuts down the sending direction; reading remains possible. */
  void FinishSending() const;

  /** Lets the destructor reset the connection instead of closing it. */
  void ResetAtEnd() const;

  /** Sends a byte of urgent data. */
  void SendUrgent(char aByte) const;

  /** Reads aBytes bytes, or fewer if the connection ends, fails or times out.
   */
  std::string Receive(std::size_t aBytes) const;

  /** Reads what has arrived, without waiting; empty when nothing has. */
  std::string ReceiveArrived() const;

  /** Whether the connection has ended or failed and nothing is left to read;
      does not wait. */
  bool HasEnded() const;

  /** Reads until the connection ends, fails or times out, at most 1 MiB. */
  std::string ReceiveAll() const;

private:
  int mSocket = -1;
};

} // namespace wasabispread::testing
