#pragma once

#include <string>

namespace amaranthgap {

/** @return a loopback address whose port was free a moment ago. */
std::string
FreeAddress();

} // namespace amaranthgap
