#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "node/Actions.h"

namespace amaranthgap {

// What a part of a node gives back: actions for the shell, and events for the
// other parts of the same node.

/** A root request starts; retries may be granted for it. */
struct RequestBegun
{
  RequestId mRequest;
};

/** A root request has its final answer; no retry is granted any more. */
struct RequestEnded
{
  RequestId mRequest;
};

/** An execution is over; child calls that it still has are cancelled. */
struct ExecutionEnded
{
  ExecutionId mExecution;
};

/** End of a child call, for the execution that made it. */
struct ChildOutcome
{
  ExecutionId mParent;
  CallerHandle mCaller;
  double mPressure = 0;
  bool mTouchedOnce = false;
};

/** What the node's own member entry has to say of its upstream. */
struct UpstreamChanged
{
  std::string mService; ///< Empty: no upstream accepts work here.
  uint32_t mSlots = 0;
  Duration mWarmUp{};
};

using NodeEvent = std::variant<RequestBegun,
                               RequestEnded,
                               ExecutionEnded,
                               ChildOutcome,
                               UpstreamChanged>;

/** One thing that happened to a request, for Explain. */
struct RequestStep
{
  RequestId mRequest;
  std::string_view mRole;  ///< Constant text.
  std::string_view mEvent; ///< Constant text.
  std::string mPeer;
  std::string mDetail;
};

struct Effects
{
  Actions mActions;
  std::vector<NodeEvent> mEvents;
  std::vector<RequestStep> mSteps;
  /** Names of counters to raise by one: a constant prefix and suffix. */
  std::vector<std::pair<std::string_view, std::string_view>> mCounts;

  [[nodiscard]] bool IsEmpty() const
  {
    return mActions.empty() && mEvents.empty() && mSteps.empty() &&
           mCounts.empty();
  }

  void Count(std::string_view aName, std::string_view aSuffix = {})
  {
    mCounts.emplace_back(aName, aSuffix);
  }
};

} // namespace amaranthgap
