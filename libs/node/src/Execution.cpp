#include "node/Execution.h"

#include <algorithm>

namespace amaranthgap {

void
Execution::ChildBegan(TimePoint aNow, CallerHandle aChild)
{
  if (mChildren.empty()) {
    mChildrenSince = aNow;
  }
  mHadChildren = true;
  mChildren.insert(aChild);
}

void
Execution::ChildEnded(TimePoint aNow, const ChildOutcome& aOutcome)
{
  if (mChildren.erase(aOutcome.mCaller) > 0 && mChildren.empty()) {
    mChildrenTime += aNow - mChildrenSince;
  }
  mPressure = std::max(mPressure, aOutcome.mPressure);
  mTouchedOnce |= aOutcome.mTouchedOnce;
}

Duration
Execution::OwnTime(TimePoint aNow) const
{
  Duration children = mChildrenTime;
  if (!mChildren.empty()) {
    children += aNow - mChildrenSince;
  }
  return std::max(aNow - mStarted - children, Duration::zero());
}

ParentContext
Execution::Context() const
{
  return { .mExecution = mId,
           .mRequest = mCall.mRequest,
           .mRoot = mCall.mRoot,
           .mCaller = mCall.mCaller,
           .mParty = mCall.mParty,
           .mImportance = mCall.mImportance,
           .mDepth = mCall.mDepth,
           .mIdempotent = mCall.mIdempotent,
           .mDeadline = mDeadline };
}

} // namespace amaranthgap
