#include "node/UpstreamWatch.h"

namespace amaranthgap {
namespace {

// Three announcements, which are sent each second.
constexpr Duration kLost = seconds(3);
// A crash breaks all connections of a process at once; broken calls further
// apart are not put down to one crash.
constexpr Duration kEpisode = milliseconds(200);
// Longest time from a crash to the first announcement of the next run that is
// still related to the calls broken by it.
constexpr Duration kBrokenMemory = seconds(5);
constexpr size_t kMaxBroken = 4096;

} // namespace

bool
UpstreamWatch::Announced(TimePoint aNow, const Announcement& aAnnouncement)
{
  const bool isNewRun = mState == UpstreamState::Unknown ||
                        aAnnouncement.mRun != mLast.mRun ||
                        aAnnouncement.mService != mLast.mService;
  mLast = aAnnouncement;
  mLastTime = aNow;
  // A crashed process announces nothing, so the same run that goes on has only
  // broken single connections.
  mCrashed = false;
  mIsRefusing = false;
  mState = aAnnouncement.mLeaving ? UpstreamState::Leaving : UpstreamState::Up;
  return isNewRun;
}

UpstreamState
UpstreamWatch::State(TimePoint aNow) const
{
  const bool isAnnounced =
    mState == UpstreamState::Up || mState == UpstreamState::Leaving;
  return isAnnounced && aNow - mLastTime >= kLost ? UpstreamState::Down
                                                  : mState;
}

bool
UpstreamWatch::Tick(TimePoint aNow)
{
  if (State(aNow) == mState) {
    return false;
  }
  mState = UpstreamState::Down;
  return true;
}

void
UpstreamWatch::Broken(TimePoint aNow,
                      ExecutionId aExecution,
                      uint64_t aFingerprint,
                      const std::set<ExecutionId>& aRunning)
{
  if (!mEpisode || aNow - *mEpisode > kEpisode) {
    mEpisode = aNow;
    mStillRunning = aRunning;
  }
  mStillRunning.erase(aExecution);
  mBroken.push_back({ .mTime = aNow, .mFingerprint = aFingerprint });
  if (mBroken.size() > kMaxBroken) {
    mBroken.pop_front();
  }
}

void
UpstreamWatch::Answered(ExecutionId aExecution)
{
  // Calls that began after the first broken one say nothing of the process
  // that ran before.
  if (mEpisode && mStillRunning.contains(aExecution)) {
    mEpisode.reset();
    mStillRunning.clear();
  }
}

void
UpstreamWatch::NotConnected(TimePoint /*aNow*/)
{
  mIsRefusing = true;
}

bool
UpstreamWatch::HasCrashed(TimePoint aNow) const
{
  if (mCrashed || mBroken.empty()) {
    return false;
  }
  const bool isRecent = aNow - mBroken.back().mTime <= kLost;
  const bool areAllBroken =
    mEpisode && aNow - *mEpisode <= kEpisode && mStillRunning.empty();
  return areAllBroken || (mIsRefusing && isRecent);
}

void
UpstreamWatch::SetCrashed()
{
  mCrashed = true;
  mState = UpstreamState::Down;
}

std::vector<uint64_t>
UpstreamWatch::TakeBroken(TimePoint aNow)
{
  std::vector<uint64_t> fingerprints;
  for (const BrokenCall& call : mBroken) {
    if (aNow - call.mTime <= kBrokenMemory) {
      fingerprints.push_back(call.mFingerprint);
    }
  }
  mBroken.clear();
  mEpisode.reset();
  mStillRunning.clear();
  return fingerprints;
}

} // namespace amaranthgap
