#include "proxy/CrashDetector.h"

#include <utility>

#include "net/EventLoop.h"

namespace amaranthgap {

namespace {

constexpr Duration kConnectTimeout = milliseconds(400);
// A refusal by the same host comes at once; an upstream that is stopped or full
// does not answer.
constexpr Duration kLongestRefusal = milliseconds(200);
constexpr Duration kProbePause = milliseconds(100);
// The report of the next run may take some seconds.
constexpr Duration kLostRunExpiry = seconds(5);
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
CrashDetector::IsOutdated(TimePoint aNow, const LostRun& aRun)
{
  return aNow - aRun.mTime > kLostRunExpiry;
}

void
CrashDetector::RunLost(TimePoint aNow, CrashedRun aRun)
{
  while (!mLostRuns.empty() && (mLostRuns.size() >= kMaxLostRuns ||
                                IsOutdated(aNow, mLostRuns.front()))) {
    mLostRuns.pop_front();
  }
  mLostRuns.push_back({ aNow, std::move(aRun) });
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
