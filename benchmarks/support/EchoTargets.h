/*
 * Provides targets that answer immediately and run on their own thread.
 */
#pragma once

#include <cstdint>
#include <memory>

namespace wasabispread::benchmarks {

/** Listens on consecutive loopback ports until it is destroyed. */
class EchoTargets
{
public:
  EchoTargets(std::uint16_t aFirstPort, unsigned aCount);
  ~EchoTargets();

  EchoTargets(const EchoTargets&) = delete;
  EchoTargets& operator=(const EchoTargets&) = delete;

  /** Returns the number of sub-requests answered so far. */
  std::uint64_t Exchanges() const;

private:
  struct Implementation;

  std::unique_ptr<Implementation> mImplementation;
};

} // namespace wasabispread::benchmarks
