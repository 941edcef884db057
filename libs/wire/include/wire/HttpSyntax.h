#pragma once

#include <string_view>

namespace amaranthgap {

// What a reader of HTTP/1.1 has to check beyond its parsing library.

/** @return whether a status code is valid (RFC 9110, section 15). */
constexpr bool
IsValidStatus(int aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

/** @return whether a text is a token, as the name of a field is (RFC 9110,
 * sections 5.1 and 5.6.2). */
bool
IsToken(std::string_view aText);

/** @param aLines lines of a head or of trailers, complete or up to any line.
 * What follows the empty line at their end is not looked at.
 * @return whether one of them begins with a blank and so continues the value of
 * the line before it (RFC 9112, section 5.2). */
bool
HasFoldedLine(std::string_view aLines);

} // namespace amaranthgap
