#include "forwarding/TreeLoad.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

// Time constant of the smoothing, and the minimum weight of one update.
constexpr double kSmoothingSeconds = 0.2;
constexpr double kMinWeight = 0.1;
// Time for which a load is held without updates, and time constant of its decay
// afterwards. Slow call trees reply after half a second or more, and busy nodes
// report once per second.
constexpr double kHoldSeconds = 0.8;
constexpr double kDecaySeconds = 0.7;

} // namespace

TreeLoad
TreeLoad::MostRestrictive(const TreeLoad& aOne, const TreeLoad& aOther)
{
  return { .mShare = std::min(aOne.mShare, aOther.mShare),
           .mDemand = std::max(aOne.mDemand, aOther.mDemand),
           .mFailureRatio =
             std::max(aOne.mFailureRatio, aOther.mFailureRatio) };
}

void
SmoothedLoad::Note(TimePoint aNow, const TreeLoad& aLoad)
{
  const double age = std::max(0.0, ToSeconds(aNow - mTime));
  const double weight =
    std::max(kMinWeight, 1 - std::exp(-age / kSmoothingSeconds));
  const TreeLoad known = Value(aNow);
  mValue.mShare = known.mShare + weight * (aLoad.mShare - known.mShare);
  mValue.mDemand = known.mDemand + weight * (aLoad.mDemand - known.mDemand);
  mValue.mFailureRatio =
    known.mFailureRatio + weight * (aLoad.mFailureRatio - known.mFailureRatio);
  mTime = aNow;
}

TreeLoad
SmoothedLoad::Value(TimePoint aNow) const
{
  const double age = ToSeconds(aNow - mTime) - kHoldSeconds;
  const double kept = age <= 0 ? 1 : std::exp(-age / kDecaySeconds);
  return { .mShare = 1 - (1 - mValue.mShare) * kept,
           .mDemand = mValue.mDemand * kept,
           .mFailureRatio = mValue.mFailureRatio * kept };
}

} // namespace amaranthgap
