/*
 * HTTP messages as plain data, so that no adapter needs an HTTP library.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wasabispread {

/** A header field. */
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/** A request. mTarget is the path with its query. */
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
  /** Whether the connection can carry another exchange. */
  bool mKeepAlive = true;
};

/** The first field of a name, compared without case; empty when absent. */
std::string_view
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/** Removes fields that concern one connection only, those named by a
    Connection field included, and the body's length, which whoever sends the
    message states anew. */
void
RemoveConnectionFields(std::vector<HttpHeader>& aHeaders);

/** A path and its query parameters, decoded. */
struct HttpPath
{
  std::vector<std::string> mSegments;
  std::vector<HttpHeader> mParameters;
};

/** Splits and decodes a request target. */
HttpPath
ParsePath(std::string_view aTarget);

/** Percent-encodes everything but unreserved characters. */
std::string
PercentEncode(std::string_view aText);

/** A response with a JSON body. */
HttpResponse
JsonResponse(unsigned aStatus, std::string aBody);

} // namespace wasabispread
