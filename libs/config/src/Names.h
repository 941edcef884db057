#pragma once

#include <algorithm>
#include <string_view>

namespace amaranthgap {

constexpr size_t kLongestName = 64;

/** @return whether a name is fit for paths, headers and log lines: 1 to 64
 * letters, digits, dots, hyphens and underscores. */
inline bool
IsName(std::string_view aName)
{
  const auto fits = [](unsigned char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '.' || aChar == '-' ||
           aChar == '_';
  };
  return !aName.empty() && aName.size() <= kLongestName &&
         std::all_of(aName.begin(), aName.end(), fits);
}

constexpr std::string_view kNameRule =
  "must be 1 to 64 letters, digits, dots, hyphens or underscores";

} // namespace amaranthgap
