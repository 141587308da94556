/*
 * The stored form of configurations and of refused attempts.
 */
#pragma once

#include <wasabispread_wire/wasabispread_wire.h>

#include <string>
#include <vector>

namespace wasabispread {

/** How many earlier changes a stored configuration names. */
inline constexpr std::size_t kMaxEarlierChanges = 64;

/** How many refused attempts are kept. */
inline constexpr std::size_t kMaxRefusedApplies = 64;

/** The key that holds refused attempts. */
inline constexpr std::string_view kRefusedAppliesKey = "wasabispread/attempts";

/** The stored form of a configuration; its text is compressed. */
std::string
EncodeConfiguration(const ConfigurationRecord& aRecord);

/** Reads the stored form of a configuration. */
Result<ConfigurationRecord>
DecodeConfiguration(const std::string& aValue);

/** An apply that lost a race. */
struct RefusedApply
{
  std::string mChangeId;
  std::string mAuthor;
  std::string mTime;
  /** The revision that its file was built on. */
  Revision mBase;
  /** The revision that stood in its way. */
  Revision mWinner;
};

/** Adds an attempt unless it is there, and drops the oldest beyond
    kMaxRefusedApplies. */
void
AddRefusedApply(std::vector<RefusedApply>& aAttempts, RefusedApply aAttempt);

/** The stored form of refused attempts. */
std::string
EncodeRefusedApplies(const std::vector<RefusedApply>& aAttempts);

/** Reads the stored form of refused attempts; what cannot be read is left
    out, since nothing depends on it. */
std::vector<RefusedApply>
DecodeRefusedApplies(const std::string& aValue);

} // namespace wasabispread
