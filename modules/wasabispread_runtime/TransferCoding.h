/*
 * Which messages have a body whose end is beyond doubt. Private to this module.
 */
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace wasabispread {

/** Whether a message names a transfer coding other than "chunked" alone. Its
    body's end may be seen differently by the next reader, which would take the
    rest of the body for another message. */
template<class Message>
bool
HasUnknownTransferCoding(const Message& aMessage)
{
  using boost::beast::http::field;
  const auto [first, last] = aMessage.equal_range(field::transfer_encoding);
  if (first == last) {
    return false;
  }
  return std::next(first) != last ||
         !boost::beast::iequals(first->value(), "chunked");
}

} // namespace wasabispread
