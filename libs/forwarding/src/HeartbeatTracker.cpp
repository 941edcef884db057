#include "forwarding/HeartbeatTracker.h"

#include <utility>

namespace amaranthgap {

HeartbeatTracker::HeartbeatTracker(std::string aAddress)
  : mAddress(std::move(aAddress))
{
}

ReportOutcome
HeartbeatTracker::Offer(TimePoint aNow, const UpstreamReport& aReport)
{
  if (aReport.mAddress != mAddress) {
    return ReportOutcome::OtherHost;
  }
  if (mLatest) {
    const bool sameRun = aReport.mInstance == mLatest->mInstance &&
                         aReport.mStartedMillis == mLatest->mStartedMillis;
    const bool older = sameRun
                         ? aReport.mSequence <= mLatest->mSequence
                         : aReport.mStartedMillis < mLatest->mStartedMillis;
    if (older) {
      return ReportOutcome::Stale;
    }
    // Draining is final: a run that announced it does not take work again.
    const bool leaving = sameRun && (mLatest->mDraining || mEnded);
    mLatest = aReport;
    mLatest->mDraining = aReport.mDraining || leaving;
    mEnded = mEnded && sameRun;
  } else {
    mLatest = aReport;
  }
  mLastHeard = aNow;
  return ReportOutcome::Current;
}

bool
HeartbeatTracker::Ended(const std::string& aInstance)
{
  if (!mLatest || mLatest->mInstance != aInstance) {
    return false;
  }
  mEnded = true;
  return true;
}

const UpstreamReport*
HeartbeatTracker::Latest() const
{
  return mLatest ? &*mLatest : nullptr;
}

bool
HeartbeatTracker::TakesWork() const
{
  return mLatest && !mLatest->mDraining && !mEnded;
}

} // namespace amaranthgap
