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
  const AttemptHistory idempotent{ .mIdempotent = true, .mMaxArrivals = 2 };
  const AttemptHistory notIdempotent{ .mIdempotent = false, .mMaxArrivals = 2 };
  const auto afterArrival = [](AttemptHistory aHistory, bool aMayHaveRun) {
    aHistory.mMayHaveRun = aMayHaveRun;
    aHistory.mArrivals = 1;
    return aHistory;
  };
  const auto afterRedirects = [](AttemptHistory aHistory, uint32_t aTimes) {
    aHistory.mRedirects = aTimes;
    return aHistory;
  };
  const std::vector<Case> cases{
    { afterArrival(notIdempotent, true),
      AttemptReason::ConnectionLost,
      NextStep::GiveUp },
    { afterArrival(notIdempotent, true),
      AttemptReason::PeerLost,
      NextStep::GiveUp },
    { afterArrival(idempotent, true),
      AttemptReason::ConnectionLost,
      NextStep::Retry },
    { afterArrival(idempotent, true),
      AttemptReason::PeerLost,
      NextStep::Retry },
    { afterArrival(notIdempotent, false),
      AttemptReason::UpstreamRefused,
      NextStep::Retry },
    { afterRedirects(notIdempotent, 1),
      AttemptReason::NoRoom,
      NextStep::Redirect },
    { afterRedirects(notIdempotent, 1),
      AttemptReason::Leaving,
      NextStep::Redirect },
    { afterRedirects(notIdempotent, 1),
      AttemptReason::PeerLost,
      NextStep::Redirect },
    { afterRedirects(idempotent, 9), AttemptReason::NoRoom, NextStep::GiveUp },
    { afterRedirects(idempotent, 1), AttemptReason::Expired, NextStep::GiveUp },
  };
  for (const Case& it : cases) {
    INFO(ToName(it.mReason));
    CHECK(ChooseNextStep(it.mHistory, it.mReason) == it.mNext);
  }
  AttemptHistory exhausted = afterArrival(idempotent, true);
  exhausted.mArrivals = 2;
  CHECK(ChooseNextStep(exhausted, AttemptReason::ConnectionLost) ==
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
