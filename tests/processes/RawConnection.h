/*
 * A TCP connection that sends any bytes, right or wrong.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <string>
#include <string_view>

namespace wasabispread::testing {

/** Blocks on each call; reads give up after 5 s. */
class RawConnection
{
public:
  explicit RawConnection(const Endpoint& aAddress);
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /** Sends what the other side still takes. */
  void Send(std::string_view aBytes) const;

  /** Ends the sending side. */
  void FinishSending() const;

  /** Reads so many bytes, or fewer at the connection's end. */
  std::string Receive(std::size_t aBytes) const;

  /** Reads up to the connection's end. */
  std::string ReceiveAll() const;

private:
  int mSocket = -1;
};

} // namespace wasabispread::testing
