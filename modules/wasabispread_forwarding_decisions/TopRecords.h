/*
 * Merging the shards' records into the greatest ones.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispread::forwarding {

/** The length of a record in bytes; records compare byte by byte. */
inline constexpr std::size_t kRecordBytes = 16;

/** The aMost greatest records of all parts together, greatest first. Equal
    records all count; what is left of a part after its last whole record is
    no record. Linear in the records. */
std::string
GreatestRecords(const std::vector<std::string_view>& aParts, std::size_t aMost);

} // namespace wasabispread::forwarding
