/*
 * Finds text that nests too deep for the recursive TOML library.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace wasabispread {

/** The most brackets that may be open, and the most dots that a key may have. A
    fiber's stack holds the recursion for both together. */
inline constexpr std::size_t kMaxTomlNesting = 16;

/** The offset at which brackets or a key nest deeper than kMaxTomlNesting; none
    for text that the TOML library can parse in a fiber. Brackets and dots in
    strings and comments do not count. */
std::optional<std::size_t>
FindDeepNesting(std::string_view aText);

} // namespace wasabispread
