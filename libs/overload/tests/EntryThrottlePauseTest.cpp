#include <catch2/catch.hpp>

#include "overload/EntryThrottle.h"

using namespace amaranthgap;

namespace {

const ThrottleKey kKey{ .mService = "driver-rounds",
                        .mRequestClass = "statistics",
                        .mParty = "brest",
                        .mImportance = 1 };

TimePoint
TimeAt(int aMillis)
{
  return TimePoint(seconds(100)) + milliseconds(aMillis);
}

} // namespace

// Guards against a stream of few calls that is still throttled 3 s after an
// overload, because the throttle judges the first call after a pause by replies
// from before the pause.
TEST_CASE("a throttle is open 3 s after an overload", "[overload]")
{
  for (const bool refused : { true, false }) {
    for (uint64_t seed = 1; seed <= 50; ++seed) {
      CAPTURE(refused, seed);
      EntryThrottle throttle(seed);
      for (int ms = 0; ms < 6000; ms += 2) {
        if (throttle.Admit(TimeAt(ms), kKey)) {
          throttle.Replied(
            TimeAt(ms), kKey, { .mRefused = ms % 100 != 0, .mPressure = 1 });
        }
      }
      // The last reply before the pause reports a refusal or only a full queue.
      throttle.Replied(
        TimeAt(6000), kKey, { .mRefused = refused, .mPressure = 1 });
      for (int ms = 9000; ms < 12000; ms += 450) {
        CAPTURE(ms);
        CHECK(throttle.Admit(TimeAt(ms), kKey));
        throttle.Replied(TimeAt(ms + 40), kKey, { .mPressure = 0 });
      }
    }
  }
}
