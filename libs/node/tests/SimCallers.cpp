#include "Sim.h"

#include <algorithm>

#include <fmt/format.h>

namespace amaranthgap::sim {

size_t
Sim::Call(size_t aHost,
          uint64_t aOperation,
          const std::string& aService,
          const std::string& aClass,
          const RequestId& aRequest,
          const std::string& aKey,
          Duration aTimeout,
          const std::string& aCaller)
{
  Host& host = mHosts[aHost];
  const CallerHandle handle{ ++mLastHandle };
  const size_t index = mCalls.size();
  const Duration timeout =
    aTimeout > Duration::zero() ? aTimeout : Duration(seconds(1));
  mCalls.push_back({ .mOperation = aOperation,
                     .mHandle = handle,
                     .mHost = aHost,
                     .mHostEpoch = host.mEpoch,
                     .mKey = aKey,
                     .mSent = mNow,
                     .mDeadline = mNow + timeout });
  mByHandle[handle.mValue] = index;
  ++mCallsByRequest[aRequest];
  CallerCall call{
    .mCaller = handle,
    .mRequest = aRequest,
    .mCallerName = aCaller,
    .mService = aService,
    .mRequestClass = aClass,
    .mTimeout = aTimeout,
    .mKey = aKey,
    .mHttp = { .mMethod = "POST",
               .mPath = "/" + aService,
               .mHeaders = { { "X-Copy", std::to_string(handle.mValue) } },
               .mBody = std::to_string(aOperation) }
  };
  Deliver(aHost,
          host.mEpoch,
          [this, call = std::move(call)](Node& aNode, Actions& aActions) {
            aNode.CallArrived(mNow, call, aActions);
          });
  return index;
}

size_t
Sim::AskKey(size_t aHost,
            const std::string& aService,
            const std::string& aClass)
{
  const CallerHandle handle{ ++mLastHandle };
  const size_t index = mCalls.size();
  mCalls.push_back({ .mHandle = handle,
                     .mHost = aHost,
                     .mHostEpoch = mHosts[aHost].mEpoch,
                     .mSent = mNow,
                     .mDeadline = mNow + seconds(1) });
  mByHandle[handle.mValue] = index;
  Deliver(aHost,
          mHosts[aHost].mEpoch,
          [this, handle, aService, aClass](Node& aNode, Actions& aActions) {
            aNode.KeyRequested(mNow,
                               { .mCaller = handle,
                                 .mCallerName = "web",
                                 .mService = aService,
                                 .mRequestClass = aClass },
                               aActions);
          });
  return index;
}

size_t
Sim::WorkInFlight() const
{
  size_t count = 0;
  for (const Host& host : mHosts) {
    count += host.mWork.size();
  }
  return count;
}

void
Sim::HangUp(size_t aCall)
{
  Sent& call = mCalls[aCall];
  if (call.mAnswer || call.mGone) {
    return;
  }
  call.mGone = true;
  const size_t host = call.mHost;
  const CallerHandle handle = call.mHandle;
  Deliver(
    host, call.mHostEpoch, [this, handle](Node& aNode, Actions& aActions) {
      aNode.CallerGone(mNow, handle, aActions);
    });
}

void
Sim::Answered(size_t aHost, const AnswerCaller& aAnswer)
{
  const auto child = mChildWaits.find(aAnswer.mCaller.mValue);
  if (child != mChildWaits.end()) {
    const ChildWait wait = child->second;
    mChildWaits.erase(child);
    if (aAnswer.mOutcome == Outcome::NotRun) {
      for (const Run& run : mRuns) {
        if (run.mCopy == wait.mCopy) {
          mViolations.push_back("child call ran but was answered as not run: " +
                                run.mOperation);
        }
      }
    }
    if (mHosts[wait.mHost].mEpoch == wait.mEpoch) {
      ChildAnswered(wait.mHost, wait.mExecution, wait.mIndex, aAnswer);
    }
    return;
  }
  const auto it = mByHandle.find(aAnswer.mCaller.mValue);
  if (it == mByHandle.end()) {
    mViolations.push_back(fmt::format("answer to an unknown caller {} at {}",
                                      aAnswer.mCaller.mValue,
                                      mHosts[aHost].mId.mValue));
    return;
  }
  Sent& call = mCalls[it->second];
  if (call.mAnswer) {
    mViolations.push_back(
      fmt::format("second answer for operation {}", call.mOperation));
    return;
  }
  call.mAnswer = aAnswer;
  call.mAnswered = mNow;
  if (mOnAnswer && !call.mGone) {
    mOnAnswer(it->second);
  }
}

} // namespace amaranthgap::sim
