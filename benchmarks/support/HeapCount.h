/*
 * Counts the bytes in use on the heap. This header replaces the program's
 * operator new and delete, so only one file of a program may include it.
 */
#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace wasabispread::benchmarks {

/** The allocator's own overhead for each block, in bytes. */
inline constexpr std::size_t kBlockOverheadBytes = 8;

/** Number of bytes in use, including the allocator's rounding and overhead. */
inline std::size_t gHeapBytes = 0;

} // namespace wasabispread::benchmarks

[[gnu::noinline]] void*
operator new(std::size_t aSize)
{
  void* block = std::malloc(aSize);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  wasabispread::benchmarks::gHeapBytes +=
    malloc_usable_size(block) + wasabispread::benchmarks::kBlockOverheadBytes;
  return block;
}

[[gnu::noinline]] void
operator delete(void* aBlock) noexcept
{
  if (aBlock == nullptr) {
    return;
  }
  wasabispread::benchmarks::gHeapBytes -=
    malloc_usable_size(aBlock) + wasabispread::benchmarks::kBlockOverheadBytes;
  std::free(aBlock);
}

[[gnu::noinline]] void
operator delete(void* aBlock, std::size_t) noexcept
{
  operator delete(aBlock);
}
