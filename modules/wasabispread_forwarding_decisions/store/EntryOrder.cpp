/*
 * Compares entries by revision where one is known, otherwise by version.
 */
#include "../wasabispread_forwarding_decisions.h"

#include <algorithm>

namespace wasabispread::forwarding {

void
ConfirmEntry(EntryHistory& aHistory, const EntryVersion& aVersion)
{
  // Writes that are under way for longer than a few starts take do not occur.
  constexpr std::size_t kMaxReplaced = 8;
  auto& replaced = aHistory.mReplacedStarts;
  const bool isFirst = aHistory.mNewest == EntryVersion{};
  if (aVersion.mBorn != aHistory.mNewest.mBorn) {
    std::erase(replaced, aVersion.mBorn);
    if (!isFirst) {
      replaced.push_back(aHistory.mNewest.mBorn);
    }
    if (replaced.size() > kMaxReplaced) {
      replaced.erase(replaced.begin());
    }
  }
  aHistory.mNewest = aVersion;
}

EntryOrder
RecordEntry(EntryHistory& aHistory,
            const EntryVersion& aVersion,
            StoreRevision aRevision)
{
  if (aRevision == StoreRevision{}) {
    if (aVersion < aHistory.mNewest) {
      return EntryOrder::kOlder;
    }
    ConfirmEntry(aHistory, aVersion);
    return EntryOrder::kNewest;
  }
  if (aRevision < aHistory.mRevision) {
    return EntryOrder::kOlder;
  }
  aHistory.mRevision = aRevision;
  const auto& replaced = aHistory.mReplacedStarts;
  const bool isOvertaken =
    aVersion.mBorn == aHistory.mNewest.mBorn
      ? aVersion.mSequence < aHistory.mNewest.mSequence
      : std::find(replaced.begin(), replaced.end(), aVersion.mBorn) !=
          replaced.end();
  if (isOvertaken) {
    return EntryOrder::kOvertaken;
  }
  ConfirmEntry(aHistory, aVersion);
  return EntryOrder::kNewest;
}

} // namespace wasabispread::forwarding
