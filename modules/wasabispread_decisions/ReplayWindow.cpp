/*
 * The replay window as a ring of bits.
 */
#include "wasabispread_decisions.h"

namespace wasabispread {

bool
ReplayWindow::Accept(AttemptSequence aSequence)
{
  const std::uint64_t sequence = aSequence.Value();
  if (sequence > mNewest) {
    AdvanceTo(sequence);
  } else if (mNewest - sequence >= kSize) {
    return false;
  }
  const bool isNew = !mSeen[sequence % kSize];
  mSeen[sequence % kSize] = true;
  return isNew;
}

void
ReplayWindow::AdvanceTo(std::uint64_t aNewest)
{
  if (aNewest - mNewest >= kSize) {
    mSeen.reset();
  } else {
    for (std::uint64_t sequence = mNewest + 1; sequence <= aNewest;
         ++sequence) {
      mSeen[sequence % kSize] = false;
    }
  }
  mNewest = aNewest;
}

} // namespace wasabispread
