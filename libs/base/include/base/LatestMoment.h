#pragma once

#include <cstdint>

namespace amaranthgap {

/** The year 2200, in milliseconds of Unix time. A moment beyond it is of a
 * writer at fault, and would count as newer than all others for ever. */
inline constexpr uint64_t kLatestMomentMillis = 7'258'118'400'000;

} // namespace amaranthgap
