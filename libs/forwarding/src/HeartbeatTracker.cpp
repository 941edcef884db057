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

// Nodes and their upstreams start together, in any order, within this time.
constexpr Duration kStartMargin = milliseconds(500);
// Reports that a run sends at most while its node starts. The wall clock may
// have been set back since the start of a run that has sent more.
constexpr uint64_t kMaxFirstReportCount = 8;

// Shortest time between the first and the latest report of a run that these
// alone confirm.
constexpr Duration kConfirmTime = seconds(1);

} // namespace

HeartbeatTracker::HeartbeatTracker(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

ReportOutcome
HeartbeatTracker::Offer(TimePoint aNow, const UpstreamReport& aReport)
{
  if (aReport.mAddress != mOptions.mAddress) {
    return ReportOutcome::OtherHost;
  }
  if (mLatest && aReport.IsSameRun(*mLatest)) {
    return OfferToCurrent(aReport);
  }
  const UpstreamReport* known =
    mLatest ? &*mLatest : (mCandidate ? &mCandidate->mReport : nullptr);
  if (known && aReport.mStartedMillis < known->mStartedMillis) {
    return ReportOutcome::Stale;
  }
  // This process has heard all that a run announced that began after it, or
  // that replaced another one.
  if (mLatest || aReport.mDraining || HasEnded(aNow, aReport) ||
      BeganWithNode(aReport)) {
    SetCurrent(aNow, aReport);
    return ReportOutcome::Current;
  }
  return OfferCandidate(aNow, aReport);
}

ReportOutcome
HeartbeatTracker::OfferToCurrent(const UpstreamReport& aReport)
{
  if (aReport.mSequence <= mLatest->mSequence) {
    return ReportOutcome::Stale;
  }
  // Draining is final: a run that announced it does not take work again.
  const bool isDraining = mLatest->mDraining || mEnded || aReport.mDraining;
  mLatest = aReport;
  mLatest->mDraining = isDraining;
  return ReportOutcome::Current;
}

ReportOutcome
HeartbeatTracker::OfferCandidate(TimePoint aNow, const UpstreamReport& aReport)
{
  if (!mCandidate || !aReport.IsSameRun(mCandidate->mReport)) {
    mCandidate = Candidate{ .mReport = aReport,
                            .mFirstSequence = aReport.mSequence,
                            .mFirstHeard = aNow };
  } else if (aReport.mSequence <= mCandidate->mReport.mSequence) {
    return ReportOutcome::Stale;
  } else {
    mCandidate->mReport = aReport;
  }
  return ReportOutcome::Unconfirmed;
}

void
HeartbeatTracker::SetCurrent(TimePoint aNow, const UpstreamReport& aReport)
{
  mLatest = aReport;
  mEnded = HasEnded(aNow, aReport);
  mCandidate.reset();
}

bool
HeartbeatTracker::BeganWithNode(const UpstreamReport& aReport) const
{
  return aReport.mStartedMillis + ToMillis(kStartMargin) >=
           mOptions.mNodeStartedMillis &&
         aReport.mSequence <= kMaxFirstReportCount;
}

bool
HeartbeatTracker::StatusChecked(TimePoint aNow,
                                const UpstreamReport& aChecked,
                                const UpstreamStatus& aStatus)
{
  if (!mCandidate || !mCandidate->mReport.IsSameRun(aChecked)) {
    return false;
  }
  Candidate& run = *mCandidate;
  const bool isNamed = aStatus.mInstance == run.mReport.mInstance;
  const bool isOther = !aStatus.mInstance.empty() && !isNamed;
  run.mIsDenied |= isOther || aStatus.mVerdict == StatusVerdict::NotReady;
  const bool isReady = isNamed && aStatus.mVerdict == StatusVerdict::Ready;
  const bool goesOn =
    run.mReport.mSequence > run.mFirstSequence &&
    aNow - run.mFirstHeard >= (run.mIsDenied ? kLatestReport : kConfirmTime);
  if (!isReady && !goesOn) {
    return false;
  }
  SetCurrent(aNow, UpstreamReport(run.mReport));
  return true;
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
  if (!mLatest && mCandidate && mCandidate->mReport.mInstance == aInstance &&
      (aStartedMillis == 0 ||
       aStartedMillis >= mCandidate->mReport.mStartedMillis)) {
    SetCurrent(aNow, UpstreamReport(mCandidate->mReport));
  }
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

const UpstreamReport*
HeartbeatTracker::Unconfirmed() const
{
  return mCandidate ? &mCandidate->mReport : nullptr;
}

bool
HeartbeatTracker::TakesWork() const
{
  return mLatest && !mLatest->mDraining && !mEnded;
}

} // namespace amaranthgap
