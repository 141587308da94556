/*
 * A sliding window of bits.
 */
#include "wasabispread_decisions.h"

namespace wasabispread {

bool
ReplayWindow::Accept(AttemptSequence aSequence)
{
  const std::uint64_t sequence = aSequence.Value();
  if (sequence > mNewest) {
    MoveTo(sequence);
  } else if (mNewest - sequence >= kSize) {
    return false;
  }
  const bool isNew = !mSeen[sequence % kSize];
  mSeen[sequence % kSize] = true;
  return isNew;
}

void
ReplayWindow::MoveTo(std::uint64_t aNewest)
{
  if (aNewest - mNewest >= kSize) {
    mSeen.reset();
  } else {
    for (std::uint64_t passed = mNewest + 1; passed <= aNewest; ++passed) {
      mSeen[passed % kSize] = false;
    }
  }
  mNewest = aNewest;
}

} // namespace wasabispread
