// What an UpstreamSide does when its upstream crashes.

#include "UpstreamAttempt.h"

#include <fmt/format.h>

namespace amaranthgap {

void
UpstreamSide::NoteLostRun(TimePoint aNow, const Attempt& aAttempt)
{
  if (!aAttempt.mIsCrashed) {
    mCrashDetector.RunLost(aNow, CrashedRunOf(aNow, aAttempt));
  }
}

CrashedRun
UpstreamSide::CrashedRunOf(TimePoint aNow, const Attempt& aAttempt)
{
  return { .mRequestId = aAttempt.mRequest.mRequestId,
           .mRoute = aAttempt.mRequest.mRoute,
           .mSuspect = { .mFingerprints = aAttempt.mFingerprints,
                         .mIsTrial = aAttempt.mIsTrial },
           .mRunTime = aNow - aAttempt.mStarted };
}

std::vector<CrashedRun>
UpstreamSide::TakeCrashedRuns(TimePoint aNow, CrashSign aSign)
{
  std::vector<CrashedRun> out = mCrashDetector.TakeLostRuns(aNow);
  if (aSign != CrashSign::Restarted) {
    return out; // What still runs has not been sent yet.
  }
  for (const auto& [id, attempt] : mAttempts) {
    if (attempt->mIsRunning && attempt->mConnection->IsConnected() &&
        !std::exchange(attempt->mIsCrashed, true)) {
      out.push_back(CrashedRunOf(aNow, *attempt));
    }
  }
  return out;
}

AttemptReason
UpstreamSide::ReasonToHold(TimePoint aNow, const Attempt& aAttempt) const
{
  switch (mCrashes.Evidence().StateOf(aNow, aAttempt.mFingerprints)) {
    case Suspicion::Quarantined:
      return AttemptReason::Quarantined;
    case Suspicion::Probation:
      return ReasonToHoldTrial(aAttempt);
    default:
      return AttemptReason::None;
  }
}

AttemptReason
UpstreamSide::ReasonToHoldTrial(const Attempt& aAttempt) const
{
  // Its attempt before this one may have crashed an upstream just now.
  if (aAttempt.mRequest.mIsRetry) {
    return AttemptReason::Quarantined;
  }
  // Copies that come together must not crash an upstream each; and of two in
  // flight, a crash would not tell which one caused it.
  return aAttempt.mRequest.mIsTrial && mTrialCount == 0
           ? AttemptReason::None
           : AttemptReason::Suspected;
}

void
UpstreamSide::Crashed(TimePoint aNow, CrashSign aSign)
{
  const std::vector<CrashedRun> runs = TakeCrashedRuns(aNow, aSign);
  const auto notice = Notice();
  const bool isPlanned = mStopped || (notice && notice->mIsLeaving);
  if (runs.empty() || isPlanned) {
    return;
  }
  mLogger.Write(aNow,
                LogLevel::Warning,
                "upstream-crashed",
                { { "instance", Instance() },
                  { "sign", std::string(ToName(aSign)) },
                  { "in_flight", std::to_string(runs.size()) },
                  { "crashes", std::to_string(mCrashes.CrashCount() + 1) } });
  std::vector<InFlightRequest> suspects;
  for (const CrashedRun& it : runs) {
    const RequestFingerprints& prints = it.mSuspect.mFingerprints;
    suspects.push_back(it.mSuspect);
    mLogger.Write(aNow,
                  LogLevel::Info,
                  "in-flight-at-crash",
                  { { "request", it.mRequestId },
                    { "route", it.mRoute },
                    { "content", fmt::format("{:016x}", prints.mOfContent) },
                    { "caller", fmt::format("{:016x}", prints.mFromCaller) },
                    { "resource", fmt::format("{:016x}", prints.mOfResource) },
                    { "trial", it.mSuspect.mIsTrial ? "yes" : "no" },
                    { "instance", Instance() },
                    { "run_ms", std::to_string(ToMillis(it.mRunTime)) } });
  }
  mCrashes.Crashed(aNow, suspects);
  if (aSign == CrashSign::Refused) {
    SetDown("crashed");
  }
}

} // namespace amaranthgap
