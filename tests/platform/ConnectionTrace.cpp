/*
 * Reads /proc.
 */
#include "ConnectionTrace.h"

#include <tests/processes/ChildProcess.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace wasabispread::testing {

namespace {

constexpr const char* kListens = "0A";

/** The number after the colon of "ADDRESS:PORT", in hexadecimal digits. */
std::uint16_t
PortOf(const std::string& aAddress)
{
  constexpr int kHexadecimal = 16;
  return static_cast<std::uint16_t>(
    std::stoul(aAddress.substr(aAddress.find(':') + 1), nullptr, kHexadecimal));
}

} // namespace

std::string
DescribeConnection(std::uint16_t aClientPort, std::uint16_t aServerPort)
{
  std::ostringstream text;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream columns(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    columns >> slot >> local >> remote >> state >> queues;
    const std::uint16_t from = PortOf(local);
    const std::uint16_t to = PortOf(remote);
    const bool isListening = from == aServerPort && state == kListens;
    if (isListening || (from == aClientPort && to == aServerPort) ||
        (from == aServerPort && to == aClientPort)) {
      text << "  socket " << from << " to " << to << ": state " << state
           << ", bytes to send:to read " << queues << "\n";
    }
  }
  return text.str();
}

std::string
LastBytes(const std::string& aFile, std::size_t aBytes)
{
  std::string text = ReadWholeFile(aFile);
  return text.substr(text.size() - std::min(text.size(), aBytes));
}

std::string
DescribeProcess(pid_t aPid)
{
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("State:")) {
      return line.substr(line.find_first_not_of(": \t", sizeof "State"));
    }
  }
  return "has ended";
}

} // namespace wasabispread::testing
