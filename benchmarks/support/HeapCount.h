/*
 * Counts the heap's bytes in use. Replaces the program's operator new and
 * delete, so that just one file of a program may include it.
 */
#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace wasabispread::benchmarks {

/** The allocator's own bytes for each block. */
inline constexpr std::size_t kBlockOverheadBytes = 8;

/** Bytes in use, the allocator's rounding and overhead included. */
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
