/*
 * Finds free ports by binding a socket to each candidate. The sockets of the
 * latest ports stay bound, without listening.
 */
#include "FreePorts.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <stdexcept>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wasabispread::testing {

namespace {

constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kPortCount = 13000;

/** Binds a socket to a port; std::nullopt when any socket uses it. Servers that
    set SO_REUSEADDR can listen beside the socket; another Reserve(), and the
    system for outgoing connections, can't take the port. */
std::optional<int>
Reserve(std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    close(socket);
    return std::nullopt;
  }
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return socket;
}

/** The reserved ports: at most a quarter of the descriptors. */
std::size_t
MostReserved()
{
  constexpr rlim_t kMost = 1000;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return std::min(kMost, limit.rlim_cur / 4);
}

} // namespace

std::uint16_t
NextFreePort()
{
  // Starts at a port that depends on the process id, so that programs that run
  // at the same time seldom try the same ones.
  static unsigned next = static_cast<unsigned>(getpid()) * 701U;
  static std::deque<int> reserved;
  for (unsigned attempts = 0; attempts < kPortCount; ++attempts) {
    const auto port =
      static_cast<std::uint16_t>(kFirstPort + next++ % kPortCount);
    if (const auto socket = Reserve(port)) {
      reserved.push_back(*socket);
      if (reserved.size() > MostReserved()) {
        close(reserved.front());
        reserved.pop_front();
      }
      return port;
    }
  }
  throw std::runtime_error("no free loopback port among the 13000 from 12000; "
                           "end other tests that run");
}

} // namespace wasabispread::testing
