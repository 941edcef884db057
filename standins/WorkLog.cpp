#include "WorkLog.h"

namespace amaranthgap {

namespace {

// About 100 MB; a run of some minutes at thousands of requests a second.
constexpr size_t kMostEntries = 500'000;

int64_t
ToMicros(Duration aDuration)
{
  return std::chrono::duration_cast<microseconds>(aDuration).count();
}

} // namespace

void
WorkLog::Started(const Id& aId)
{
  const std::scoped_lock lock(mMutex);
  ++mStarted;
  auto it = mEntries.find(aId);
  if (it == mEntries.end()) {
    if (mEntries.size() >= kMostEntries) {
      ++mUnrecorded;
      return;
    }
    it = mEntries.emplace(aId, Entry{}).first;
  }
  ++it->second.mStarted;
}

void
WorkLog::Ended(const Id& aId, Duration aBusy, Duration aOwn, bool aIsComplete)
{
  const std::scoped_lock lock(mMutex);
  mBusy += aBusy;
  ++(aIsComplete ? mFinished : mStopped);
  if (const auto it = mEntries.find(aId); it != mEntries.end()) {
    it->second.mFinished += aIsComplete ? 1 : 0;
    it->second.mBusy += aBusy;
    it->second.mOwn += aOwn;
  }
}

void
WorkLog::Skipped(bool aIsShed)
{
  const std::scoped_lock lock(mMutex);
  ++(aIsShed ? mShed : mGone);
}

void
WorkLog::Reset()
{
  const std::scoped_lock lock(mMutex);
  mEntries.clear();
  mStarted = mFinished = mStopped = mShed = mGone = mUnrecorded = 0;
  mBusy = Duration::zero();
}

nlohmann::json
WorkLog::Totals()
{
  const std::scoped_lock lock(mMutex);
  return { { "started", mStarted },
           { "finished", mFinished },
           { "stopped", mStopped },
           { "shed", mShed },
           { "gone", mGone },
           { "unrecorded", mUnrecorded },
           { "busy_ms", ToMillis(mBusy) } };
}

nlohmann::json
WorkLog::ByRequest()
{
  const std::scoped_lock lock(mMutex);
  auto out = nlohmann::json::array();
  for (const auto& [id, entry] : mEntries) {
    out.push_back({ { "request", id.mRequest },
                    { "key", id.mKey },
                    { "started", entry.mStarted },
                    { "finished", entry.mFinished },
                    { "busy_us", ToMicros(entry.mBusy) },
                    { "own_us", ToMicros(entry.mOwn) } });
  }
  return out;
}

} // namespace amaranthgap
