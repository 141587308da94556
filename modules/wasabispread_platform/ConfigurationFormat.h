/*
 * The stored form of configurations and of refused applies.
 */
#pragma once

#include <wasabispread_wire/wasabispread_wire.h>

#include <string>
#include <vector>

namespace wasabispread {

/** The maximum number of earlier changes that a stored configuration lists. */
inline constexpr std::size_t kMaxEarlierChanges = 64;

/** The maximum number of refused applies that are stored. */
inline constexpr std::size_t kMaxRefusedApplies = 64;

/** The store key of the refused applies. */
inline constexpr std::string_view kRefusedAppliesKey = "wasabispread/attempts";

/** Encodes a configuration for the store, with its text compressed. */
std::string
EncodeConfiguration(const ConfigurationRecord& aRecord);

/** Decodes a stored configuration; kInvalidFile when it cannot be read. */
Result<ConfigurationRecord>
DecodeConfiguration(const std::string& aValue);

/** An apply that was refused because another change was in force. */
struct RefusedApply
{
  std::string mChangeId;
  std::string mAuthor;
  std::string mTime;
  /** The revision that its file was based on. */
  Revision mBase;
  /** The revision in force that it conflicted with. */
  Revision mWinner;
};

/** Adds a refused apply unless it is listed already, and drops the oldest ones
    beyond kMaxRefusedApplies. */
void
AddRefusedApply(std::vector<RefusedApply>& aAttempts, RefusedApply aAttempt);

/** Encodes refused applies for the store. */
std::string
EncodeRefusedApplies(const std::vector<RefusedApply>& aAttempts);

/** Decodes stored refused applies. Elements that cannot be read are skipped,
    since the list is only for display. */
std::vector<RefusedApply>
DecodeRefusedApplies(const std::string& aValue);

} // namespace wasabispread
