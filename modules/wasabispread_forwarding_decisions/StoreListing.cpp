/*
 * Joins pages, and finds the revisions between which their content lies.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <iterator>

namespace wasabispread::forwarding {

Result<std::monostate>
AddPage(StoreListing& aListing, StorePage aPage)
{
  const bool isLast = aPage.mContinueAfter.empty();
  if (!isLast && !aListing.mBegins.insert(aPage.mContinueAfter).second) {
    return Fail(ErrorKind::kPlatformUnavailable,
                "a page of the store's list leads back to an earlier one",
                "wait until the store is available again");
  }
  aListing.mTextBytes += aPage.mTextBytes;
  if (aListing.mTextBytes > kMaxListBytes) {
    return Fail(ErrorKind::kPlatformUnavailable,
                "the store's list is longer than " +
                  std::to_string(kMaxListBytes) + " bytes",
                "remove entries that no part of the system needs");
  }
  StoreContent& content = aListing.mContent;
  if (aListing.mHasPages && content.mEra != aPage.mEra) {
    return Fail(ErrorKind::kPlatformUnavailable,
                "the store came back from a copy while it was listed",
                "wait until it is listed again");
  }
  content.mEra = aPage.mEra;
  content.mRevision = aListing.mHasPages
                        ? std::min(content.mRevision, aPage.mRevision)
                        : aPage.mRevision;
  content.mNewestRevision = std::max(content.mNewestRevision, aPage.mRevision);
  std::move(aPage.mEntries.begin(),
            aPage.mEntries.end(),
            std::back_inserter(content.mEntries));
  aListing.mContinueAfter = std::move(aPage.mContinueAfter);
  aListing.mHasPages = true;
  return std::monostate{};
}

} // namespace wasabispread::forwarding
