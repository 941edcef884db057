#include <catch2/catch.hpp>

#include "forwarding/RetryPolicy.h"

using namespace amaranthgap;

TEST_CASE("a request that may have run is repeated only if idempotent")
{
  struct Case
  {
    AttemptHistory mHistory;
    AttemptReason mReason;
    NextStep mNext;
  };
  const AttemptHistory safe{ .mIdempotent = true, .mMaxUpstreamAttempts = 2 };
  const AttemptHistory once{ .mIdempotent = false, .mMaxUpstreamAttempts = 2 };
  const auto after = [](AttemptHistory aHistory, bool aMayHaveRun) {
    aHistory.mMayHaveRun = aMayHaveRun;
    aHistory.mUpstreamAttempts = 1;
    return aHistory;
  };
  const auto redirected = [](AttemptHistory aHistory, uint32_t aTimes) {
    aHistory.mRedirects = aTimes;
    return aHistory;
  };
  const std::vector<Case> cases{
    { after(once, true), AttemptReason::ConnectionLost, NextStep::GiveUp },
    { after(once, true), AttemptReason::PeerLost, NextStep::GiveUp },
    { after(safe, true), AttemptReason::ConnectionLost, NextStep::Retry },
    { after(safe, true), AttemptReason::PeerLost, NextStep::Retry },
    { after(once, false), AttemptReason::UpstreamRefused, NextStep::Retry },
    { redirected(once, 1), AttemptReason::NoRoom, NextStep::Redirect },
    { redirected(once, 1), AttemptReason::Leaving, NextStep::Redirect },
    { redirected(once, 1), AttemptReason::PeerLost, NextStep::Redirect },
    { redirected(safe, 9), AttemptReason::NoRoom, NextStep::GiveUp },
    { redirected(safe, 1), AttemptReason::Expired, NextStep::GiveUp },
  };
  for (const Case& it : cases) {
    INFO(ToName(it.mReason));
    CHECK(ChooseNextStep(it.mHistory, it.mReason) == it.mNext);
  }
  AttemptHistory spent = after(safe, true);
  spent.mUpstreamAttempts = 2;
  CHECK(ChooseNextStep(spent, AttemptReason::ConnectionLost) ==
        NextStep::GiveUp);
}

TEST_CASE("only a request that did not run is refused as not run")
{
  for (const auto& [reason, name] : EnumNames<AttemptReason>::kNames) {
    INFO(name);
    const int mayHaveRun = RefusalFor(true, reason).mStatus;
    CHECK((mayHaveRun == 502 || mayHaveRun == 504));
    const int notRun = RefusalFor(false, reason).mStatus;
    CHECK((notRun == 429 || notRun == 503));
  }
}
