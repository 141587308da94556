/*
 * Allocates the stacks of fibers.
 */
#include "FiberStacks.h"

#include <new>
#include <vector>

#include <sys/mman.h>

namespace wasabispread {

namespace {

/** The size of a stack, of which only the pages that were used take memory. */
constexpr std::size_t kStackBytes = 128U << 10U;
/** The most unused stacks that are kept. */
constexpr std::size_t kMaxKept = 64;

/** The unused stacks. Never destroyed: fibers may end after static objects. */
std::vector<void*>&
KeptStacks()
{
  thread_local auto* const kept = new std::vector<void*>;
  return *kept;
}

} // namespace

boost::context::stack_context
FiberStacks::allocate()
{
  std::vector<void*>& kept = KeptStacks();
  void* pages = nullptr;
  if (kept.empty()) {
    pages = mmap(nullptr,
                 kStackBytes,
                 PROT_READ | PROT_WRITE,
                 MAP_PRIVATE | MAP_ANONYMOUS,
                 -1,
                 0);
    if (pages == MAP_FAILED) {
      throw std::bad_alloc();
    }
  } else {
    pages = kept.back();
    kept.pop_back();
  }
  boost::context::stack_context stack;
  stack.size = kStackBytes;
  stack.sp = static_cast<char*>(pages) + kStackBytes;
  return stack;
}

void
FiberStacks::deallocate(boost::context::stack_context& aStack) noexcept
{
  void* const pages = static_cast<char*>(aStack.sp) - aStack.size;
  std::vector<void*>& kept = KeptStacks();
  if (kept.size() < kMaxKept) {
    kept.reserve(kMaxKept);
    kept.push_back(pages);
  } else {
    munmap(pages, aStack.size);
  }
}

} // namespace wasabispread
