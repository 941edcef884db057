#include <catch2/catch.hpp>

#include "forwarding/RateLimiter.h"
#include "forwarding/UpstreamLimiter.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

/** @return the requests that start if one arrives each millisecond. */
int
StartedIn(RateLimiter& aLimiter, TimePoint aStart, Duration aTime)
{
  int out = 0;
  for (TimePoint now = aStart; now < aStart + aTime; now += milliseconds(1)) {
    out += aLimiter.TryTake(now) ? 1 : 0;
  }
  return out;
}

} // namespace

TEST_CASE("requests start at the rate limit, whatever came before")
{
  for (const double rate : { 2.0, 30.0, 500.0 }) {
    RateLimiter limiter;
    CHECK(limiter.TryTake(kNow)); // No limit is known.
    REQUIRE(limiter.Answered(kNow, rate));
    // A pause or a freeze is not made up for by a burst.
    const TimePoint later = kNow + seconds(30);
    const int started = StartedIn(limiter, later, seconds(4));
    INFO("rate " << rate);
    CHECK(started >= 0.9 * rate * 4);
    CHECK(started <= 1.1 * rate * 4 + 1);
  }
}

TEST_CASE("a rate limit ends when answers have not named it for a while")
{
  RateLimiter limiter;
  limiter.Answered(kNow, 1);
  CHECK_FALSE(limiter.Answered(kNow + milliseconds(50), std::nullopt));
  CHECK(limiter.PerSecond() == 1);
  CHECK(limiter.Answered(kNow + seconds(1), std::nullopt));
  CHECK_FALSE(limiter.PerSecond());
  CHECK(StartedIn(limiter, kNow + seconds(1), milliseconds(10)) == 10);
}

// Guards against an upstream that stays without requests for ever: only answers
// tell that a limit has ended.
TEST_CASE("an upstream with a rate limit of zero is still probed")
{
  RateLimiter limiter;
  limiter.Answered(kNow, 0);
  const int started = StartedIn(limiter, kNow, seconds(8));
  CHECK(started >= 2);
  CHECK(started <= 5);
}

TEST_CASE("a lower rate limit applies at once")
{
  RateLimiter limiter;
  limiter.Answered(kNow, 100);
  CHECK(limiter.Answered(kNow + seconds(1), 5));
  CHECK(StartedIn(limiter, kNow + seconds(1), seconds(1)) <= 6);
}

TEST_CASE("requests above the rate limit wait, or are refused in time")
{
  UpstreamLimiter gate({ .mSlotShare = 1 });
  gate.SetSlots(100);
  gate.Rate().Answered(kNow, 10);
  int queued = 0;
  for (uint64_t n = 0; n < 20; ++n) {
    const auto result = gate.Offer(kNow,
                                   { .mExecution = { n },
                                     .mPriority = 1,
                                     .mIsNested = true,
                                     .mDeadline = kNow + seconds(1) });
    CHECK_FALSE(result.mStarted);
    queued += result.mQueued ? 1 : 0;
  }
  CHECK(queued >= 1);
  CHECK(queued <= 2);
  CHECK_FALSE(gate.StartNextQueued(kNow));
  CHECK(gate.EstimateWait(kNow, 1, true) > milliseconds(100));
  CHECK(gate.StartNextQueued(kNow + milliseconds(100)));
  CHECK_FALSE(gate.StartNextQueued(kNow + milliseconds(100)));
  CHECK(gate.UsableSlots() < 10);
}
