/*
 * The budget of extra attempts, shared by a service's hedges and retries.
 */
#pragma once

#include <wasabispread_config/wasabispread_config.h>

#include <cstdint>

namespace wasabispread {

/** A token bucket: each extra attempt takes one token, and each shard that
    answers adds the service's declared share of a token, so that fewer extra
    attempts are sent when many targets fail. Invariant: mTokens is between 0
    and MaxExtraAttemptTokens(). */
struct ExtraAttemptBudget
{
  double mTokens = 0;
};

/** The maximum number of tokens that a service may accumulate. The number of
    extra attempts never exceeds this plus the declared share of the shards
    answered. */
double
MaxExtraAttemptTokens(const Service& aService);

/** A full budget. */
ExtraAttemptBudget
MakeExtraAttemptBudget(const Service& aService);

/** Adds the fraction of a token for one answered shard. */
void
CreditExtraAttempts(ExtraAttemptBudget& aBudget, const Service& aService);

/** Takes a token; false when less than one is left. */
bool
TakeExtraAttemptToken(ExtraAttemptBudget& aBudget);

} // namespace wasabispread
