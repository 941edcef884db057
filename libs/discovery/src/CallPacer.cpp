#include "discovery/CallPacer.h"

#include <algorithm>

namespace amaranthgap {

namespace {

constexpr Duration kInitialBackoff = milliseconds(250);
// Entries must be restored within two seconds after the store has recovered.
constexpr Duration kMaxBackoff = milliseconds(1200);

} // namespace

void
CallPacer::Succeeded(TimePoint aNow, Duration aPause)
{
  mIsInFlight = false;
  mBackoff = Duration::zero();
  mNextStart = aNow + aPause;
}

void
CallPacer::Failed(TimePoint aNow)
{
  mIsInFlight = false;
  mBackoff = std::clamp(mBackoff * 2, kInitialBackoff, kMaxBackoff);
  mNextStart = aNow + FromSeconds(ToSeconds(mBackoff) * mRng.Uniform(0.7, 1.0));
}

} // namespace amaranthgap
