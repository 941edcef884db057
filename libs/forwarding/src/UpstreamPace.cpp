#include "forwarding/UpstreamPace.h"

#include <algorithm>

namespace amaranthgap {

namespace {

// Part of the slots that is used at first, and at least.
constexpr double kFirstShare = 0.25;
constexpr double kLeastShare = 0.06;
constexpr double kLeastCount = 2;
// Part of its latency target within which a request has to run to be in time;
// the rest is for its way and its wait.
constexpr double kInTimeShare = 0.75;
// Factor of the limit after a request that was late.
constexpr double kLateFactor = 0.75;
// Longest time of a pace. An upstream that is late for longer has another
// trouble, which the choice of targets answers.
constexpr Duration kMaxTime = seconds(15);

} // namespace

void
UpstreamPace::Start(TimePoint aNow, uint32_t aSlots)
{
  mIsPacing = aSlots > 0;
  mSlots = aSlots;
  mLimit = std::max(kLeastCount, kFirstShare * aSlots);
  mStarted = aNow;
  mReduced = aNow;
}

void
UpstreamPace::Ended(TimePoint aNow,
                    Duration aRun,
                    Duration aLatencyTarget,
                    bool aIsGood)
{
  // What began before the pace tells nothing of it.
  if (!mIsPacing || aNow - aRun < mStarted) {
    return;
  }
  if (aIsGood && ToSeconds(aRun) <= kInTimeShare * ToSeconds(aLatencyTarget)) {
    mLimit += 1;
    mIsPacing = mLimit < mSlots;
  } else if (aNow - aRun >= mReduced) {
    mReduced = aNow;
    mLimit =
      std::max({ kLeastCount, kLeastShare * mSlots, mLimit * kLateFactor });
  }
}

void
UpstreamPace::Tick(TimePoint aNow)
{
  mIsPacing = mIsPacing && aNow - mStarted < kMaxTime;
}

uint32_t
UpstreamPace::SlotsOf(uint32_t aSlots) const
{
  return mIsPacing ? std::min(aSlots, uint32_t(mLimit)) : aSlots;
}

} // namespace amaranthgap
