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
           .mFingerprint = aAttempt.mFingerprint,
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
    if (attempt->mIsRunning && !std::exchange(attempt->mIsCrashed, true)) {
      out.push_back(CrashedRunOf(aNow, *attempt));
    }
  }
  return out;
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
  ++mCrashCount;
  mLogger.Write(aNow,
                LogLevel::Warning,
                "upstream-crashed",
                { { "instance", Instance() },
                  { "sign", std::string(ToName(aSign)) },
                  { "in_flight", std::to_string(runs.size()) },
                  { "crashes", std::to_string(mCrashCount) } });
  for (const CrashedRun& it : runs) {
    mLogger.Write(aNow,
                  LogLevel::Info,
                  "in-flight-at-crash",
                  { { "request", it.mRequestId },
                    { "route", it.mRoute },
                    { "fingerprint", fmt::format("{:016x}", it.mFingerprint) },
                    { "instance", Instance() },
                    { "run_ms", std::to_string(ToMillis(it.mRunTime)) } });
  }
  if (aSign == CrashSign::Refused) {
    SetDown("crashed");
  }
}

} // namespace amaranthgap
