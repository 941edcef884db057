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
// The same for a node that had no earlier process. A host may be slow to start
// its first process, while its upstream reports itself several times a second.
constexpr Duration kFirstStartMargin = seconds(5);
constexpr uint64_t kMaxReportCountBeforeFirst = 32;

// Shortest time between the first and the latest report of a run that these
// alone confirm.
constexpr Duration kConfirmTime = seconds(1);
// A run that has sent no report for this time may be gone.
constexpr Duration kSilenceTime = seconds(3);

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
    return OfferToCurrent(aNow, aReport);
  }
  if (IsEvident(aNow, aReport)) {
    SetCurrent(aNow, aReport);
    return ReportOutcome::Current;
  }
  if (mLatest && HasEnded(aNow, aReport)) {
    return ReportOutcome::Stale;
  }
  return OfferCandidate(aNow, aReport);
}

bool
HeartbeatTracker::NoEarlierProcess(TimePoint aNow)
{
  mIsFirstProcess = true;
  if (!mCandidate || !IsEvident(aNow, mCandidate->mReport)) {
    return false;
  }
  SetCurrent(aNow, UpstreamReport(mCandidate->mReport));
  return true;
}

ReportOutcome
HeartbeatTracker::OfferToCurrent(TimePoint aNow, const UpstreamReport& aReport)
{
  if (aReport.mService != mLatest->mService) {
    return ReportOutcome::Conflicting;
  }
  if (aReport.mSequence <= mLatest->mSequence) {
    return ReportOutcome::Stale;
  }
  // Draining is final: a run that announced it does not take work again.
  const bool isDraining = mLatest->mDraining || mEnded || aReport.mDraining;
  mLatest = aReport;
  mLatest->mDraining = isDraining;
  mLastHeard = aNow;
  return ReportOutcome::Current;
}

ReportOutcome
HeartbeatTracker::OfferCandidate(TimePoint aNow, const UpstreamReport& aReport)
{
  if (!mCandidate || !aReport.IsSameRun(mCandidate->mReport) ||
      aReport.mService != mCandidate->mReport.mService) {
    mCandidate = Candidate{ .mReport = aReport,
                            .mFirstSequence = aReport.mSequence,
                            .mFirstHeard = aNow };
  } else if (aReport.mSequence <= mCandidate->mReport.mSequence) {
    return ReportOutcome::Stale;
  } else {
    const bool isDraining = mCandidate->mReport.mDraining;
    mCandidate->mReport = aReport;
    mCandidate->mReport.mDraining |= isDraining;
  }
  return ReportOutcome::Unconfirmed;
}

void
HeartbeatTracker::SetCurrent(TimePoint aNow, const UpstreamReport& aReport)
{
  if (mLatest && !TakesWork()) {
    // A late report of it may come while the next run is silent.
    KeepEnd(aNow, mLatest->mInstance, mLatest->mStartedMillis);
  }
  mLatest = aReport;
  mLastHeard = aNow;
  mEnded = HasEnded(aNow, aReport);
  mCandidate.reset();
}

void
HeartbeatTracker::KeepEnd(TimePoint aNow,
                          const std::string& aInstance,
                          int64_t aStartedMillis)
{
  if (mEndedRuns.size() >= kMaxEndedRunCount) {
    mEndedRuns.erase(mEndedRuns.begin());
  }
  mEndedRuns.push_back({ aInstance, aStartedMillis, aNow });
}

bool
HeartbeatTracker::IsEvident(TimePoint aNow, const UpstreamReport& aReport) const
{
  // A run that leaves is not used, and this process has heard all that was
  // announced by one that began after it.
  return !mLatest && aReport.mService == mOptions.mService &&
         (aReport.mDraining || HasEnded(aNow, aReport) ||
          BeganWithNode(aReport));
}

bool
HeartbeatTracker::IsCurrentAlive(TimePoint aNow) const
{
  return mLatest && !mEnded && aNow - mLastHeard < kSilenceTime;
}

bool
HeartbeatTracker::MustBeReady(TimePoint aNow,
                              const UpstreamReport& aReport) const
{
  return !aReport.mDraining && !HasEnded(aNow, aReport) &&
         !BeganWithNode(aReport);
}

bool
HeartbeatTracker::NamesCurrent(const UpstreamReport& aReport) const
{
  // Of two runs with one identifier, the status does not tell the earlier.
  return mLatest && aReport.mInstance == mLatest->mInstance &&
         aReport.mStartedMillis <= mLatest->mStartedMillis;
}

bool
HeartbeatTracker::BeganWithNode(const UpstreamReport& aReport) const
{
  const Duration margin = mIsFirstProcess ? kFirstStartMargin : kStartMargin;
  return aReport.mStartedMillis + ToMillis(margin) >=
           mOptions.mNodeStartedMillis &&
         aReport.mSequence <= (mIsFirstProcess ? kMaxReportCountBeforeFirst
                                               : kMaxFirstReportCount);
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
  const bool mustBeReady = MustBeReady(aNow, run.mReport);
  run.mIsNamed = aStatus.mInstance == run.mReport.mInstance;
  const bool isProven =
    run.mIsNamed && !NamesCurrent(run.mReport) &&
    (!mustBeReady || aStatus.mVerdict == StatusVerdict::Ready);
  const bool isOther = !aStatus.mInstance.empty() && !run.mIsNamed;
  run.mIsDenied |=
    isOther || (mustBeReady && aStatus.mVerdict == StatusVerdict::NotReady);
  const bool goesOn =
    run.mReport.mSequence > run.mFirstSequence && !IsCurrentAlive(aNow) &&
    aNow - run.mFirstHeard >= (run.mIsDenied ? kLatestReport : kConfirmTime);
  if (!isProven && !goesOn) {
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
    KeepEnd(aNow, aInstance, aStartedMillis);
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

const std::string&
HeartbeatTracker::Service() const
{
  if (mLatest) {
    return mLatest->mService;
  }
  return mCandidate && mCandidate->mIsNamed ? mCandidate->mReport.mService
                                            : mOptions.mService;
}

bool
HeartbeatTracker::TakesWork() const
{
  return mLatest && !mLatest->mDraining && !mEnded;
}

} // namespace amaranthgap
