#pragma once

#include <chrono>
#include <cstdint>

namespace amaranthgap {

using Duration = std::chrono::nanoseconds;

/** Monotonic time. Deciding functions receive it as an argument. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/** @return the whole milliseconds of a duration, for wire fields and headers.
 */
constexpr int64_t
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

/** @return a duration as a floating-point number of seconds. */
constexpr double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** @return the duration nearest to a floating-point number of seconds. */
constexpr Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace amaranthgap
