#pragma once

#include <string>
#include <utility>
#include <vector>

#include <msgpack.hpp>

namespace amaranthgap {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Request as it is sent to an upstream. */
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  HttpHeaders mHeaders;
  std::string mBody;

  MSGPACK_DEFINE(mMethod, mPath, mHeaders, mBody)
};

/** Complete answer of an upstream. */
struct HttpResponse
{
  int mStatus = 0;
  HttpHeaders mHeaders;
  std::string mBody;

  MSGPACK_DEFINE(mStatus, mHeaders, mBody)
};

} // namespace amaranthgap
