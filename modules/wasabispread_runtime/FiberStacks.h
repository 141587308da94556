/*
 * The stacks of fibers. They are kept out of the heap: many stacks that come
 * and go between blocks of other sizes would leave holes in it that are never
 * returned. Private to this module.
 */
#pragma once

#include <boost/context/stack_context.hpp>

namespace wasabispread {

/** Allocates stacks as pages of their own and keeps some that were used, since
    most fibers live for one call. For one thread. */
class FiberStacks
{
public:
  boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context& aStack) noexcept;
};

} // namespace wasabispread
