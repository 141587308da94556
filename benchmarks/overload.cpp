/*
 * Compares goodput against the offered load, for this system and for a tier
 * without any policy. Runs in virtual time; the same seed prints the same
 * results.
 */
#include <tests/support/OverloadRun.h>

#include <cstdio>

int
main()
{
  using namespace wasabispread::testing;
  std::printf("| load | goodput | naive goodput |\n|---|---|---|\n");
  for (const double load :
       { 0.2, 0.4, 0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0 }) {
    OverloadOptions options;
    options.mLoad = load;
    const double ours = MeasureGoodput(options);
    options.mIsNaive = true;
    const double naive = MeasureGoodput(options);
    std::printf(
      "| %.0f%% | %.1f%% | %.1f%% |\n", load * 100, ours * 100, naive * 100);
    std::fflush(stdout);
  }
  return 0;
}
