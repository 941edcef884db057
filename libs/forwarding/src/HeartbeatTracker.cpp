#include "forwarding/HeartbeatTracker.h"

#include <algorithm>
#include <utility>

namespace amaranthgap {

namespace {

// Maximum delay of a report. If reports have no start time, one that arrives
// later than this after the end belongs to a new run with the same identifier.
constexpr Duration kLatestReport = seconds(30);

// Peers may return the ends of several instances that were on this host.
constexpr size_t kMaxEndedRunCount = 8;

} // namespace

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
    mEnded = (mEnded && sameRun) || HasEnded(aNow, aReport);
  } else {
    mLatest = aReport;
    mEnded = HasEnded(aNow, aReport);
  }
  mLastHeard = aNow;
  return ReportOutcome::Current;
}

bool
HeartbeatTracker::HasEnded(TimePoint aNow, const UpstreamReport& aReport) const
{
  return std::any_of(
    mEndedRuns.begin(), mEndedRuns.end(), [&](const EndedRun& aRun) {
      if (aRun.mInstance != aReport.mInstance) {
        return false;
      }
      return aRun.mStartedMillis != 0
               ? aReport.mStartedMillis <= aRun.mStartedMillis
               : aNow - aRun.mTime < kLatestReport;
    });
}

bool
HeartbeatTracker::Ended(TimePoint aNow,
                        const std::string& aInstance,
                        int64_t aStartedMillis)
{
  if (!mLatest || mLatest->mInstance != aInstance) {
    if (mLatest && aStartedMillis == 0) {
      return false; // It may be of an earlier run; a later one can reuse its
                    // id.
    }
    if (mEndedRuns.size() >= kMaxEndedRunCount) {
      mEndedRuns.erase(mEndedRuns.begin());
    }
    mEndedRuns.push_back({ aInstance, aStartedMillis, aNow });
    return false;
  }
  if (aStartedMillis != 0 && aStartedMillis < mLatest->mStartedMillis) {
    return false; // Of an earlier run with the same identifier.
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
