#include "forwarding/CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthgap {

namespace {

constexpr Duration kStep = milliseconds(50);
// Time within which rates follow the demand.
constexpr double kMemorySeconds = 0.4;
// Weight of one run in the mean of its priority.
constexpr double kRunWeight = 0.05;
// Part of the slots that is planned for: with more, the waits grow quickly.
constexpr double kTargetUse = 1.0;
// Part of the capacity that each priority gets if it needs it, so that a small
// kind of request is not refused for the swings of a large one.
constexpr double kReserved = 0.10;
// Waits of the least important requests between which the plan is kept. They
// wait at each of the calls of a tree, one after the other.
constexpr double kShortWaitSeconds = 0.008;
constexpr double kLongWaitSeconds = 0.035;
// How fast a share may rise, a second. It falls at once: what a share leaves
// over is lost for a moment, what it lets through beyond the capacity is work
// that fails.
constexpr double kShareRise = 3;
// Wait that a refused request counts for.
constexpr double kRefusedWaitSeconds = 0.1;
// How fast the correction of the capacity follows, per step, and its bounds.
constexpr double kUseDown = 0.02;
constexpr double kUseUp = 0.01;
constexpr double kLeastUse = 0.9;
constexpr double kMostUse = 1.15;
// Part of the slots from which on the upstream counts as saturated, and the
// most that its slowdown is taken for.
constexpr double kSaturated = 0.9;
constexpr double kMostSlowdown = 20;

} // namespace

CapacityPlan::Rank&
CapacityPlan::At(uint32_t aPriority)
{
  return mRanks[std::min<size_t>(aPriority, kRanks - 1)];
}

void
CapacityPlan::Advance(TimePoint aNow)
{
  if (mStepStart == TimePoint{}) {
    mStepStart = aNow;
    mLastEvent = aNow;
  }
  mBusySeconds += mRunning * std::max(0.0, ToSeconds(aNow - mLastEvent));
  mLastEvent = std::max(mLastEvent, aNow);
  if (aNow - mStepStart >= kStep) {
    Step(ToSeconds(aNow - mStepStart));
    mStepStart = aNow;
  }
}

void
CapacityPlan::Arrived(TimePoint aNow, uint32_t aPriority, double aShare)
{
  Advance(aNow);
  Rank& rank = At(aPriority);
  rank.mArrivals += 1 / std::clamp(aShare, kMinShare, 1.0);
  rank.mAdmitted += 1;
}

void
CapacityPlan::Started(TimePoint aNow, uint32_t aPriority, Duration aWait)
{
  Advance(aNow);
  ++mRunning;
  Rank& rank = At(aPriority);
  rank.mWaitSum += ToSeconds(aWait);
  ++rank.mWaits;
}

void
CapacityPlan::Refused(TimePoint aNow, uint32_t aPriority)
{
  Advance(aNow);
  Rank& rank = At(aPriority);
  rank.mWaitSum += kRefusedWaitSeconds;
  ++rank.mWaits;
}

void
CapacityPlan::Ended(TimePoint aNow, uint32_t aPriority, Duration aRun)
{
  Advance(aNow);
  mRunning -= std::min(mRunning, 1U);
  Rank& rank = At(aPriority);
  if (aRun > Duration::zero()) {
    const double run = ToSeconds(aRun);
    rank.mRunSeconds +=
      (rank.mHasRun ? kRunWeight : 1) * (run - rank.mRunSeconds);
    rank.mHasRun = true;
  }
  mEndRuns += rank.mRunSeconds;
}

double
CapacityPlan::Slowdown() const
{
  if (mLimit == 0 || mBusyRate < kSaturated * mLimit) {
    return 1;
  }
  // By Little's law the slots in use are the rate of ends times the run.
  return mEndRunRate * kMostSlowdown <= mBusyRate
           ? kMostSlowdown
           : std::max(1.0, mBusyRate / mEndRunRate);
}

// The waits of the least important priority that the plan lets through tell
// whether it fits. Those at their least share get what the others leave.
void
CapacityPlan::AdjustUse()
{
  const auto last =
    std::find_if(mRanks.rbegin(), mRanks.rend(), [](const Rank& aRank) {
      return aRank.mWaits > 0 && aRank.mLoad.mShare > kMinShare;
    });
  if (last == mRanks.rend()) {
    return;
  }
  const double wait = last->mWaitSum / last->mWaits;
  const bool isCut = mRanks.back().mLoad.mDemand > 1;
  if (wait > kLongWaitSeconds) {
    mUse *= 1 - kUseDown * std::min(3.0, wait / kLongWaitSeconds);
  } else if (!isCut || wait < kShortWaitSeconds) {
    mUse *= 1 + kUseUp;
  }
  mUse = std::clamp(mUse, kLeastUse, isCut ? kMostUse : 1.0);
}

void
CapacityPlan::Step(double aSeconds)
{
  const double weight = 1 - std::exp(-aSeconds / kMemorySeconds);
  const auto follow = [&](double& aRate, double& aCount) {
    aRate += weight * (std::exchange(aCount, 0) / aSeconds - aRate);
  };
  follow(mBusyRate, mBusySeconds);
  follow(mEndRunRate, mEndRuns);
  AdjustUse();
  const double slowdown = Slowdown();
  const double capacity = mLimit * kTargetUse * mUse;
  // What each priority gets in any case.
  std::array<double, kRanks> wanted{};
  std::array<double, kRanks> reserved{};
  double left = capacity;
  for (size_t n = 0; n < kRanks; ++n) {
    Rank& rank = mRanks[n];
    follow(rank.mRate, rank.mArrivals);
    follow(rank.mAdmittedRate, rank.mAdmitted);
    wanted[n] = rank.mRate * rank.mRunSeconds * slowdown;
    reserved[n] = std::min(
      wanted[n], std::max(kMinShare * wanted[n], kReserved * capacity));
    left -= reserved[n];
  }
  double demand = 0;
  for (size_t n = 0; n < kRanks; ++n) {
    Rank& rank = mRanks[n];
    const double planned =
      std::min(wanted[n], reserved[n] + std::max(0.0, left));
    left -= planned - reserved[n];
    const double share =
      planned < wanted[n] ? std::max(planned / wanted[n], kMinShare) : 1;
    rank.mLoad.mShare =
      std::min(share, rank.mLoad.mShare + kShareRise * aSeconds);
    demand += wanted[n];
    rank.mLoad.mDemand = capacity > 0 ? demand / capacity : 0;
    rank.mWaitSum = 0;
    rank.mWaits = 0;
    if (mLimit == 0) {
      rank.mLoad = {}; // It takes no work, which is no overload.
    }
  }
}

TreeLoad
CapacityPlan::Load(TimePoint aNow, uint32_t aPriority)
{
  Advance(aNow);
  return At(aPriority).mLoad;
}

double
CapacityPlan::AdmittedDemand(TimePoint aNow, uint32_t aPriority)
{
  Advance(aNow);
  const Rank& rank = At(aPriority);
  return rank.mAdmittedRate * rank.mRunSeconds;
}

} // namespace amaranthgap
