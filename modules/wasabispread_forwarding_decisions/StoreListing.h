/*
 * Joins the pages of a list of the store's entries.
 */
#pragma once

#include "StoreMessage.h"

namespace wasabispread::forwarding {

/** The pages that were read so far. */
struct StoreListing
{
  StoreContent mContent;
  /** The key after which the next page begins; empty before the first page and
      after the last one. */
  std::string mContinueAfter;
  bool mHasPages = false;
};

/** Adds the next page. The pages may be read from replicas of different ages,
    so that a page can be older than the one before it. The list is as old as
    its oldest page. An error when the page leads back to keys that were listed
    already. */
Result<std::monostate>
AddPage(StoreListing& aListing, StorePage aPage);

} // namespace wasabispread::forwarding
