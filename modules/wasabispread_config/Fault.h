/*
 * A fault found in a file, with its place and its remedy.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread {

/** One thing wrong with a file; lines and columns count from 1. */
struct Fault
{
  std::string mFile;
  std::uint32_t mLine = 0;
  std::uint32_t mColumn = 0;
  std::string mMessage;
  std::string mRemedy;
};

/** The line "file:line:column: message; remedy". */
std::string
ToText(const Fault& aFault);

/** Every fault of a file, in the order of the file. */
using Faults = std::vector<Fault>;

} // namespace wasabispread
