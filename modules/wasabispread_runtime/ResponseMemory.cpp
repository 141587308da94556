/*
 * Finds the connection that holds the most bytes.
 */
#include "ResponseMemory.h"

#include <algorithm>
#include <utility>

namespace wasabispread {

void
ResponseMemory::Set(const void* aConnection,
                    std::size_t aBytes,
                    std::function<void()> aClose)
{
  Release(aConnection);
  mHolders.emplace(aConnection, Holder{ aBytes, std::move(aClose) });
  mUsedBytes += aBytes;
  while (mUsedBytes > mLimitBytes && !mHolders.empty()) {
    const auto largest =
      std::max_element(mHolders.begin(),
                       mHolders.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mBytes < aRight.second.mBytes;
                       });
    const auto close = std::move(largest->second.mClose);
    Release(largest->first);
    ++mClosed;
    close();
  }
}

void
ResponseMemory::Release(const void* aConnection)
{
  const auto found = mHolders.find(aConnection);
  if (found != mHolders.end()) {
    mUsedBytes -= found->second.mBytes;
    mHolders.erase(found);
  }
}

} // namespace wasabispread
