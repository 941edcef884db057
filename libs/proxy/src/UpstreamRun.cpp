// The run of its upstream that an UpstreamSide sends to, and its changes.

#include "UpstreamAttempt.h"

namespace amaranthgap {

void
UpstreamSide::SetReport(TimePoint aNow,
                        const UpstreamReport& aReport,
                        bool aTakesWork)
{
  const bool isOtherRun = aReport.mInstance != Instance() ||
                          aReport.mStartedMillis != mNotices.StartedMillis();
  const bool replacesRun = isOtherRun && !Instance().empty();
  const bool wasDown = mIsDown;
  if (replacesRun) {
    Crashed(aNow, CrashSign::Restarted);
  }
  const auto notice = Notice();
  const bool wasLeaving = notice && notice->mIsLeaving;
  const bool isLeaving = !aTakesWork;
  const bool changed = aReport.mInstance != Instance() ||
                       aReport.mService != mService ||
                       aTakesWork != TakesWork() || aReport.mSlots != mSlots ||
                       isLeaving != wasLeaving;
  mNotices.SetRun(
    aNow, mGate.Rate(), aReport.mInstance, aReport.mStartedMillis, isLeaving);
  mPlan.SetRateLimit(RateLimit());
  mService = aReport.mService;
  mSlots = aReport.mSlots;
  mTakesWork = aTakesWork && !mStopped;
  mIsDown = false;
  if (mTakesWork && (wasDown || isOtherRun)) {
    StartPace(aNow, wasDown ? Duration::max() : aReport.mColdRemaining);
  }
  ApplySlots();
  if (replacesRun) {
    EndAttempts(aNow);
  }
  if (!mTakesWork) {
    RefuseWaiting(AttemptReason::Leaving);
  }
  if (changed && mOnChange) {
    mOnChange();
  }
}

void
UpstreamSide::ApplySlots()
{
  mGate.SetSlots(TakesWork() ? mPace.SlotsOf(mSlots) : 0);
  mPlan.SetLimit(mGate.Limit());
}

void
UpstreamSide::StartPace(TimePoint aNow, Duration aColdRemaining)
{
  // A run that is warm already, beside a node that has just started, is used
  // as it is.
  if (!mOptions.mPacesStart || aColdRemaining <= Duration::zero()) {
    return;
  }
  mPace.Start(aNow, mSlots);
  mLogger.Write(aNow,
                LogLevel::Info,
                "upstream-pace-started",
                { { "instance", Instance() },
                  { "slots", std::to_string(mPace.SlotsOf(mSlots)) },
                  { "of", std::to_string(mSlots) } });
}

void
UpstreamSide::TickPace(TimePoint aNow)
{
  if (mPace.IsPacing()) {
    mPace.Tick(aNow);
    PaceEnded(aNow);
  }
}

void
UpstreamSide::PaceEnded(TimePoint aNow)
{
  if (mPace.IsPacing()) {
    return;
  }
  ApplySlots();
  mLogger.Write(
    aNow,
    LogLevel::Info,
    "upstream-pace-ended",
    { { "instance", Instance() }, { "slots", std::to_string(mGate.Limit()) } });
  if (mOnChange) {
    mOnChange();
  }
}

void
UpstreamSide::ReturnNotice(TimePoint aNow, const UpstreamNotice& aNotice)
{
  mNotices.Returned(aNow, mGate.Rate(), aNotice);
  mPlan.SetRateLimit(RateLimit());
}

void
UpstreamSide::StopWork()
{
  mStopped = true;
  mTakesWork = false;
  mGate.SetSlots(0);
  RefuseWaiting(AttemptReason::Leaving);
  if (mOnChange) {
    mOnChange();
  }
}

void
UpstreamSide::SetDown(const char* aReason)
{
  if (mIsDown) {
    return;
  }
  mIsDown = true;
  mGate.SetSlots(0);
  mIdle.clear();
  mLogger.Write(EventLoop::Now(),
                LogLevel::Warning,
                "upstream-down",
                { { "instance", Instance() }, { "reason", aReason } });
  RefuseWaiting(AttemptReason::NotConnected);
  if (mOnChange) {
    mOnChange();
  }
}

bool
UpstreamSide::IsForCurrentRun(const ForwardRequest& aRequest) const
{
  return aRequest.mInstance == Instance() && aRequest.mService == mService;
}

void
UpstreamSide::RefuseWaiting(AttemptReason aReason)
{
  for (const ExecutionId it : mGate.RemoveAll()) {
    Refuse(it, aReason);
  }
}

void
UpstreamSide::EndAttempts(TimePoint aNow)
{
  RefuseWaiting(AttemptReason::OtherInstance);
  // Idle connections lead to the earlier run, if anywhere.
  mIdle.clear();
  std::vector<ExecutionId> running;
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt->mIsRunning) {
      running.push_back(id);
    }
  }
  for (const ExecutionId it : running) {
    const auto found = mAttempts.find(it);
    if (found == mAttempts.end()) {
      continue;
    }
    Attempt& attempt = *found->second;
    ForwardReply reply;
    if (attempt.mConnection->IsConnected()) {
      reply.mOutcome = AttemptOutcome::MayHaveRun;
      reply.mReason = AttemptReason::ConnectionLost;
    } else {
      reply.mOutcome = AttemptOutcome::NotRun;
      reply.mReason = AttemptReason::OtherInstance;
    }
    attempt.mConnection->Abort();
    FreeSlot(aNow, attempt, RunEnd::Nothing);
    Finish(it, std::move(reply));
  }
}

} // namespace amaranthgap
