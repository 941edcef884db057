#include "forwarding/NoticeTracker.h"

namespace amaranthgap {

void
NoticeTracker::SetRun(TimePoint aNow,
                      RateLimiter& aRate,
                      const std::string& aInstance,
                      int64_t aStartedMillis,
                      bool aIsLeaving)
{
  // After a restart under the same id, the limit holds until an answer tells.
  if (aInstance != mInstance) {
    aRate.Reset();
    mLatest = {};
    mHasAnswered = false;
  }
  mInstance = aInstance;
  mStartedMillis = aStartedMillis;
  mIsLeaving = aIsLeaving;
  ApplyReturned(aNow, aRate);
}

bool
NoticeTracker::Answered(TimePoint aNow,
                        RateLimiter& aRate,
                        const AnswerNotice& aNotice,
                        bool aHasRun)
{
  const auto& named = aNotice.mRequestsPerSecond;
  // A limit that cannot be read does not end the one in force, and refusals may
  // leave it out.
  const bool tellsRate = named || (aHasRun && aNotice.mUnusable.empty());
  mHasAnswered |= tellsRate;
  const bool isNewRate = tellsRate && aRate.Answered(aNow, named);
  const bool isNewText = aNotice.mIsLeaving != mLatest.mIsLeaving ||
                         aNotice.mUnusable != mLatest.mUnusable;
  mLatest = aNotice;
  return isNewRate || isNewText;
}

void
NoticeTracker::Returned(TimePoint aNow,
                        RateLimiter& aRate,
                        const UpstreamNotice& aNotice)
{
  const auto& rate = aNotice.mRequestsPerSecond;
  const bool isKnown = mReturned && mReturned->mInstance == aNotice.mInstance;
  if (rate && !(isKnown && mReturned->mRequestsPerSecond <= rate)) {
    mReturned = aNotice;
    ApplyReturned(aNow, aRate);
  }
}

void
NoticeTracker::ApplyReturned(TimePoint aNow, RateLimiter& aRate)
{
  if (!mHasAnswered && mReturned && mReturned->mInstance == mInstance) {
    aRate.Answered(aNow, mReturned->mRequestsPerSecond);
  }
}

std::optional<UpstreamNotice>
NoticeTracker::Current(const RateLimiter& aRate) const
{
  if (mInstance.empty() || (!mIsLeaving && !aRate.PerSecond())) {
    return std::nullopt;
  }
  return UpstreamNotice{ .mInstance = mInstance,
                         .mStartedMillis = mStartedMillis,
                         .mIsLeaving = mIsLeaving,
                         .mRequestsPerSecond = aRate.PerSecond() };
}

} // namespace amaranthgap
