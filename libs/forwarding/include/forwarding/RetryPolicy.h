#pragma once

#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** State of a request after one of its attempts has ended. */
struct AttemptHistory
{
  bool mIdempotent = false;
  bool mMayHaveRun = false; ///< Whether any attempt may have run.
  /** Attempts that may have reached an upstream. */
  uint32_t mUpstreamAttempts = 0;
  uint32_t mMaxUpstreamAttempts = 1; ///< Limit set by the route.
  uint32_t mRedirects = 0; ///< Attempts that ended before reaching an upstream.
};

/** What to do after an attempt has ended without a final answer. */
enum class NextStep : uint8_t
{
  GiveUp,
  Redirect, ///< Try another target; uses no budget as no upstream was reached.
  Retry,    ///< Try another target if the retry budget allows it.
};

/** @return whether the reason proves that no byte reached an upstream. */
bool
EndedBeforeUpstream(AttemptReason aReason);

/** @return the next step for a request whose last attempt ended with the given
 * reason. */
NextStep
ChooseNextStep(const AttemptHistory& aHistory, AttemptReason aReason);

/** Response that a node sends for a request it gives up. */
struct FinalRefusal
{
  int mStatus = 503;
  /** Whether to tell the caller when to retry. */
  bool mSuggestsRetryAfter = false;
};

/** @return the response to a request that no upstream answered. Only 429 and
 * 503 guarantee that it did not run. */
FinalRefusal
RefusalFor(bool aMayHaveRun, AttemptReason aReason);

} // namespace amaranthgap
