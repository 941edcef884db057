#pragma once

#include <string>
#include <string_view>

#include "wire/Http.h"

namespace amaranthgap {

/** @return the reason phrase of a status. */
std::string_view
ReasonPhrase(int aStatus);

/** @return the bytes of a request. The length of the body is added. */
std::string
FormatRequest(const HttpRequest& aRequest);

/** @return the bytes of a response. The length of the body is added. */
std::string
FormatResponse(const HttpResponse& aResponse,
               bool aKeepAlive,
               bool aIsHeadRequest);

} // namespace amaranthgap
