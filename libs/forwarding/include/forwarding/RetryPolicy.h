#pragma once

#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** What is known of one request after an attempt has ended. */
struct AttemptHistory
{
  bool mIdempotent = false;
  bool mMayHaveRun = false; ///< Of all attempts.
  uint32_t mUpstreamAttempts =
    0; ///< Attempts that may have reached an upstream.
  uint32_t mMaxUpstreamAttempts = 1; ///< Upstreams that the route allows.
  uint32_t mRedirects = 0; ///< Attempts that ended before any upstream.
};

/** What to do after an attempt has ended without a final answer. */
enum class NextStep : uint8_t
{
  GiveUp,
  Redirect, ///< Try another target; none was reached, so it costs no budget.
  Retry,    ///< Try another target if the retry budget allows it.
};

/** @return whether the reason proves that no byte reached an upstream. */
bool
EndedBeforeUpstream(AttemptReason aReason);

/** @return the next step for a request whose last attempt ended so. */
NextStep
ChooseNextStep(const AttemptHistory& aHistory, AttemptReason aReason);

/** Answer of a node itself to a request that it gives up on. */
struct FinalRefusal
{
  int mStatus = 503;
  bool mSuggestsRetryAfter = false; ///< Whether coming back later may help.
};

/** @return the status for a request that no upstream answered. Only 429 and
 * 503 promise that it did not run. */
FinalRefusal
RefusalFor(bool aMayHaveRun, AttemptReason aReason);

} // namespace amaranthgap
