#include "overload/RetryAfter.h"

#include <algorithm>

namespace amaranthgap {

Duration
DrawRetryAfter(Rng& aRng, double aDemandRatio)
{
  // The width grows with the ratio, so that returning callers add about the
  // accepted rate whatever the ratio is. The cap on the ratio keeps callers
  // from waiting long after the overload has ended.
  constexpr double kLow = 0.1;
  constexpr double kWidthPerRatio = 0.2;
  constexpr double kMaxRatio = 50;
  const double ratio =
    aDemandRatio >= 1 ? std::min(aDemandRatio, kMaxRatio) : 1.0;
  return FromSeconds(aRng.Uniform(kLow, kLow + kWidthPerRatio * ratio));
}

} // namespace amaranthgap
