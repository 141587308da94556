/*
 * Rejects attempts of a coordinator that a target owner has accepted before.
 */
#pragma once

#include <wasabispread_units/wasabispread_units.h>

#include <bitset>
#include <cstdint>

namespace wasabispread {

/** A sliding window over attempt sequences. It records exactly which sequences
    of the window were accepted and rejects all older ones, so that no attempt
    is accepted twice and the size is bounded. */
class ReplayWindow
{
public:
  /** True the first time that a sequence within or above the window is
      given. */
  bool Accept(AttemptSequence aSequence);

private:
  static constexpr std::uint64_t kSize = 8192;

  void AdvanceTo(std::uint64_t aNewest);

  std::uint64_t mNewest = 0;
  /** Invariant: the bit at sequence % kSize belongs to a sequence of the last
      kSize up to mNewest. */
  std::bitset<kSize> mSeen;
};

} // namespace wasabispread
