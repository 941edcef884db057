#include "overload/RetryAfter.h"

#include <algorithm>

namespace amaranthgap {

Duration
DrawRetryAfter(Rng& aRng, double aDemandRatio)
{
  // Refused callers that return evenly over a range as wide as this add about
  // the accepted rate again, whatever the ratio. The cap keeps callers from
  // staying away long after an overload has ended.
  constexpr double kLow = 0.1;
  constexpr double kWidthPerRatio = 0.2;
  constexpr double kMaxRatio = 50;
  const double ratio =
    aDemandRatio >= 1 ? std::min(aDemandRatio, kMaxRatio) : 1.0;
  return FromSeconds(aRng.Uniform(kLow, kLow + kWidthPerRatio * ratio));
}

} // namespace amaranthgap
