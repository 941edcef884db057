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
