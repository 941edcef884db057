#pragma once

#include "base/Rng.h"
#include "node/Actions.h"
#include "node/Snapshots.h"

namespace amaranthgap {

/** Facts of a live execution, which its child calls inherit. */
struct ParentContext
{
  ExecutionId mExecution;
  RequestId mRequest;
  NodeRef mRoot;
  std::string mCaller;
  std::string mParty;
  uint32_t mImportance = 0;
  uint32_t mDepth = 0;
  bool mIdempotent = true;
  TimePoint mDeadline;
};

/** End of a child call, for the execution that made it. */
struct ChildOutcome
{
  ExecutionId mParent;
  CallerHandle mCaller;
  double mPressure = 0;
  bool mTouchedOnce = false;
};

} // namespace amaranthgap
