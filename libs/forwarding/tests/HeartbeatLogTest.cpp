#include <catch2/catch.hpp>

#include "forwarding/HeartbeatTracker.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

UpstreamReport
Report(const std::string& aInstance,
       int64_t aStarted,
       uint64_t aSequence,
       bool aDraining = false)
{
  return { .mInstance = aInstance,
           .mService = "logs",
           .mAddress = "10.0.0.1:80",
           .mSlots = 8,
           .mDraining = aDraining,
           .mStartedMillis = aStarted,
           .mSequence = aSequence };
}

} // namespace

TEST_CASE("a delayed report changes nothing")
{
  struct Case
  {
    const char* mName;
    UpstreamReport mLate;
  };
  const std::vector<Case> cases{
    { "older report of the same run", Report("new", 2000, 3) },
    { "the same report again", Report("new", 2000, 5) },
    { "report of an earlier run", Report("old", 1000, 90) },
    { "earlier run under the same id", Report("new", 1000, 90) },
  };
  for (const Case& it : cases) {
    INFO(it.mName);
    HeartbeatTracker log("10.0.0.1:80");
    REQUIRE(log.Offer(kNow, Report("new", 2000, 5)) == ReportOutcome::Current);
    CHECK(log.Offer(kNow, it.mLate) == ReportOutcome::Stale);
    CHECK(log.Latest()->mInstance == "new");
    CHECK(log.TakesWork());
  }
}

TEST_CASE("a run that restarts under its id counts anew")
{
  HeartbeatTracker log("10.0.0.1:80");
  log.Offer(kNow, Report("a", 1000, 50, true));
  CHECK_FALSE(log.TakesWork());
  CHECK(log.Offer(kNow, Report("a", 2000, 1)) == ReportOutcome::Current);
  CHECK(log.TakesWork());
}

TEST_CASE("a leaving run takes no work whatever it says later")
{
  HeartbeatTracker log("10.0.0.1:80");
  log.Offer(kNow, Report("a", 1000, 1, true));
  log.Offer(kNow, Report("a", 1000, 2, false));
  CHECK_FALSE(log.TakesWork());

  HeartbeatTracker other("10.0.0.1:80");
  other.Offer(kNow, Report("a", 1000, 1));
  CHECK_FALSE(other.Ended("b"));
  CHECK(other.TakesWork());
  CHECK(other.Ended("a"));
  other.Offer(kNow, Report("a", 1000, 2));
  CHECK_FALSE(other.TakesWork());
  other.Offer(kNow, Report("b", 2000, 1));
  CHECK(other.TakesWork());
}

TEST_CASE("an upstream of another address is not the one beside the node")
{
  HeartbeatTracker log("10.0.0.2:80");
  CHECK(log.Offer(kNow, Report("a", 1000, 1)) == ReportOutcome::OtherHost);
  CHECK(log.Latest() == nullptr);
}
