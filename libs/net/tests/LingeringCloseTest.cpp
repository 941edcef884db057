#include <catch2/catch.hpp>

#include "net/LingeringClose.h"

using namespace amaranthgap;

namespace {

constexpr LingeringClose::Options kOptions{ .mStallTime = seconds(5),
                                            .mQuietTime = seconds(1),
                                            .mSendingTime = seconds(10) };
constexpr TimePoint kStart{ seconds(100) };

} // namespace

// Guards against a reset while the peer still reads slowly, and against waiting
// without a bound for one that does not read.
TEST_CASE("a connection lingers as long as its peer acknowledges more")
{
  LingeringClose linger(kStart, kStart, 1000, kOptions);
  TimePoint now = kStart;
  for (size_t missing = 1000; missing > 0; missing -= 100) {
    CHECK_FALSE(linger.IsOver(now, missing));
    now += seconds(4);
  }
  CHECK_FALSE(linger.IsOver(now, 100));
  linger.Received(now + milliseconds(900));
  CHECK_FALSE(linger.IsOver(now + milliseconds(900), 100));
  CHECK(linger.IsOver(now + seconds(1), 100));
}

// Guards against waiting for peers that keep connections open that have ended.
TEST_CASE("a connection lingers shortly for a peer that has everything")
{
  LingeringClose linger(kStart, kStart, 1000, kOptions);
  const TimePoint taken = kStart + seconds(3);
  CHECK_FALSE(linger.IsOver(taken, 0));
  CHECK_FALSE(linger.IsOver(taken + milliseconds(999), 0));
  CHECK(linger.IsOver(taken + seconds(1), 0));

  LingeringClose idle(kStart, kStart - seconds(1), 0, kOptions);
  CHECK(idle.IsOver(kStart, 0));
}

// Guards against a reset while a peer still sends a long request, and against
// reading without a bound from one that never stops.
TEST_CASE("a connection lingers for a peer that goes on sending")
{
  LingeringClose linger(kStart, kStart, 0, kOptions);
  TimePoint now = kStart;
  while (now < kStart + kOptions.mSendingTime) {
    linger.Received(now);
    CHECK_FALSE(linger.IsOver(now, 0));
    now += milliseconds(900);
  }
  linger.Received(now);
  CHECK(linger.IsOver(now, 0));
}
