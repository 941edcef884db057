#include <catch2/catch.hpp>

#include "forwarding/PeerNotices.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

} // namespace

TEST_CASE(
  "the latest notice of a node is kept until its upstream tells nothing")
{
  PeerNotices notices;
  CHECK_FALSE(notices.Find(kNow, "n"));
  notices.Record(kNow, "n", { .mInstance = "a", .mRequestsPerSecond = 30 });
  notices.Record(kNow, "n", { .mInstance = "a", .mRequestsPerSecond = 20 });
  REQUIRE(notices.Find(kNow, "n"));
  CHECK(notices.Find(kNow, "n")->mRequestsPerSecond == 20);
  CHECK_FALSE(notices.Find(kNow, "other"));
  notices.Clear("n");
  CHECK_FALSE(notices.Find(kNow, "n"));
}

// Guards against a node that restarted and learned only the rate limit again.
TEST_CASE("a run that leaves is not taken for one that stays")
{
  PeerNotices notices;
  notices.Record(
    kNow, "n", { .mInstance = "a", .mStartedMillis = 1, .mIsLeaving = true });
  notices.Record(
    kNow,
    "n",
    { .mInstance = "a", .mStartedMillis = 1, .mRequestsPerSecond = 5 });
  CHECK(notices.Find(kNow, "n")->mIsLeaving);
  notices.Record(
    kNow,
    "n",
    { .mInstance = "a", .mStartedMillis = 2, .mRequestsPerSecond = 5 });
  CHECK_FALSE(notices.Find(kNow, "n")->mIsLeaving);
}

TEST_CASE("notices expire")
{
  PeerNotices notices;
  notices.Record(kNow, "n", { .mInstance = "a", .mIsLeaving = true });
  CHECK(notices.Find(kNow + minutes(9), "n"));
  CHECK_FALSE(notices.Find(kNow + minutes(11), "n"));
  notices.Expire(kNow + minutes(11));
  CHECK_FALSE(notices.Find(kNow, "n"));
}
