#include <catch2/catch.hpp>

#include "UpstreamModel.h"

using namespace amaranthgap;

namespace {

/** Upstreams like those of the deployments. */
struct Upstream
{
  const char* mName;
  uint32_t mSlots;
  double mSeconds;
};

const Upstream kUpstreams[] = {
  { "140 slots, 20 ms", 140, 0.02 },
  { "35 slots, 30 ms", 35, 0.03 },
  { "25 slots, 100 ms", 25, 0.1 },
  { "8 slots, 200 ms", 8, 0.2 },
};

const std::pair<const char*, Shape> kShapes[] = {
  { "constant", Shape::Constant },
  { "lognormal", Shape::LogNormal },
  { "bimodal", Shape::Bimodal },
};

// The goodput target of the design page.
constexpr double kUse = 0.95;

ModelOptions
Options(const Upstream& aUpstream, Shape aShape)
{
  ModelOptions options;
  options.mSlots = aUpstream.mSlots;
  options.mClasses = { { aUpstream.mSeconds, aShape } };
  options.mLoad = 3;
  // As the admission queue allows: the target delay or half a run time.
  options.mMaxWaiting = uint32_t(
    std::ceil(aUpstream.mSlots * std::max(0.05 / aUpstream.mSeconds, 0.5)));
  return options;
}

void
ForAll(const std::function<void(const Upstream&, Shape, uint64_t)>& aCheck)
{
  for (const auto& upstream : kUpstreams) {
    for (const auto& [name, shape] : kShapes) {
      for (const uint64_t seed : { 1, 2, 3 }) {
        INFO(upstream.mName << ", " << name << ", seed " << seed);
        aCheck(upstream, shape, seed);
      }
    }
  }
}

} // namespace

// Guards against a limit that wastes a right announcement, that follows a wrong
// one, or that drifts upwards under constant overload.
TEST_CASE("the limit finds the capacity from any announcement", "[limiter]")
{
  for (const double announced : { 1.0, 4.0, 0.5 }) {
    INFO("announced over true slots: " << announced);
    ForAll([&](const Upstream& aUpstream, Shape aShape, uint64_t aSeed) {
      const ConcurrencyLimiter::Options limiter{
        .mSlots = uint32_t(announced * aUpstream.mSlots)
      };
      UpstreamModel model(Options(aUpstream, aShape), limiter, aSeed);
      model.RunUntil(60);
      const auto late = model.RunUntil(160);
      CHECK(late.mUse >= kUse);
      CHECK(late.mMeanLimit <= 1.5 * aUpstream.mSlots);
      CHECK(late.mMaxLimit <= 2.5 * aUpstream.mSlots);
    });
  }
}

// Guards against a limit that collapses when the upstream itself is slow, which
// would cost capacity and help nothing.
TEST_CASE("a slow upstream keeps its limit", "[limiter]")
{
  ForAll([&](const Upstream& aUpstream, Shape aShape, uint64_t aSeed) {
    auto options = Options(aUpstream, aShape);
    options.mSlowdown = [](double aTime) {
      return aTime > 30 && aTime < 90 ? 5.0 : 1.0;
    };
    UpstreamModel model(options, { .mSlots = aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    CHECK(model.RunUntil(90).mUse >= kUse);
    CHECK(model.RunUntil(150).mUse >= kUse);
  });
}

// Guards against a queue inside the upstream when it loses slots, and against
// capacity that is not taken up again when the slots return.
TEST_CASE("the limit follows lost and regained slots", "[limiter]")
{
  ForAll([&](const Upstream& aUpstream, Shape aShape, uint64_t aSeed) {
    auto options = Options(aUpstream, aShape);
    options.mCapacity = [](double aTime) {
      return aTime > 30 && aTime < 90 ? 0.2 : 1.0;
    };
    UpstreamModel model(options, { .mSlots = aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    CHECK(model.RunUntil(90).mUse >= kUse);
    model.RunUntil(120);
    CHECK(model.RunUntil(180).mUse >= kUse);
  });
}

// Guards against a change of the mix of classes being taken for a queue.
TEST_CASE("classes of different cost share one limit", "[limiter]")
{
  ForAll([&](const Upstream& aUpstream, Shape aShape, uint64_t aSeed) {
    auto options = Options(aUpstream, aShape);
    options.mClasses.push_back({ 3 * aUpstream.mSeconds, aShape });
    options.mClasses.push_back({ aUpstream.mSeconds / 5, aShape });
    UpstreamModel model(options, { .mSlots = aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    const auto late = model.RunUntil(130);
    CHECK(late.mUse >= kUse);
    CHECK(late.mMeanLimit <= 1.5 * aUpstream.mSlots);
  });
}

// Guards against a full load on a cold upstream.
TEST_CASE("a cold upstream is loaded over its warm-up time", "[limiter]")
{
  const TimePoint start{ seconds(1000) };
  const ConcurrencyLimiter limiter(
    { .mSlots = 40, .mWarmUp = seconds(10), .mStart = start });
  const std::pair<Duration, uint32_t> expected[] = { { seconds(0), 10 },
                                                     { seconds(5), 25 },
                                                     { seconds(10), 40 } };
  for (const auto& [age, limit] : expected) {
    CHECK(limiter.Limit(start + age) == limit);
  }
  CHECK(limiter.Regime(start) == LimitRegime::WarmUp);
  CHECK(limiter.Regime(start + seconds(10)) == LimitRegime::Steady);
}

// Guards against calls that the upstream keeps refusing itself, and against a
// limit that never comes back after it did.
TEST_CASE("shed answers lower the limit", "[limiter]")
{
  ForAll([&](const Upstream& aUpstream, Shape aShape, uint64_t aSeed) {
    auto options = Options(aUpstream, aShape);
    options.mShedAbove = aUpstream.mSlots;
    UpstreamModel model(options, { .mSlots = 2 * aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    const auto late = model.RunUntil(90);
    CHECK(late.mShedShare <= 0.02);
    CHECK(late.mUse >= 0.9);
  });
}

// Guards against a limit of zero or above its bounds, whatever is reported.
TEST_CASE("the limit stays within its bounds", "[limiter]")
{
  for (const uint32_t slots : { 0U, 1U, 7U, 1000U }) {
    for (const uint64_t seed : { 1, 2, 3 }) {
      ConcurrencyLimiter limiter({ .mSlots = slots, .mMaxCalls = 64 });
      Rng rng(seed);
      TimePoint now{};
      for (int i = 0; i < 20000; ++i) {
        now += microseconds(rng.Below(2000));
        const uint32_t limit = limiter.Limit(now);
        REQUIRE(limit >= 1);
        REQUIRE(limit <= std::min(64U, 4 * std::max(1U, slots)));
        limiter.Started(now, uint32_t(rng.Below(limit + 5)), rng.Below(2) > 0);
        limiter.Finished(now,
                         { .mClass = rng.Below(600),
                           .mStarted = now - milliseconds(rng.Below(50)),
                           .mOwnTime = milliseconds(rng.Below(50)) - seconds(0),
                           .mShed = rng.Below(10) == 0 });
      }
    }
  }
}
