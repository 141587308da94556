/*
 * Checks that the end of a message's body is unambiguous. Private to this
 * module.
 */
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace wasabispread {

/** Whether a message has a transfer coding other than "chunked" alone. Another
    HTTP implementation may find the end of such a body elsewhere and take the
    rest of the body for another message (request smuggling). */
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
