/*
 * Finds free ports by binding a socket to each candidate.
 */
#include "FreePorts.h"

#include <stdexcept>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabispread::testing {

namespace {

constexpr std::uint16_t kFirstPort = 25000;
constexpr std::uint16_t kPortCount = 7000;

bool
IsFree(std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool isFree =
    bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(socket);
  return isFree;
}

} // namespace

std::uint16_t
NextFreePort()
{
  // Starts at a port that depends on the process id, so that two test programs
  // that run at the same time try different ports.
  static unsigned next = static_cast<unsigned>(getpid()) * 701U;
  for (unsigned attempts = 0; attempts < kPortCount; ++attempts) {
    const auto port =
      static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    if (IsFree(port)) {
      return port;
    }
  }
  throw std::runtime_error("no free loopback port among the 7000 from 25000");
}

} // namespace wasabispread::testing
