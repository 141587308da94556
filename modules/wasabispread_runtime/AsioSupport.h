/*
 * Helpers for asynchronous operations in fibers. Private to this module.
 */
#pragma once

#include <utility>

#include "FiberEvent.h"

#include <boost/asio.hpp>
#include <poll.h>

#include <wasabispread_units/wasabispread_units.h>

namespace wasabispread {

/** The result of an asynchronous operation. */
struct IoResult
{
  boost::system::error_code mError;
  std::size_t mBytes = 0;
};

/** Starts an operation by calling aStart with a completion handler, and blocks
    the calling fiber until the operation completes. */
template<class Start>
IoResult
Await(Start&& aStart)
{
  IoResult result;
  FiberEvent completed;
  aStart([&result, &completed](boost::system::error_code aError,
                               std::size_t aBytes = 0) {
    result = IoResult{ aError, aBytes };
    completed.Notify();
  });
  completed.Wait();
  return result;
}

/** Connects a socket or stream and blocks the calling fiber meanwhile. An
    endpoint whose host is not an IP address gives an error, as a failed
    connection does. */
template<class Stream>
IoResult
AwaitConnect(Stream& aStream, const Endpoint& aEndpoint)
{
  IoResult result;
  const auto address =
    boost::asio::ip::make_address(aEndpoint.mHost, result.mError);
  if (result.mError) {
    return result;
  }
  return Await([&](auto aHandler) {
    aStream.async_connect(
      boost::asio::ip::tcp::endpoint(address, aEndpoint.mPort), aHandler);
  });
}

/** Whether the peer has closed the connection. Peeks at the input and consumes
    nothing; sets the socket to non-blocking mode. */
template<class Socket>
bool
IsClosedByPeer(Socket& aSocket)
{
  char byte = 0;
  boost::system::error_code error;
  aSocket.non_blocking(true, error);
  aSocket.receive(boost::asio::buffer(&byte, 1),
                  boost::asio::socket_base::message_peek,
                  error);
  return error && error != boost::asio::error::would_block;
}

/** Whether the socket accepts output now. */
template<class Socket>
bool
IsWritable(Socket& aSocket)
{
  pollfd state{ aSocket.native_handle(), POLLOUT, 0 };
  return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

/** Opens a listening socket; kConnectionFailed when the address cannot be
    used. */
inline Result<boost::asio::ip::tcp::acceptor>
Listen(boost::asio::io_context& aContext, const Endpoint& aEndpoint)
{
  namespace asio = boost::asio;
  asio::ip::tcp::acceptor acceptor(aContext);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aEndpoint.mHost, error);
  if (!error) {
    acceptor.open(asio::ip::tcp::v4(), error);
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind({ address, aEndpoint.mPort }, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorKind::kConnectionFailed,
                "cannot listen on " + ToText(aEndpoint) + ": " +
                  error.message(),
                "free the port or choose another in the settings");
  }
  return acceptor;
}

} // namespace wasabispread
