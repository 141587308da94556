/*
 * A fault found in a file, with its position and its remedy.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabispread {

/** A fault in a file. Lines and columns count from 1; 0 means that the position
    is unknown. */
struct Fault
{
  std::string mFile;
  std::uint32_t mLine = 0;
  std::uint32_t mColumn = 0;
  std::string mMessage;
  std::string mRemedy;
};

/** The text "file:line:column: message; remedy". */
std::string
ToText(const Fault& aFault);

/** All faults of a file, in the order of the file. */
using Faults = std::vector<Fault>;

} // namespace wasabispread
