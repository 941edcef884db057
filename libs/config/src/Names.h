#pragma once

#include <algorithm>
#include <string_view>

namespace amaranthgap {

constexpr size_t kMaxNameLength = 64;

/** @return whether a name is safe to use in paths, headers and log lines: 1 to
 * 64 ASCII letters, digits, dots, hyphens and underscores. */
inline bool
IsValidName(std::string_view aName)
{
  const auto isAllowed = [](unsigned char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9') || aChar == '.' || aChar == '-' ||
           aChar == '_';
  };
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::all_of(aName.begin(), aName.end(), isAllowed);
}

constexpr std::string_view kNameRule =
  "must be 1 to 64 letters, digits, dots, hyphens or underscores";

} // namespace amaranthgap
