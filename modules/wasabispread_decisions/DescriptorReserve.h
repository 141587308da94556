/*
 * Divides a process's descriptors between its clients and the rest.
 */
#pragma once

#include <cstddef>

namespace wasabispread {

/** How many of aDescriptors clients may hold. The rest is kept for connections
    to targets, other VMs and the store, without which no request that a client
    sends could be served. */
constexpr std::size_t
ClientDescriptors(std::size_t aDescriptors)
{
  return aDescriptors - aDescriptors / 4;
}

} // namespace wasabispread
