#include <catch2/catch.hpp>

#include "forwarding/NoticeTracker.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

/** Tracker of an upstream with instance "a". */
struct Tracked
{
  Tracked() { mTracker.SetRun(kNow, mRate, "a", 1, false); }

  NoticeTracker mTracker;
  RateLimiter mRate;
};

} // namespace

TEST_CASE("answers set the rate limit, and end it when they stop naming it")
{
  Tracked it;
  CHECK_FALSE(it.mTracker.Answered(kNow, it.mRate, {}, true));
  CHECK_FALSE(it.mTracker.Current(it.mRate));
  const AnswerNotice limited{ .mRequestsPerSecond = 30 };
  CHECK(it.mTracker.Answered(kNow, it.mRate, limited, true));
  CHECK_FALSE(it.mTracker.Answered(kNow, it.mRate, limited, false));
  CHECK(it.mTracker.Current(it.mRate)->mRequestsPerSecond == 30);
  const TimePoint later = kNow + seconds(5);
  // A refusal, or a header that cannot be read, does not end it.
  it.mTracker.Answered(later, it.mRate, {}, false);
  CHECK(it.mTracker.Answered(later, it.mRate, { .mUnusable = "header" }, true));
  CHECK(it.mRate.PerSecond() == 30);
  CHECK(it.mTracker.Answered(later, it.mRate, {}, true));
  CHECK_FALSE(it.mRate.PerSecond());
}

TEST_CASE("a returned rate limit holds until an answer tells")
{
  Tracked it;
  const auto returned = [&](const char* aInstance, double aRate) {
    it.mTracker.Returned(
      kNow, it.mRate, { .mInstance = aInstance, .mRequestsPerSecond = aRate });
    return it.mRate.PerSecond();
  };
  CHECK_FALSE(returned("other", 5));
  CHECK(returned("a", 20) == 20);
  CHECK(returned("a", 30) == 20);
  CHECK(returned("a", 10) == 10);
  it.mTracker.Answered(kNow, it.mRate, { .mRequestsPerSecond = 50 }, true);
  CHECK(returned("a", 4) == 50);
}

// Guards against an order of events: a node that has just started knows no
// instance before the first report.
TEST_CASE("a rate limit returned before the first report is kept")
{
  NoticeTracker tracker;
  RateLimiter rate;
  tracker.Returned(kNow, rate, { .mInstance = "a", .mRequestsPerSecond = 20 });
  CHECK_FALSE(rate.PerSecond());
  tracker.SetRun(kNow, rate, "a", 1, false);
  CHECK(rate.PerSecond() == 20);
}

TEST_CASE("a rate limit ends with its instance, but not with a restart")
{
  Tracked it;
  it.mTracker.Answered(kNow, it.mRate, { .mRequestsPerSecond = 30 }, true);
  it.mTracker.SetRun(kNow, it.mRate, "a", 2, false);
  CHECK(it.mRate.PerSecond() == 30);
  it.mTracker.SetRun(kNow, it.mRate, "b", 3, true);
  CHECK_FALSE(it.mRate.PerSecond());
  REQUIRE(it.mTracker.Current(it.mRate));
  CHECK(it.mTracker.Current(it.mRate)->mIsLeaving);
  CHECK(it.mTracker.Current(it.mRate)->mStartedMillis == 3);
}
