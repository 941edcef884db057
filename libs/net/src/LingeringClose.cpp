#include "net/LingeringClose.h"

#include <algorithm>

namespace amaranthgap {

LingeringClose::LingeringClose(TimePoint aNow,
                               TimePoint aLastMoved,
                               size_t aUnacknowledged,
                               const Options& aOptions)
  : mOptions(aOptions)
  , mLastMoved(aLastMoved)
  , mLastAcknowledged(aUnacknowledged > 0 ? aNow : aLastMoved)
  , mUnacknowledged(aUnacknowledged)
{
}

bool
LingeringClose::IsOver(TimePoint aNow, size_t aUnacknowledged)
{
  if (aUnacknowledged != mUnacknowledged) {
    mUnacknowledged = aUnacknowledged;
    mLastAcknowledged = aNow;
  }
  if (aUnacknowledged > 0) {
    return aNow - mLastAcknowledged >= mOptions.mStallTime;
  }
  const TimePoint moved = std::max(mLastMoved, mLastAcknowledged);
  return aNow - moved >= mOptions.mQuietTime ||
         aNow - mLastAcknowledged >= mOptions.mSendingTime;
}

} // namespace amaranthgap
