/*
 * Joins the pages of a list of the store's entries.
 */
#pragma once

#include "StoreMessage.h"

#include <unordered_set>

namespace wasabispread::forwarding {

/** The pages that were read so far. */
struct StoreListing
{
  StoreContent mContent;
  /** The key after which the next page begins; empty before the first page and
      after the last one. */
  std::string mContinueAfter;
  bool mHasPages = false;
  /** The sum over the pages; at most kMaxListBytes. */
  std::size_t mTextBytes = 0;
  /** The keys after which a page began. */
  std::unordered_set<std::string> mBegins;
};

/** The most bytes of a list's pages: three times what a fleet of the size that
    is designed for has, with 13,000 targets and 3,000 VMs. */
inline constexpr std::size_t kMaxListBytes = std::size_t{ 32 } << 20U;

/** Adds the next page. The pages may be read from replicas of different ages,
    so that a page can be older than the one before it. The list is as old as
    its oldest page. An error when the page leads back to one that was listed
    already, or when the list is too long: a faulty store may never end it. */
Result<std::monostate>
AddPage(StoreListing& aListing, StorePage aPage);

} // namespace wasabispread::forwarding
