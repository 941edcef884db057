#include "proxy/CrashDetector.h"

#include <algorithm>
#include <utility>

#include "net/EventLoop.h"

namespace amaranthgap {

namespace {

constexpr Duration kConnectTimeout = milliseconds(400);
// A refusal by the same host comes at once; an upstream that is stopped or full
// does not answer.
constexpr Duration kLongestRefusal = milliseconds(200);
constexpr Duration kProbePause = milliseconds(100);
// The report of the next run may take some seconds; until then, an answer may
// come from a run that has the same name and has not reported itself yet.
constexpr Duration kReportTime = seconds(5);
// Longest time for which an upstream is silent before its next run.
constexpr Duration kLostRunExpiry = minutes(2);
constexpr size_t kMaxLostRuns = 512;

} // namespace

CrashDetector::CrashDetector(EventLoop& aLoop,
                             std::string aAddress,
                             std::function<void(TimePoint)> aOnRefused)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mOnRefused(std::move(aOnRefused))
{
}

bool
CrashDetector::IsOutlived(const LostRun& aRun) const
{
  return mLatestAnswered > aRun.mTime;
}

bool
CrashDetector::IsOutdated(TimePoint aNow, const LostRun& aRun) const
{
  return aNow - aRun.mTime > (IsOutlived(aRun) ? kReportTime : kLostRunExpiry);
}

void
CrashDetector::RunLost(TimePoint aNow, CrashedRun aRun)
{
  while (!mLostRuns.empty() && IsOutdated(aNow, mLostRuns.front())) {
    mLostRuns.pop_front();
  }
  if (mLostRuns.size() >= kMaxLostRuns) {
    // If the upstream has been silent since then, the earlier ones were in
    // flight when it ended.
    if (!IsOutlived(mLostRuns.front())) {
      return;
    }
    mLostRuns.pop_front();
  }
  mLostRuns.push_back({ aNow, std::move(aRun) });
}

void
CrashDetector::RunAnswered(TimePoint aStarted)
{
  mLatestAnswered = std::max(mLatestAnswered, aStarted);
}

void
CrashDetector::ConnectionLost(TimePoint aNow)
{
  mNeedsProbe = true;
  Tick(aNow);
}

void
CrashDetector::EndProbe()
{
  // The stream is on the stack.
  mLoop.Defer([probe = std::shared_ptr<TcpStream>(std::move(mProbe))] {});
}

void
CrashDetector::Tick(TimePoint aNow)
{
  if (!mNeedsProbe || mProbe || aNow - mProbeStart < kProbePause) {
    return;
  }
  mNeedsProbe = false;
  mProbeStart = aNow;
  mProbe = TcpStream::Connect(mLoop,
                              mAddress,
                              { .mConnectTimeout = kConnectTimeout },
                              { .mOnConnected = [this] { EndProbe(); },
                                .mOnClosed =
                                  [this](StreamEnd aEnd) {
                                    EndProbe();
                                    const TimePoint now = EventLoop::Now();
                                    if (aEnd == StreamEnd::NotConnected &&
                                        now - mProbeStart < kLongestRefusal) {
                                      mOnRefused(now);
                                    }
                                  } });
}

std::vector<CrashedRun>
CrashDetector::TakeLostRuns(TimePoint aNow)
{
  std::vector<CrashedRun> out;
  for (LostRun& it : std::exchange(mLostRuns, {})) {
    if (!IsOutdated(aNow, it)) {
      out.push_back(std::move(it.mRun));
    }
  }
  return out;
}

} // namespace amaranthgap
