/*
 * Merges the shards' records into the greatest ones.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispread::forwarding {

/** The length of a record in bytes; records are compared byte by byte. */
inline constexpr std::size_t kRecordBytes = 16;

/** The aMaxCount greatest records of all parts together, greatest first. Equal
    records are all kept. Bytes of a part after its last complete record are
    ignored. Takes linear time in the number of records. */
std::string
GreatestRecords(const std::vector<std::string_view>& aParts,
                std::size_t aMaxCount);

} // namespace wasabispread::forwarding
