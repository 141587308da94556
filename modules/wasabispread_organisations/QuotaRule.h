/*
 * The bound on an organisation's requests, and how it is divided up.
 *
 * In any window no more requests may run than the limit allows for its length,
 * with some surplus. The VM that grants quota keeps one balance for the
 * organisation. Granted and unused quota stays part of that balance, so the
 * surplus can be held in advance by the VMs that have the organisation's
 * callers, and they need not ask before each request. Another part of the
 * surplus is what a VM may grant at once when it takes over from another one,
 * whose balance it does not know.
 */
#pragma once

#include "Organisation.h"

namespace wasabispread {

/** How far an organisation may exceed its limit. */
struct QuotaRule
{
  Duration mWindow = std::chrono::seconds(5);
  /** The share by which the requests of a window may exceed the limit. */
  double mOverage = 0;
  /** The number of requests by which they may exceed it besides. */
  double mSlack = 0;
};

/** The most requests that may run in any window. */
double
MaxInWindow(const OrganisationLimit& aLimit, const QuotaRule& aRule);

/** How the bound is divided up. For any window: mCapacity + mRate x window +
    mTakeover is at most MaxInWindow(). */
struct QuotaParts
{
  /** The most quota that exists at a time, granted or not. */
  double mCapacity = 0;
  /** The quota that is added in a second. */
  double mRate = 0;
  /** The most quota that VMs hold in advance. */
  double mReserve = 0;
  /** What may be granted at once after a takeover. */
  double mTakeover = 0;
};

QuotaParts
DivideQuota(const OrganisationLimit& aLimit, const QuotaRule& aRule);

} // namespace wasabispread
