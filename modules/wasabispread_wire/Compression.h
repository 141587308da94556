/*
 * Compression of text that is sent to other VMs or stored.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <string>
#include <string_view>

namespace wasabispread {

/** The compression level: kBestSpeed for text that is sent, kBestCompression
    for text that is stored. */
enum class CompressionLevel
{
  kBestSpeed,
  kBestCompression,
};

/** Compresses bytes to zlib's format. */
std::string
Compress(std::string_view aBytes, CompressionLevel aLevel);

/** Decompresses bytes in zlib's format; kInvalidFrame unless the result has
    exactly aSize bytes. That much memory is allocated first, so the caller must
    have checked aSize against a limit. */
Result<std::string>
Decompress(std::string_view aCompressed, std::size_t aSize);

} // namespace wasabispread
