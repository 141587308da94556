/*
 * The order of the entries that are written under one target's id.
 *
 * Within an era the store's revisions order all writes of a key, whoever made
 * them and whatever the writer's clock said. But a write may be executed long
 * after it was sent: then the latest one is of an earlier start of the target,
 * or of an earlier moment of the same one. What a target states about itself
 * tells these apart: the time of its start, which is compared for equality only
 * where revisions are known, and the count of its entries.
 *
 * Another writer may put an entry under a target's id that looks like a later
 * one. A target writes its own again with each heartbeat, and the store removes
 * the entry of a target that is silent. So an entry that seems overtaken and
 * stays longer than that is the target's present one.
 */
#pragma once

#include "../StoreMessage.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace wasabispread::forwarding {

/** The version of a target's entry as the target states it: a later start is
    newer, then a higher sequence. */
struct EntryVersion
{
  std::uint64_t mBorn = 0;
  std::uint64_t mSequence = 0;

  friend auto operator<=>(const EntryVersion&, const EntryVersion&) = default;
};

/** What is known of the entries under one id. It outlives the entry. */
struct EntryHistory
{
  /** The newest entry of the newest start. */
  EntryVersion mNewest;
  /** The revision of the last entry from the store in its present era; 0 when
      none is known. */
  StoreRevision mRevision;
  /** The times of the starts that others replaced, the last ones. */
  std::vector<std::uint64_t> mReplacedStarts;
};

/** How an entry relates to those seen before. */
enum class EntryOrder : std::uint8_t
{
  /** It is the newest one. */
  kNewest,
  /** It was written before one that was seen. */
  kOlder,
  /** It was written last, and is of an earlier moment by its target's own
      statement. */
  kOvertaken,
};

/** An entry that was overtaken and that the store still has. */
struct OvertakenEntry
{
  TargetRecord mRecord;
  /** Since when the store has had an entry of this start and state. */
  TimePoint mSince{};
};

/** Makes an overtaken entry the newest one. */
void
ConfirmEntry(EntryHistory& aHistory, const EntryVersion& aVersion);

/** Judges an entry and records it unless it is older. aRevision is 0 for an
    entry that another VM passed on, whose age is not known: then the version
    alone orders. */
EntryOrder
RecordEntry(EntryHistory& aHistory,
            const EntryVersion& aVersion,
            StoreRevision aRevision);

} // namespace wasabispread::forwarding
