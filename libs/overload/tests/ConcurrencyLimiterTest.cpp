#include <catch2/catch.hpp>

#include "UpstreamModel.h"

using namespace amaranthgap;

namespace {

/** Slots and mean service time, similar to upstreams of the deployments. */
struct UpstreamCase
{
  const char* mName;
  uint32_t mSlots;
  double mMeanSeconds;
};

const UpstreamCase kUpstreamCases[] = {
  { "140 slots, 20 ms", 140, 0.02 },
  { "35 slots, 30 ms", 35, 0.03 },
  { "25 slots, 100 ms", 25, 0.1 },
  { "8 slots, 200 ms", 8, 0.2 },
};

const std::pair<const char*, ServiceTimeDistribution> kDistributions[] = {
  { "constant", ServiceTimeDistribution::Constant },
  { "lognormal", ServiceTimeDistribution::LogNormal },
  { "bimodal", ServiceTimeDistribution::Bimodal },
};

// Goodput target of the design page, as a share of the capacity.
constexpr double kMinUtilisation = 0.95;

UpstreamModelOptions
MakeModelOptions(const UpstreamCase& aUpstream,
                 ServiceTimeDistribution aDistribution)
{
  UpstreamModelOptions options;
  options.mSlots = aUpstream.mSlots;
  options.mClasses = { { aUpstream.mMeanSeconds, aDistribution } };
  options.mLoad = 3;
  // As many calls as the admission queue allows: a wait of the target delay
  // (50 ms) or of half a service time, whichever is longer.
  options.mMaxWaiting = uint32_t(
    std::ceil(aUpstream.mSlots * std::max(0.05 / aUpstream.mMeanSeconds, 0.5)));
  return options;
}

void
ForEachCase(
  const std::function<
    void(const UpstreamCase&, ServiceTimeDistribution, uint64_t)>& aCheck)
{
  for (const auto& upstream : kUpstreamCases) {
    for (const auto& [name, distribution] : kDistributions) {
      for (const uint64_t seed : { 1, 2, 3 }) {
        INFO(upstream.mName << ", " << name << ", seed " << seed);
        aCheck(upstream, distribution, seed);
      }
    }
  }
}

} // namespace

// Guards against a limit that moves away from a correct announcement of slots,
// that stays at a wrong one, or that drifts upwards under constant overload.
TEST_CASE("the limit converges to the capacity from any announced slots",
          "[limiter]")
{
  for (const double announced : { 1.0, 4.0, 0.5 }) {
    INFO("announced over true slots: " << announced);
    ForEachCase([&](const UpstreamCase& aUpstream,
                    ServiceTimeDistribution aDistribution,
                    uint64_t aSeed) {
      const ConcurrencyLimiter::Options limiter{
        .mSlots = uint32_t(announced * aUpstream.mSlots)
      };
      UpstreamModel model(
        MakeModelOptions(aUpstream, aDistribution), limiter, aSeed);
      model.RunUntil(60);
      const auto settled = model.RunUntil(160);
      CHECK(settled.mUtilisation >= kMinUtilisation);
      CHECK(settled.mMeanLimit <= 1.5 * aUpstream.mSlots);
      CHECK(settled.mMaxLimit <= 2.5 * aUpstream.mSlots);
    });
  }
}

// Guards against a limit that is cut when every call of the upstream is slow.
// The cut would lose capacity without shortening the calls.
TEST_CASE("a slow upstream keeps its limit", "[limiter]")
{
  ForEachCase([&](const UpstreamCase& aUpstream,
                  ServiceTimeDistribution aDistribution,
                  uint64_t aSeed) {
    auto options = MakeModelOptions(aUpstream, aDistribution);
    options.mServiceTimeFactor = [](double aTime) {
      return aTime > 30 && aTime < 90 ? 5.0 : 1.0;
    };
    UpstreamModel model(options, { .mSlots = aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    CHECK(model.RunUntil(90).mUtilisation >= kMinUtilisation);
    CHECK(model.RunUntil(150).mUtilisation >= kMinUtilisation);
  });
}

// Guards against capacity that is lost while the upstream has fewer slots than
// announced, or that stays unused after the slots return.
TEST_CASE("the limit follows lost and regained slots", "[limiter]")
{
  ForEachCase([&](const UpstreamCase& aUpstream,
                  ServiceTimeDistribution aDistribution,
                  uint64_t aSeed) {
    auto options = MakeModelOptions(aUpstream, aDistribution);
    options.mCapacityFactor = [](double aTime) {
      return aTime > 30 && aTime < 90 ? 0.2 : 1.0;
    };
    UpstreamModel model(options, { .mSlots = aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    CHECK(model.RunUntil(90).mUtilisation >= kMinUtilisation);
    model.RunUntil(120);
    CHECK(model.RunUntil(180).mUtilisation >= kMinUtilisation);
  });
}

// Guards against a limiter that takes variation in the mix of request classes
// for queueing in the upstream.
TEST_CASE("request classes of different cost share one limit", "[limiter]")
{
  ForEachCase([&](const UpstreamCase& aUpstream,
                  ServiceTimeDistribution aDistribution,
                  uint64_t aSeed) {
    auto options = MakeModelOptions(aUpstream, aDistribution);
    options.mClasses.push_back({ 3 * aUpstream.mMeanSeconds, aDistribution });
    options.mClasses.push_back({ aUpstream.mMeanSeconds / 5, aDistribution });
    UpstreamModel model(options, { .mSlots = aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    const auto settled = model.RunUntil(130);
    CHECK(settled.mUtilisation >= kMinUtilisation);
    CHECK(settled.mMeanLimit <= 1.5 * aUpstream.mSlots);
  });
}

// Guards against full load on an upstream that has just started.
TEST_CASE("the limit rises over the warm-up time of an upstream", "[limiter]")
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

// Guards against a limit that stays above the number of calls at which the
// upstream sheds, or that stays too low after the upstream has shed calls.
TEST_CASE("calls shed by the upstream lower the limit", "[limiter]")
{
  ForEachCase([&](const UpstreamCase& aUpstream,
                  ServiceTimeDistribution aDistribution,
                  uint64_t aSeed) {
    auto options = MakeModelOptions(aUpstream, aDistribution);
    options.mShedThreshold = aUpstream.mSlots;
    UpstreamModel model(options, { .mSlots = 2 * aUpstream.mSlots }, aSeed);
    model.RunUntil(30);
    const auto settled = model.RunUntil(90);
    CHECK(settled.mShedShare <= 0.02);
    CHECK(settled.mUtilisation >= 0.9);
  });
}

// Guards against a limit of zero or above the maximum after arbitrary samples.
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
