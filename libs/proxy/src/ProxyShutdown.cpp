// How a proxy ends: it finishes its work, then its connections.

#include "ProxyParts.h"

namespace amaranthgap {

namespace {

// New requests are taken for this long after SIGTERM: callers turn away after
// two missed questions a second apart.
constexpr Duration kTakeAfterTerm = milliseconds(2600);
// Left of the shutdown time when requests in flight are given up, and when the
// process ends.
constexpr Duration kGiveUpMargin = milliseconds(500);
constexpr Duration kExitMargin = milliseconds(300);

} // namespace

void
ProxyProcess::Parts::StartShutdown(TimePoint aNow)
{
  if (mShutdownSince) {
    return;
  }
  mShutdownSince = aNow;
  mLogger.Write(aNow,
                LogLevel::Info,
                "shutdown-started",
                { { "in_flight", std::to_string(mForwarder.InFlight()) } });
  mDiscovery->Leave(aNow);
  mUpstream.StopWork();
}

void
ProxyProcess::Parts::ContinueShutdown(TimePoint aNow)
{
  const Duration since = aNow - *mShutdownSince;
  if (since > kTakeAfterTerm) {
    mForwarder.StopWork();
    mCallers.StartDraining();
  }
  const bool isGivenUp = since > mSettings.mShutdownTime - kGiveUpMargin;
  if (isGivenUp) {
    mForwarder.EndAll(aNow);
  }
  const bool isWorkDone = since > kTakeAfterTerm &&
                          mForwarder.InFlight() == 0 &&
                          mUpstream.InFlight() == 0;
  if (isWorkDone || isGivenUp) {
    FinishCallers(aNow);
  }
  if (isWorkDone) {
    mPeerServer.Finish(aNow);
  }
  if ((isWorkDone && OpenConnections() == 0) ||
      since > mSettings.mShutdownTime - kExitMargin) {
    Stop(aNow);
  }
}

void
ProxyProcess::Parts::FinishCallers(TimePoint aNow)
{
  if (std::exchange(mAreCallersFinished, true)) {
    return;
  }
  mLogger.Write(aNow,
                LogLevel::Info,
                "connections-finished",
                { { "callers", std::to_string(mCallers.Connections()) },
                  { "reports", std::to_string(mReportSide.Connections()) },
                  { "questions", std::to_string(mReadySide.Connections()) },
                  { "peers", std::to_string(mPeerServer.Connections()) },
                  { "unsent_bytes", std::to_string(UnsentBytes()) } });
  mCallers.Finish();
  mReportSide.Finish();
  mReadySide.Finish();
}

size_t
ProxyProcess::Parts::OpenConnections() const
{
  return mCallers.Connections() + mReportSide.Connections() +
         mReadySide.Connections() + mPeerServer.Connections();
}

size_t
ProxyProcess::Parts::UnsentBytes() const
{
  return mAccount->HeldFor(MemoryUse::CallerOutput) +
         mAccount->HeldFor(MemoryUse::PeerOutput);
}

void
ProxyProcess::Parts::Stop(TimePoint aNow)
{
  mLogger.Write(aNow,
                LogLevel::Info,
                "stopped",
                { { "in_flight", std::to_string(mForwarder.InFlight()) },
                  { "connections", std::to_string(OpenConnections()) },
                  { "unsent_bytes", std::to_string(UnsentBytes()) } });
  mTimer.Stop();
  mSlowTimer.Stop();
  mLogger.Flush();
  if (mOnStopped) {
    mOnStopped();
  }
}

} // namespace amaranthgap
