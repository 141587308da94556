/*
 * A small seeded random number generator that is part of a VM's state.
 */
#pragma once

#include <cstdint>

namespace wasabispread {

/** SplitMix64; the same seed gives the same sequence everywhere. */
class Random
{
public:
  explicit Random(std::uint64_t aSeed = 0)
    : mState(aSeed)
  {
  }

  /** A uniform 64-bit value. */
  std::uint64_t Next()
  {
    mState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = mState;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
  }

  /** A value below aBound, which must not be 0. */
  std::uint64_t Below(std::uint64_t aBound) { return Next() % aBound; }

  /** A uniform value from 0 up to, not including, 1. */
  double Fraction()
  {
    constexpr double kScale = 0x1.0p-53;
    constexpr unsigned kDroppedBits = 11;
    return static_cast<double>(Next() >> kDroppedBits) * kScale;
  }

private:
  std::uint64_t mState;
};

} // namespace wasabispread
