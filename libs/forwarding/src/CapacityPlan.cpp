#include "forwarding/CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthgap {

namespace {

constexpr Duration kUpdateInterval = milliseconds(50);
// Time constant of the smoothed rates.
constexpr double kSmoothingSeconds = 0.4;
// Weight of one run in the mean run time of its priority.
constexpr double kRunWeight = 0.05;
// Planned share of the slots; waits grow quickly above it.
constexpr double kTargetUtilisation = 1.0;
// Share of the capacity reserved for each priority that needs it, so that
// bursts of a frequent kind of request do not cause refusals of a rare one.
constexpr double kReservedShare = 0.10;
// The capacity factor stays unchanged while the mean wait of the lowest
// admitted priority is between these bounds. The bounds are short because
// requests wait at each sequential call of a tree.
constexpr double kLowWaitSeconds = 0.008;
constexpr double kHighWaitSeconds = 0.035;
// Maximum increase of a share per second. Decreases apply at once: too low a
// share leaves capacity unused for a moment, too high a share admits work that
// fails.
constexpr double kShareRisePerSecond = 3;
// Wait recorded for a refused request.
constexpr double kRefusedWaitSeconds = 0.1;
// Relative change of the capacity factor per update, and its bounds.
constexpr double kFactorDecrease = 0.02;
constexpr double kFactorIncrease = 0.01;
constexpr double kMinFactor = 0.9;
constexpr double kMaxFactor = 1.15;
// Share of the slots in use at which the upstream counts as saturated, and the
// upper bound of its slowdown.
constexpr double kSaturationShare = 0.9;
constexpr double kMaxSlowdown = 20;

} // namespace

CapacityPlan::PriorityState&
CapacityPlan::StateOf(uint32_t aPriority)
{
  return mStates[std::min<size_t>(aPriority, kPriorityClasses - 1)];
}

void
CapacityPlan::Advance(TimePoint aNow)
{
  if (mIntervalStart == TimePoint{}) {
    mIntervalStart = aNow;
    mLastEvent = aNow;
  }
  mSlotSeconds += mRunning * std::max(0.0, ToSeconds(aNow - mLastEvent));
  mLastEvent = std::max(mLastEvent, aNow);
  if (aNow - mIntervalStart >= kUpdateInterval) {
    Update(ToSeconds(aNow - mIntervalStart));
    mIntervalStart = aNow;
  }
}

void
CapacityPlan::Arrived(TimePoint aNow, uint32_t aPriority, double aShare)
{
  Advance(aNow);
  PriorityState& state = StateOf(aPriority);
  state.mArrivals += 1 / std::clamp(aShare, kMinShare, 1.0);
  state.mAdmitted += 1;
}

void
CapacityPlan::Started(TimePoint aNow, uint32_t aPriority, Duration aWait)
{
  Advance(aNow);
  ++mRunning;
  PriorityState& state = StateOf(aPriority);
  state.mWaitSum += ToSeconds(aWait);
  ++state.mWaits;
}

void
CapacityPlan::Refused(TimePoint aNow, uint32_t aPriority)
{
  Advance(aNow);
  PriorityState& state = StateOf(aPriority);
  state.mWaitSum += kRefusedWaitSeconds;
  ++state.mWaits;
}

void
CapacityPlan::Ended(TimePoint aNow, uint32_t aPriority, Duration aRun)
{
  Advance(aNow);
  mRunning -= std::min(mRunning, 1U);
  PriorityState& state = StateOf(aPriority);
  if (aRun > Duration::zero()) {
    const double run = ToSeconds(aRun);
    state.mRunSeconds +=
      (state.mHasRun ? kRunWeight : 1) * (run - state.mRunSeconds);
    state.mHasRun = true;
  }
  mEndedRunSeconds += state.mRunSeconds;
}

double
CapacityPlan::Slowdown() const
{
  if (mLimit == 0 || mMeanSlotsInUse < kSaturationShare * mLimit) {
    return 1;
  }
  // Little's law: slots in use = completion rate * run time.
  return mEndedRunRate * kMaxSlowdown <= mMeanSlotsInUse
           ? kMaxSlowdown
           : std::max(1.0, mMeanSlotsInUse / mEndedRunRate);
}

// Adjusts the capacity factor by the waits of the lowest admitted priority.
// Priorities at the minimum share are skipped, as they get only what the others
// leave.
void
CapacityPlan::AdjustCapacityFactor()
{
  const auto lowest = std::find_if(
    mStates.rbegin(), mStates.rend(), [](const PriorityState& aState) {
      return aState.mWaits > 0 && aState.mLoad.mShare > kMinShare;
    });
  if (lowest == mStates.rend()) {
    return;
  }
  const double wait = lowest->mWaitSum / lowest->mWaits;
  const bool isOverloaded = mStates.back().mLoad.mDemand > 1;
  if (wait > kHighWaitSeconds) {
    mCapacityFactor *=
      1 - kFactorDecrease * std::min(3.0, wait / kHighWaitSeconds);
  } else if (!isOverloaded || wait < kLowWaitSeconds) {
    mCapacityFactor *= 1 + kFactorIncrease;
  }
  mCapacityFactor =
    std::clamp(mCapacityFactor, kMinFactor, isOverloaded ? kMaxFactor : 1.0);
}

std::array<TreeLoad, CapacityPlan::kPriorityClasses>
CapacityPlan::Divide(const Amounts& aWanted, double aCapacity)
{
  std::array<TreeLoad, kPriorityClasses> out;
  Amounts reserved{}; // Part that each priority always gets.
  double remaining = aCapacity;
  for (size_t n = 0; n < kPriorityClasses; ++n) {
    reserved[n] = std::min(
      aWanted[n], std::max(kMinShare * aWanted[n], kReservedShare * aCapacity));
    remaining -= reserved[n];
  }
  double demand = 0;
  for (size_t n = 0; n < kPriorityClasses; ++n) {
    const double granted =
      std::min(aWanted[n], reserved[n] + std::max(0.0, remaining));
    remaining -= granted - reserved[n];
    if (granted < aWanted[n]) {
      out[n].mShare = std::max(granted / aWanted[n], kMinShare);
    }
    demand += aWanted[n];
    out[n].mDemand = aCapacity > 0 ? demand / aCapacity : 0;
  }
  return out;
}

void
CapacityPlan::Update(double aSeconds)
{
  const double weight = 1 - std::exp(-aSeconds / kSmoothingSeconds);
  const auto smooth = [&](double& aRate, double& aCount) {
    aRate += weight * (std::exchange(aCount, 0) / aSeconds - aRate);
  };
  smooth(mMeanSlotsInUse, mSlotSeconds);
  smooth(mEndedRunRate, mEndedRunSeconds);
  AdjustCapacityFactor();
  const double slowdown = Slowdown();
  Amounts rates{};
  Amounts slots{};
  for (size_t n = 0; n < kPriorityClasses; ++n) {
    PriorityState& state = mStates[n];
    smooth(state.mRate, state.mArrivals);
    smooth(state.mAdmittedRate, state.mAdmitted);
    rates[n] = state.mRate;
    slots[n] = state.mRate * state.mRunSeconds * slowdown;
  }
  auto loads = Divide(slots, mLimit * kTargetUtilisation * mCapacityFactor);
  if (mRateLimit) {
    const auto rateLoads = Divide(rates, *mRateLimit * mCapacityFactor);
    for (size_t n = 0; n < kPriorityClasses; ++n) {
      loads[n] = TreeLoad::MostRestrictive(loads[n], rateLoads[n]);
    }
  }
  for (size_t n = 0; n < kPriorityClasses; ++n) {
    PriorityState& state = mStates[n];
    state.mLoad = { .mShare = std::min(loads[n].mShare,
                                       state.mLoad.mShare +
                                         kShareRisePerSecond * aSeconds),
                    .mDemand = loads[n].mDemand };
    state.mWaitSum = 0;
    state.mWaits = 0;
    if (mLimit == 0) {
      state.mLoad = {}; // An upstream that takes no work is not overloaded.
    }
  }
}

TreeLoad
CapacityPlan::Load(TimePoint aNow, uint32_t aPriority)
{
  Advance(aNow);
  return StateOf(aPriority).mLoad;
}

double
CapacityPlan::AdmittedDemand(TimePoint aNow, uint32_t aPriority)
{
  Advance(aNow);
  const PriorityState& state = StateOf(aPriority);
  return state.mAdmittedRate * state.mRunSeconds;
}

} // namespace amaranthgap
