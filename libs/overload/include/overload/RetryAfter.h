#pragma once

#include "base/Rng.h"
#include "base/Time.h"

namespace amaranthgap {

/**
 * Draws when a refused caller should come back, spread so that callers do not
 * return together.
 * @param aDemandRatio demand over accepted calls, at least 1.
 */
Duration
DrawRetryAfter(Rng& aRng, double aDemandRatio);

} // namespace amaranthgap
