#pragma once

namespace amaranthgap {

/** Checks of answers that the HTTP libraries leave to their users. */

/** @return whether a status code is valid (RFC 9110, section 15). */
constexpr bool
IsValidStatus(int aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

} // namespace amaranthgap
