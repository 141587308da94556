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
  /** The keys after which a page began. */
  std::unordered_set<std::string> mBegins;
};

/** Adds the next page. The pages may be read from replicas of different ages,
    so that a page can be older than the one before it. The list is as old as
    its oldest page. An error when the page leads back to one that was listed
    already. */
Result<std::monostate>
AddPage(StoreListing& aListing, StorePage aPage);

} // namespace wasabispread::forwarding
