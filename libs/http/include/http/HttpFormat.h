#pragma once

#include <string>
#include <string_view>

#include "wire/Http.h"

namespace amaranthgap {

/** @return the reason phrase of a status code. */
std::string_view
ReasonPhrase(int aStatus);

/** @return the serialized request, with a Content-Length header added if it
 * has a body or its method is neither GET nor HEAD. */
std::string
FormatRequest(const HttpRequest& aRequest);

/** @return the serialized response, with a Content-Length header added unless
 * its status is 204 or 304. The body is omitted for a HEAD request. */
std::string
FormatResponse(const HttpResponse& aResponse,
               bool aKeepAlive,
               bool aIsHeadRequest);

} // namespace amaranthgap
