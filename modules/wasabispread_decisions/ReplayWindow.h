/*
 * Which attempts of an entry an owner has taken in before.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <bitset>
#include <cstdint>

namespace wasabispread {

/** Remembers the newest sequences exactly and counts all older ones as seen,
    so that no attempt is ever taken in twice, at a bounded size. */
class ReplayWindow
{
public:
  /** True the first time that a sequence within the window is given. */
  bool Accept(AttemptSequence aSequence);

private:
  static constexpr std::uint64_t kSize = 8192;

  void MoveTo(std::uint64_t aNewest);

  std::uint64_t mNewest = 0;
  /** Invariant: the bit at sequence % kSize belongs to a sequence of the last
      kSize up to mNewest. */
  std::bitset<kSize> mSeen;
};

} // namespace wasabispread
