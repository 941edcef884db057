#pragma once

#include <set>
#include <string>
#include <vector>

#include "idempotency/IssuedKey.h"
#include "node/EntryLogic.h"

namespace amaranthgap {

enum class ExecutionStage : uint8_t
{
  Queued,
  SuspectWaiting, ///< Another suspect runs; see section 8.7.
  Running,
  Ending, ///< Cancelled; holds its slot until the upstream call has ended.
};

/** Entry node that waits for the reply of an execution. */
struct ReplyAddress
{
  NodeRef mNode;
  std::string mAddress;
  CallId mCall;
};

/** One admitted call at its target. */
struct Execution
{
  ExecutionId mId;
  std::vector<ReplyAddress> mWaiters; ///< Several when a key was sent again.
  CallMessage mCall;
  std::optional<IssuedKey> mIssued;
  ExecutionStage mStage = ExecutionStage::Queued;
  TimePoint mArrived;
  TimePoint mDeadline;
  TimePoint mStarted;
  std::string mContext;
  bool mCountedAtCrash = false;
  bool mSuspect = false;

  std::set<CallerHandle> mChildren;
  bool mHadChildren = false;
  TimePoint mChildrenSince; ///< Valid while there are children.
  Duration mChildrenTime{}; ///< Covered by at least one child call.
  double mPressure = 0;
  bool mTouchedOnce = false;

  void ChildBegan(TimePoint aNow, CallerHandle aChild);
  void ChildEnded(TimePoint aNow, const ChildOutcome& aOutcome);
  /** @return time in the upstream less the time covered by child calls. */
  [[nodiscard]] Duration OwnTime(TimePoint aNow) const;
  [[nodiscard]] ParentContext Context() const;
};

} // namespace amaranthgap
