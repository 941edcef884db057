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

// Guards against a slow stream that stays locked out after an overload: the
// first call after a pause was judged by replies from before the pause. Found
// by the demonstration, in which it was refused 3 s after the overload.
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
      // The last reply before the pause is a refusal or a full queue.
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
