#include <catch2/catch.hpp>

#include "net/EventLoop.h"
#include "proxy/CrashDetector.h"

using namespace amaranthgap;

namespace {

const TimePoint kStart{ seconds(100) };

CrashedRun
LostRun(const std::string& aId)
{
  return { .mRequestId = aId };
}

} // namespace

// Guards against a silent upstream whose next run reports itself late.
TEST_CASE("runs lost at an upstream that fell silent are kept until it is back")
{
  EventLoop loop;
  CrashDetector detector(loop, "127.77.1.1:7500", [](TimePoint) {});
  detector.RunLost(kStart, LostRun("silent"));
  const auto lost = detector.TakeLostRuns(kStart + seconds(20));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].mRequestId == "silent");
}

// Guards against suspects of a connection that was lost long before a crash.
TEST_CASE("runs lost before an answer are forgotten after some seconds")
{
  EventLoop loop;
  CrashDetector detector(loop, "127.77.1.1:7500", [](TimePoint) {});
  detector.RunLost(kStart, LostRun("reset"));
  detector.RunAnswered(kStart + seconds(1));
  detector.RunLost(kStart + seconds(2), LostRun("silent"));
  const auto lost = detector.TakeLostRuns(kStart + seconds(20));
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].mRequestId == "silent");
}

// Guards against requests sent to a silent upstream that hide the one that
// ended it.
TEST_CASE("a silent upstream leaves the runs that were lost first as suspects")
{
  EventLoop loop;
  CrashDetector detector(loop, "127.77.1.1:7500", [](TimePoint) {});
  for (int n = 0; n < 2000; ++n) {
    detector.RunLost(kStart + milliseconds(n), LostRun(std::to_string(n)));
  }
  const auto lost = detector.TakeLostRuns(kStart + seconds(20));
  REQUIRE_FALSE(lost.empty());
  CHECK(lost[0].mRequestId == "0");
}
