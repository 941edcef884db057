#include "forwarding/TreeLoad.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

// Time within which new replies replace old ones, and the least weight of one.
constexpr double kMemorySeconds = 0.2;
constexpr double kLeastWeight = 0.1;
// Without news a load holds for a time, and is then forgotten within about a
// second. Slow trees of calls reply after half a second and more, and busy
// nodes report once a second.
constexpr double kHoldSeconds = 0.8;
constexpr double kForgetSeconds = 0.7;

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
    std::max(kLeastWeight, 1 - std::exp(-age / kMemorySeconds));
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
  const double kept = age <= 0 ? 1 : std::exp(-age / kForgetSeconds);
  return { .mShare = 1 - (1 - mValue.mShare) * kept,
           .mDemand = mValue.mDemand * kept,
           .mFailureRatio = mValue.mFailureRatio * kept };
}

} // namespace amaranthgap
