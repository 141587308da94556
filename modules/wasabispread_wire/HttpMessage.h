/*
 * HTTP messages as plain structs, so that code that reads and writes them does
 * not depend on an HTTP library.
 */
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispread {

/** A header field, or a query parameter of a path. */
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/** A request. mTarget is the request target: the path and the query. */
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  /** Whether it is the first request read from its connection. */
  bool mIsFirstOnConnection = false;
};

/** A response. */
struct HttpResponse
{
  unsigned mStatus = 200;
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  /** Whether the connection stays open for another exchange. */
  bool mKeepAlive = true;
  /** Called by a server once the response was written or could not be written,
      with the reason in the latter case and else with an empty text; may be
      empty. */
  std::function<void(const std::string&)> mWhenWritten;
};

/** Whether a field has a name, ignoring case. */
bool
IsNamed(const HttpHeader& aHeader, std::string_view aName);

/** Returns the value of the first field with a name, ignoring case; empty when
    there is none. */
std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/** Returns the values of all fields with a name, ignoring case. */
std::vector<std::string_view>
FindHeaders(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/** Removes the fields that concern a single connection, including those that a
    Connection field names, and Content-Length, which is set again when the
    message is sent. */
void
RemoveConnectionFields(std::vector<HttpHeader>& aHeaders);

/** Replaces a target in absolute form by its path and query, and the Host field
    by its host (RFC 9112 3.2.2). */
void
UseOriginForm(HttpRequest& aRequest);

/** The segments of a path and its query parameters, percent-decoded. Empty
    segments are left out. */
struct HttpPath
{
  std::vector<std::string> mSegments;
  std::vector<HttpHeader> mParameters;
};

/** Splits a request target and decodes its parts. */
HttpPath
ParsePath(std::string_view aTarget);

/** Percent-encodes everything but unreserved characters. */
std::string
PercentEncode(std::string_view aText);

/** Makes a response with a JSON body. */
HttpResponse
JsonResponse(unsigned aStatus, std::string aBody);

} // namespace wasabispread
