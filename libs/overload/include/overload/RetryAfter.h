#pragma once

#include "base/Rng.h"
#include "base/Time.h"

namespace amaranthgap {

/**
 * Draws the delay after which a refused caller may retry. The delays are spread
 * at random so that refused callers do not retry at the same time.
 * @param aDemandRatio demand over accepted calls, at least 1.
 */
Duration
DrawRetryAfter(Rng& aRng, double aDemandRatio);

} // namespace amaranthgap
