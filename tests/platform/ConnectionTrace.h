/*
 * What the system and log files tell of connections and processes, to trace a
 * failure.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <sys/types.h>

namespace wasabispread::testing {

/** The system's records of a connection on loopback, seen from both ends, and
    of the socket that listens on aServerPort: states and bytes that wait. */
std::string
DescribeConnection(std::uint16_t aClientPort, std::uint16_t aServerPort);

/** The end of a text file, at most aBytes of it. */
std::string
LastBytes(const std::string& aFile, std::size_t aBytes);

/** The state of a process, as "S (sleeping)". */
std::string
DescribeProcess(pid_t aPid);

} // namespace wasabispread::testing
