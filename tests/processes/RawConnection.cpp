/*
 * Implements RawConnection with blocking POSIX sockets.
 */
#include "RawConnection.h"

#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabispread::testing {

RawConnection::RawConnection(const Endpoint& aAddress)
  : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  constexpr time_t kTimeoutSeconds = 5;
  const timeval timeout{ kTimeoutSeconds, 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(mSocket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  if (connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    close(mSocket);
    throw std::runtime_error("cannot connect to " + ToText(aAddress));
  }
}

RawConnection::~RawConnection()
{
  close(mSocket);
}

void
RawConnection::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

void
RawConnection::FinishSending() const
{
  shutdown(mSocket, SHUT_WR);
}

void
RawConnection::ResetAtEnd() const
{
  const linger noWait{ 1, 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &noWait, sizeof noWait);
}

void
RawConnection::SendUrgent(char aByte) const
{
  send(mSocket, &aByte, 1, MSG_NOSIGNAL | MSG_OOB);
}

std::string
RawConnection::Receive(std::size_t aBytes) const
{
  std::string received(aBytes, '\0');
  std::size_t size = 0;
  while (size < aBytes) {
    const ssize_t count =
      recv(mSocket, received.data() + size, aBytes - size, 0);
    if (count <= 0) {
      break;
    }
    size += static_cast<std::size_t>(count);
  }
  received.resize(size);
  return received;
}

std::string
RawConnection::ReceiveArrived() const
{
  constexpr std::size_t kMaxBytes = 1U << 20U;
  std::string received(kMaxBytes, '\0');
  const ssize_t count =
    recv(mSocket, received.data(), received.size(), MSG_DONTWAIT);
  received.resize(count <= 0 ? 0 : static_cast<std::size_t>(count));
  return received;
}

bool
RawConnection::HasEnded() const
{
  char byte = 0;
  const ssize_t count = recv(mSocket, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string
RawConnection::ReceiveAll() const
{
  constexpr std::size_t kMaxBytes = 1U << 20U;
  return Receive(kMaxBytes);
}

} // namespace wasabispread::testing
