#include <catch2/catch.hpp>

#include "forwarding/HeartbeatTracker.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

UpstreamReport
MakeReport(const std::string& aInstance,
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

TEST_CASE("a delayed report is ignored")
{
  struct Case
  {
    const char* mName;
    UpstreamReport mDelayed;
  };
  const std::vector<Case> cases{
    { "older report of the same run", MakeReport("new", 2000, 3) },
    { "the same report again", MakeReport("new", 2000, 5) },
    { "report of an earlier run", MakeReport("old", 1000, 90) },
    { "earlier run under the same id", MakeReport("new", 1000, 90) },
  };
  for (const Case& it : cases) {
    INFO(it.mName);
    HeartbeatTracker log("10.0.0.1:80");
    REQUIRE(log.Offer(kNow, MakeReport("new", 2000, 5)) ==
            ReportOutcome::Current);
    CHECK(log.Offer(kNow, it.mDelayed) == ReportOutcome::Stale);
    CHECK(log.Latest()->mInstance == "new");
    CHECK(log.TakesWork());
  }
}

TEST_CASE("a restarted run with the same id replaces the earlier one")
{
  HeartbeatTracker log("10.0.0.1:80");
  log.Offer(kNow, MakeReport("a", 1000, 50, true));
  CHECK_FALSE(log.TakesWork());
  CHECK(log.Offer(kNow, MakeReport("a", 2000, 1)) == ReportOutcome::Current);
  CHECK(log.TakesWork());
}

TEST_CASE("a draining or ended run takes no work, whatever it reports later")
{
  HeartbeatTracker log("10.0.0.1:80");
  log.Offer(kNow, MakeReport("a", 1000, 1, true));
  log.Offer(kNow, MakeReport("a", 1000, 2, false));
  CHECK_FALSE(log.TakesWork());

  HeartbeatTracker other("10.0.0.1:80");
  other.Offer(kNow, MakeReport("a", 1000, 1));
  CHECK_FALSE(other.Ended(kNow, "b", 0));
  CHECK(other.TakesWork());
  CHECK(other.Ended(kNow, "a", 0));
  other.Offer(kNow, MakeReport("a", 1000, 2));
  CHECK_FALSE(other.TakesWork());
  other.Offer(kNow, MakeReport("b", 2000, 1));
  CHECK(other.TakesWork());
}

TEST_CASE("a report of an upstream at another address is rejected")
{
  HeartbeatTracker log("10.0.0.2:80");
  CHECK(log.Offer(kNow, MakeReport("a", 1000, 1)) == ReportOutcome::OtherHost);
  CHECK(log.Latest() == nullptr);
}

// Guards against new work for an upstream that left around a restart of its
// node: the new process gets the end of a run that it knows nothing of, and a
// late report of that run afterwards.
TEST_CASE("a run that ended takes no work when its report comes afterwards")
{
  HeartbeatTracker log("10.0.0.1:80");
  CHECK_FALSE(log.Ended(kNow, "a", 1000));
  log.Offer(kNow + seconds(2), MakeReport("a", 1000, 9));
  CHECK_FALSE(log.TakesWork());
  // A later run may have the same identifier.
  log.Offer(kNow + seconds(3), MakeReport("a", 2000, 1));
  CHECK(log.TakesWork());
}

TEST_CASE("an end without a start holds for the time that a report may be late")
{
  HeartbeatTracker log("10.0.0.1:80");
  log.Ended(kNow, "a", 0);
  log.Offer(kNow + seconds(2), MakeReport("a", 0, 9));
  CHECK_FALSE(log.TakesWork());
  HeartbeatTracker other("10.0.0.1:80");
  other.Ended(kNow, "a", 0);
  other.Offer(kNow + seconds(40), MakeReport("a", 0, 1));
  CHECK(other.TakesWork());
}

// Guards against the late end of an earlier run that stops its successor.
TEST_CASE("the end of an earlier run with the same id changes nothing")
{
  HeartbeatTracker log("10.0.0.1:80");
  log.Offer(kNow, MakeReport("a", 2000, 1));
  CHECK_FALSE(log.Ended(kNow, "a", 1000));
  CHECK(log.TakesWork());
  CHECK(log.Ended(kNow, "a", 2000));
  CHECK_FALSE(log.TakesWork());
}

// Guards against an end that is forgotten for that of an earlier instance.
TEST_CASE("the ends of several instances are kept")
{
  HeartbeatTracker log("10.0.0.1:80");
  log.Ended(kNow, "b", 2000);
  log.Ended(kNow, "a", 1000);
  log.Offer(kNow + seconds(1), MakeReport("b", 2000, 9));
  CHECK_FALSE(log.TakesWork());
  log.Offer(kNow + seconds(1), MakeReport("b", 3000, 1));
  CHECK(log.TakesWork());
}
