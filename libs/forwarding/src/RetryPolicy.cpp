#include "forwarding/RetryPolicy.h"

namespace amaranthgap {

namespace {

// Maximum number of redirects per request. Each costs a round trip, possibly
// between regions.
constexpr uint32_t kMaxRedirects = 2;

constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

} // namespace

bool
EndedBeforeUpstream(AttemptReason aReason)
{
  switch (aReason) {
    case AttemptReason::NoRoom:
    case AttemptReason::Leaving:
    case AttemptReason::OtherInstance:
    case AttemptReason::Expired:
    case AttemptReason::NotConnected:
    case AttemptReason::PeerLost:
    case AttemptReason::Quarantined:
    case AttemptReason::Suspected:
      return true;
    default:
      return false;
  }
}

NextStep
ChooseNextStep(const AttemptHistory& aHistory, AttemptReason aReason)
{
  if (aHistory.mMayHaveRun && !aHistory.mIdempotent) {
    return NextStep::GiveUp;
  }
  if (aReason == AttemptReason::Expired ||
      aReason == AttemptReason::Quarantined) {
    return NextStep::GiveUp;
  }
  if (!aHistory.mMayHaveRun && EndedBeforeUpstream(aReason)) {
    return aHistory.mRedirects <= kMaxRedirects ? NextStep::Redirect
                                                : NextStep::GiveUp;
  }
  return aHistory.mUpstreamAttempts < aHistory.mMaxUpstreamAttempts
           ? NextStep::Retry
           : NextStep::GiveUp;
}

FinalRefusal
RefusalFor(bool aMayHaveRun, AttemptReason aReason)
{
  if (aMayHaveRun) {
    return { .mStatus = aReason == AttemptReason::Expired ? kGatewayTimeout
                                                          : kBadGateway };
  }
  if (aReason == AttemptReason::Unauthorized) {
    return { .mStatus = kUnauthorized };
  }
  return { .mStatus = aReason == AttemptReason::Throttled ||
                          aReason == AttemptReason::NoRoom ||
                          aReason == AttemptReason::OverAllowance
                        ? kTooManyRequests
                        : kUnavailable,
           .mSuggestsRetryAfter = true };
}

} // namespace amaranthgap
