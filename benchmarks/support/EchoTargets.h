/*
 * Targets that answer at once, on a thread of their own.
 */
#pragma once

#include <cstdint>
#include <memory>

namespace wasabispread::benchmarks {

/** Listens on consecutive loopback ports until destroyed. */
class EchoTargets
{
public:
  EchoTargets(std::uint16_t aFirstPort, unsigned aCount);
  ~EchoTargets();

  EchoTargets(const EchoTargets&) = delete;
  EchoTargets& operator=(const EchoTargets&) = delete;

  /** Sub-requests answered so far. */
  std::uint64_t Exchanges() const;

private:
  struct Implementation;

  std::unique_ptr<Implementation> mImplementation;
};

} // namespace wasabispread::benchmarks
