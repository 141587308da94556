/*
 * Compression by zlib.
 */
#include "wasabispread_wire.h"

#include <cassert>

#include <zlib.h>

namespace wasabispread {

std::string
Compress(std::string_view aBytes, CompressionLevel aLevel)
{
  uLongf size = compressBound(aBytes.size());
  std::string compressed(size, '\0');
  const int level =
    aLevel == CompressionLevel::kBestSpeed ? Z_BEST_SPEED : Z_BEST_COMPRESSION;
  [[maybe_unused]] const int status =
    compress2(reinterpret_cast<Bytef*>(compressed.data()),
              &size,
              reinterpret_cast<const Bytef*>(aBytes.data()),
              aBytes.size(),
              level);
  assert(status == Z_OK);
  compressed.resize(size);
  return compressed;
}

Result<std::string>
Decompress(std::string_view aCompressed, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  uLongf size = aSize;
  const int status =
    uncompress(reinterpret_cast<Bytef*>(bytes.data()),
               &size,
               reinterpret_cast<const Bytef*>(aCompressed.data()),
               aCompressed.size());
  if (status != Z_OK || size != aSize) {
    return Fail(ErrorKind::kInvalidFrame,
                "compressed text cannot be decompressed",
                "compare the releases of both sides");
  }
  return bytes;
}

} // namespace wasabispread
