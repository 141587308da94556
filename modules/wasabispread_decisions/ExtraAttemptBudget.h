/*
 * The one budget from which a service's hedges and retries are paid.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>

namespace wasabispread {

/** Tokens, one for each extra sub-request. Shards that answered earn the
    service's declared share of a token, so that a sick fleet is sent less
    extra load. Invariant: from 0 to the service's most tokens. */
struct ExtraAttemptBudget
{
  double mTokens = 0;
};

/** The most tokens that a service may save up. Extra sub-requests never
    exceed this plus the declared share of shards answered. */
double
MaxExtraAttemptTokens(const Service& aService);

/** A full budget. */
ExtraAttemptBudget
MakeExtraAttemptBudget(const Service& aService);

/** Adds what one answered shard earns. */
void
CreditExtraAttempts(ExtraAttemptBudget& aBudget, const Service& aService);

/** Takes a token; false when there is none. */
bool
TakeExtraAttemptToken(ExtraAttemptBudget& aBudget);

} // namespace wasabispread
