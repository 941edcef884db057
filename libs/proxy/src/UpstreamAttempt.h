#pragma once

#include "proxy/UpstreamSide.h"

namespace amaranthgap {

/** One attempt, waiting at the gate or running. */
struct UpstreamSide::Attempt
{
  ExecutionId mId;
  ForwardRequest mRequest;
  TimePoint mDeadline;
  TimePoint mArrived{};
  TimePoint mStarted{};
  int64_t mRunStartedMillis = 0; ///< Of the upstream that it was sent to.
  bool mIsRunning = false;
  bool mIsCancelled = false; ///< Goes on without anyone who waits for it.
  bool mIsCrashed = false;   ///< Counted as in flight at a crash.
  RequestFingerprints mFingerprints;
  bool mIsTrial = false; ///< Runs on probation.
  std::multimap<TimePoint, ExecutionId>::iterator mByDeadline;
  std::unique_ptr<ClientConnection> mConnection;
  MemoryAccount::Share mHeld; ///< Until the request is sent.
  Done mDone;
};

} // namespace amaranthgap
