/*
 * Bounds the memory of all responses that a process is receiving. This handles
 * servers that send bytes without end, many of them at once: each response by
 * itself may still be within its own limit.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace wasabispread {

/** Counts the bytes that each connection holds of its unfinished response. When
    the sum exceeds the limit, the connection that holds the most is told to
    close. Invariant: mUsedBytes is the sum of all counts. */
class ResponseMemory
{
public:
  explicit ResponseMemory(std::size_t aLimitBytes)
    : mLimitBytes(aLimitBytes)
  {
  }

  /** Sets the bytes that a connection holds; aClose is called, and the count
      dropped, if it is the connection to close. */
  void Set(const void* aConnection,
           std::size_t aBytes,
           std::function<void()> aClose);

  /** Drops the count of a connection. */
  void Release(const void* aConnection);

  std::size_t UsedBytes() const { return mUsedBytes; }
  /** How many connections were told to close. */
  std::size_t CountClosed() const { return mClosed; }

private:
  struct Holder
  {
    std::size_t mBytes = 0;
    std::function<void()> mClose;
  };

  std::size_t mLimitBytes;
  std::size_t mUsedBytes = 0;
  std::size_t mClosed = 0;
  std::unordered_map<const void*, Holder> mHolders;
};

} // namespace wasabispread
