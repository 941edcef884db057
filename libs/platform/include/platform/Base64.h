#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace amaranthgap {

/** @return the data in base64, so that any value fits into JSON. */
std::string
EncodeBase64(std::string_view aData);

/** @return the decoded data, or nothing when it is not base64. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace amaranthgap
