/*
 * Compression of text that is sent or stored.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <string>
#include <string_view>

namespace wasabispread {

/** How hard to try: quickly for what is sent, closely for what is stored. */
enum class CompressionLevel
{
  kBestSpeed,
  kBestCompression,
};

/** The bytes in zlib's format. */
std::string
Compress(std::string_view aBytes, CompressionLevel aEffort);

/** The bytes again; kInvalidFrame when they are not aSize bytes in zlib's
    format. aSize must have been checked to be acceptable. */
Result<std::string>
Decompress(std::string_view aCompressed, std::size_t aSize);

} // namespace wasabispread
