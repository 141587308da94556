/*
 * Skips strings and comments of a TOML text and counts what nests in the rest.
 */
#include "TomlNesting.h"

#include <algorithm>
#include <string>

namespace wasabispread {

namespace {

/** The offset after the string that begins at aBegin. A string on one line ends
    at the end of the line at the latest. */
std::size_t
EndOfString(std::string_view aText, std::size_t aBegin)
{
  const char quote = aText[aBegin];
  const std::string triple(3, quote);
  const bool isMultiline = aText.substr(aBegin).starts_with(triple);
  const std::size_t length = isMultiline ? triple.size() : 1;
  std::size_t at = aBegin + length;
  while (at < aText.size()) {
    if (quote == '"' && aText[at] == '\\') {
      at += 2;
    } else if (!isMultiline && aText[at] == '\n') {
      return at;
    } else if (aText.substr(at).starts_with(triple.substr(0, length))) {
      // A string of several lines may end with up to two quotes of its own.
      const std::size_t longestEnd = at + (isMultiline ? length + 2 : length);
      return std::min(aText.find_first_not_of(quote, at), longestEnd);
    } else {
      ++at;
    }
  }
  return aText.size();
}

} // namespace

std::optional<std::size_t>
FindDeepNesting(std::string_view aText)
{
  std::size_t open = 0;
  std::size_t dots = 0;
  std::size_t at = 0;
  while (at < aText.size()) {
    switch (aText[at]) {
      case '#':
        at = std::min(aText.find('\n', at), aText.size());
        continue;
      case '"':
      case '\'':
        at = EndOfString(aText, at);
        continue;
      case '[':
      case '{':
        ++open;
        dots = 0;
        break;
      case ']':
      case '}':
        open -= std::min<std::size_t>(open, 1);
        dots = 0;
        break;
      case '.':
        ++dots;
        break;
      case '=':
      case ',':
      case '\n':
        dots = 0;
        break;
      default:
        break;
    }
    if (open > kMaxTomlNesting || dots > kMaxTomlNesting) {
      return at;
    }
    ++at;
  }
  return std::nullopt;
}

} // namespace wasabispread
