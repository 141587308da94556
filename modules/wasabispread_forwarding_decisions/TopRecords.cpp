/*
 * Selects the greatest records.
 */
#include "wasabispread_forwarding_decisions.h"

#include <algorithm>
#include <functional>

namespace wasabispread::forwarding {

std::string
GreatestRecords(const std::vector<std::string_view>& aParts,
                std::size_t aMaxCount)
{
  std::vector<std::string_view> records;
  for (const std::string_view part : aParts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t count = std::min(aMaxCount, records.size());
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
    records.begin(), end, records.end(), std::greater<std::string_view>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (auto record = records.begin(); record != end; ++record) {
    merged.append(*record);
  }
  return merged;
}

} // namespace wasabispread::forwarding
