/*
 * Follows a store that comes back from a copy.
 *
 * The copy is some seconds old, so the store's revisions go back and are given
 * out again, and leases and the entries under them are gone. The store counts
 * such returns: each begins a new era, which all its answers name. Revisions
 * are comparable only within one era. An answer of an earlier era than the
 * known one is old, whoever sends it; one of a later era begins the era here:
 * everything is read anew, and what this VM knows stays until it is confirmed
 * or a time has passed in which the others write again.
 */
#pragma once

#include "../ForwarderEffect.h"

namespace wasabispread::forwarding {

struct ForwarderState;

/** The store's count of its returns from a copy; 0 when an answer names none.
 */
using StoreEra = std::uint64_t;

/** What an answer's era means. */
enum class EraVerdict : std::uint8_t
{
  kPresent,
  /** The answer is old, or does not tell. */
  kUnusable,
  /** The answer shows that an era has begun. */
  kNew,
};

/** What is known of the store's era. */
struct EraState
{
  StoreEra mEra = 0;
  /** When this VM learned of it; the epoch for the first one. */
  TimePoint mBegan{};
  /** Whether the next list is the first one of an era, of a store that may have
      lost entries which are written again. */
  bool mIsFirstList = false;
  /** The evacuations that the store confirmed in this era. */
  std::vector<ZoneName> mEvacuations;
};

/** Compares an answer's era with the known one. The first era that is seen
    becomes the known one. */
EraVerdict
JudgeEra(EraState& aEra, StoreEra aSeen);

/** Begins an era: all entries are listed soon, after a short time that differs
    between VMs. */
void
BeginEra(ForwarderState& aState,
         StoreEra aEra,
         TimePoint aNow,
         ForwarderEffects& aEffects);

/** Handles an answer that cannot be used, and asks again after a pause. */
void
HandleUnusableEra(ForwarderState& aState,
                  StoreEra aSeen,
                  TimePoint aNow,
                  ForwarderEffects& aEffects);

/** Applies the absence of entries in the first list of an era: what is missing
    is kept until HandleEraSettled(). */
void
KeepUnconfirmed(ForwarderState& aState,
                const std::vector<StoreChange>& aEntries,
                TimePoint aNow);

/** The others have had time to write again: what is still missing is gone. */
void
HandleEraSettled(ForwarderState& aState,
                 TimePoint aNow,
                 ForwarderEffects& aEffects);

/** The term of a claim: rises with each claim, also when revisions go back. */
std::uint64_t
TermOf(StoreEra aEra, StoreRevision aRevision);

} // namespace wasabispread::forwarding
