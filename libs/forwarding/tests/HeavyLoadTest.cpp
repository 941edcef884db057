#include <iostream>

#include <catch2/catch.hpp>

#include "FleetSimulation.h"

using namespace amaranthgap;

namespace {

constexpr uint64_t kSeeds = 3;

// Six data centres in three regions. Reads and bookings lead to rules, and each
// rule to four offsets at the service with the fewest slots. Upstreams differ
// in speed, so that one region has half of the capacity.
FleetSimulation::Options
BookingFleet(uint64_t aSeed)
{
  FleetSimulation::Options out{
    .mRegions = { "east", "north", "south", "east", "north", "south" },
    .mSeed = aSeed
  };
  out.mServices = {
    { .mName = "logs", .mSlots = 159, .mSpeeds = { 0.6, 1.0, 1.4 } },
    { .mName = "crews", .mSlots = 159, .mSpeeds = { 0.6, 1.0, 1.4 } },
    { .mName = "alarms", .mSlots = 159, .mSpeeds = { 0.7, 0.7, 1.6 } },
    { .mName = "pits", .mSlots = 30, .mSpeeds = { 0.7, 0.7, 1.6 } },
  };
  out.mKinds = {
    { .mName = "read",
      .mService = "logs",
      .mPriority = 2,
      .mWorkMillis = 120,
      .mWorkSigma = 0.8,
      .mLatencyTargetMillis = 1500,
      .mTimeoutMillis = 800,
      .mKilobytes = 0.4,
      .mValue = 1,
      .mCalls = { { "peek", 1 } } },
    { .mName = "book",
      .mService = "crews",
      .mIdempotent = false,
      .mWorkMillis = 160,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 1500,
      .mKilobytes = 0.7,
      .mValue = 3,
      .mCalls = { { "rule", 2 } } },
    { .mName = "ack",
      .mService = "alarms",
      .mIdempotent = false,
      .mWorkMillis = 84,
      .mWorkSigma = 0.8,
      .mLatencyTargetMillis = 300,
      .mCallerTimeoutMillis = 1200,
      .mKilobytes = 10,
      .mValue = 3 },
    { .mName = "now",
      .mService = "pits",
      .mPriority = 1,
      .mWorkMillis = 48,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 250,
      .mTimeoutMillis = 800,
      .mCallerTimeoutMillis = 1000,
      .mKilobytes = 5,
      .mValue = 2 },
    { .mName = "peek",
      .mService = "crews",
      .mWorkMillis = 15,
      .mTimeoutMillis = 2500,
      .mCalls = { { "rule", 1 } } },
    { .mName = "rule",
      .mService = "alarms",
      .mWorkMillis = 15,
      .mLatencyTargetMillis = 800,
      .mTimeoutMillis = 2000,
      .mCalls = { { "offset", 4 } } },
    { .mName = "offset",
      .mService = "pits",
      .mWorkMillis = 30,
      .mLatencyTargetMillis = 300,
      .mTimeoutMillis = 700 },
  };
  return out;
}

// Requests a second; the slow service carries 1.6 factor that.
FleetSimulation::Rates
BookingRates(double aFactor)
{
  return { { "read", 395 * aFactor },
           { "book", 202 * aFactor },
           { "ack", 156 * aFactor },
           { "now", 147 * aFactor } };
}

// Few requests with long chains: an invoice leads to ten stocks, one after the
// other, which takes almost its timeout where upstreams are slow.
FleetSimulation::Options
LongChainFleet(uint64_t aSeed)
{
  FleetSimulation::Options out{
    .mRegions = { "west", "south", "east", "west", "south", "east" },
    .mSeed = aSeed
  };
  out.mServices = {
    { .mName = "status", .mSlots = 36, .mSpeeds = { 1.6, 0.7, 0.7 } },
    { .mName = "bills", .mSlots = 36, .mSpeeds = { 1.6, 0.7, 0.7 } },
    { .mName = "slots", .mSlots = 36, .mSpeeds = { 1.4, 1.0, 0.6 } },
    { .mName = "rounds", .mSlots = 10, .mSpeeds = { 1.4, 1.0, 0.6 } },
  };
  out.mKinds = {
    { .mName = "status",
      .mService = "status",
      .mPriority = 2,
      .mWorkMillis = 220,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 2000,
      .mTimeoutMillis = 1500,
      .mCallerTimeoutMillis = 6000,
      .mKilobytes = 1.5,
      .mValue = 1,
      .mCalls = { { "tariff", 1 } } },
    { .mName = "invoice",
      .mService = "bills",
      .mIdempotent = false,
      .mWorkMillis = 290,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 2000,
      .mTimeoutMillis = 1500,
      .mCallerTimeoutMillis = 6000,
      .mKilobytes = 5,
      .mValue = 3,
      .mCalls = { { "slot", 2 } } },
    { .mName = "sheet",
      .mService = "rounds",
      .mPriority = 1,
      .mWorkMillis = 88,
      .mLatencyTargetMillis = 400,
      .mTimeoutMillis = 800,
      .mCallerTimeoutMillis = 1500,
      .mKilobytes = 5,
      .mValue = 2 },
    { .mName = "tariff",
      .mService = "bills",
      .mWorkMillis = 15,
      .mLatencyTargetMillis = 1200,
      .mTimeoutMillis = 3000,
      .mCalls = { { "slot", 1 } } },
    { .mName = "slot",
      .mService = "slots",
      .mWorkMillis = 15,
      .mLatencyTargetMillis = 1200,
      .mTimeoutMillis = 2500,
      .mCalls = { { "stock", 5 } } },
    { .mName = "stock",
      .mService = "rounds",
      .mWorkMillis = 55,
      .mLatencyTargetMillis = 300,
      .mTimeoutMillis = 700 },
  };
  return out;
}

FleetSimulation::Rates
LongChainRates(double aFactor)
{
  return { { "status", 57.5 * aFactor },
           { "invoice", 27.3 * aFactor },
           { "sheet", 23 * aFactor } };
}

// One service of three data centres in one region, and requests without calls
// at three priorities.
constexpr double kCapacityPerSecond = 3 * 47 / 0.05; // Requests a second.

FleetSimulation::Options
SingleServiceFleet(uint64_t aSeed)
{
  FleetSimulation::Options out{ .mRegions = { "east", "east", "east" },
                                .mSeed = aSeed };
  out.mServices = { { .mName = "one", .mSlots = 50, .mSpeeds = { 1 } } };
  for (uint32_t priority = 0; priority < 3; ++priority) {
    out.mKinds.push_back({ .mName = "rank" + std::to_string(priority),
                           .mService = "one",
                           .mPriority = priority,
                           .mWorkMillis = 50,
                           .mLatencyTargetMillis = 400,
                           .mCallerTimeoutMillis = 1000,
                           .mValue = 1 });
  }
  return out;
}

FleetSimulation::Rates
PriorityRates(double aFirst, double aSecond, double aThird)
{
  return { { "rank0", aFirst * kCapacityPerSecond },
           { "rank1", aSecond * kCapacityPerSecond },
           { "rank2", aThird * kCapacityPerSecond } };
}

/** Plays a load until it has settled, and then for ten seconds. */
void
SimulateSteadyState(FleetSimulation& aSimulation,
                    const FleetSimulation::Rates& aRates)
{
  aSimulation.Simulate(seconds(3), aRates);
  aSimulation.ResetOutcomes();
  aSimulation.Simulate(seconds(10), aRates);
}

} // namespace

// Guards against an order of shedding other than that of the priorities, and
// against capacity that is left unused.
TEST_CASE("under overload the least important requests are refused first")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(SingleServiceFleet(seed));
    SimulateSteadyState(simulation, PriorityRates(0.3, 0.3, 0.9));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("rank0").ServedShare() >= 0.99);
    CHECK(simulation.Outcome("rank1").ServedShare() >= 0.95);
    CHECK(simulation.Outcome("rank2").ServedShare() >= 0.3);
    CHECK(simulation.Served() >= 10 * 0.95 * kCapacityPerSecond);
    // Run time and at most 100 ms of waiting.
    CHECK(simulation.Outcome("rank0").MeanLatencyMillis() <= 150);
  }
}

TEST_CASE("no kind of request is starved under a heavy overload")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(SingleServiceFleet(seed));
    SimulateSteadyState(simulation, PriorityRates(1.2, 0.3, 0.9));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("rank2").ServedShare() >= 0.15);
    CHECK(simulation.Outcome("rank0").ServedShare() >=
          simulation.Outcome("rank1").ServedShare());
    CHECK(simulation.Outcome("rank1").ServedShare() >=
          simulation.Outcome("rank2").ServedShare() - 0.02);
  }
}

TEST_CASE("nothing is refused a second after an overload")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(SingleServiceFleet(seed));
    SimulateSteadyState(simulation, PriorityRates(0.3, 0.3, 0.9));
    simulation.Simulate(seconds(1), PriorityRates(0.15, 0.15, 0.2));
    simulation.ResetOutcomes();
    simulation.Simulate(seconds(5), PriorityRates(0.15, 0.15, 0.2));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("rank0").mRefused == 0);
    CHECK(simulation.Outcome("rank1").mRefused == 0);
    CHECK(simulation.Outcome("rank2").ServedShare() >= 0.99);
  }
}

// Guards against shares that swing between the rare replies of a node.
TEST_CASE("nodes that see few requests cut them as well")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation::Options options = SingleServiceFleet(seed);
    options.mServices[0].mSlots = 4; // 3 at once, of 50 ms: 60 a second each.
    FleetSimulation simulation(options);
    constexpr double kSmallCapacityPerSecond = 3 * 60;
    const FleetSimulation::Rates rates{
      { "rank0", 0.4 * kSmallCapacityPerSecond },
      { "rank1", 0.4 * kSmallCapacityPerSecond },
      { "rank2", 0.8 * kSmallCapacityPerSecond }
    };
    SimulateSteadyState(simulation, rates);
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("rank0").ServedShare() >= 0.95);
    CHECK(simulation.Outcome("rank0").ServedShare() >=
          simulation.Outcome("rank1").ServedShare());
    CHECK(simulation.Outcome("rank1").ServedShare() >=
          simulation.Outcome("rank2").ServedShare());
    CHECK(simulation.Outcome("rank0").MeanLatencyMillis() <= 500);
  }
}

// Guards against capacity of other regions that is left unused while the own
// one refuses.
TEST_CASE("a load that all regions together can carry is served")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(BookingFleet(seed));
    // The pits of two regions are 1.26 factor too small for their own callers.
    SimulateSteadyState(simulation, BookingRates(1.4));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("book").ServedShare() >= 0.99);
    CHECK(simulation.Outcome("ack").ServedShare() >= 0.99);
    CHECK(simulation.Outcome("now").ServedShare() >= 0.98);
    CHECK(simulation.Outcome("read").ServedShare() >= 0.97);
  }
}

// Guards against trees that fail halfway.
TEST_CASE("under overload bookings are served and reads are refused early")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(BookingFleet(seed));
    // 1.4 factor what all pits can carry; bookings and views need 0.75 of it.
    SimulateSteadyState(simulation, BookingRates(2.24));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("book").ServedShare() >= 0.98);
    CHECK(simulation.Outcome("now").ServedShare() >= 0.9);
    CHECK(simulation.Outcome("read").ServedShare() >= 0.2);
  }
}

// Guards against work for trees that fail. Some exceed their timeout by their
// own run time, with and without an overload.
TEST_CASE("an overload adds at most two hundredths of wasted work")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation baseline(BookingFleet(seed));
    SimulateSteadyState(baseline, BookingRates(1));
    FleetSimulation simulation(BookingFleet(seed));
    SimulateSteadyState(simulation, BookingRates(2.24));
    INFO("seed " << seed << '\n'
                 << baseline.FormatOutcomes() << simulation.FormatOutcomes());
    CHECK(simulation.WastedWork() <= baseline.WastedWork() + 0.02);
  }
}

// Guards against calls that crowd the data centre in which the next service is,
// while the rest of the region is idle.
TEST_CASE("the loss of one upstream does not overload its neighbour")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(BookingFleet(seed));
    simulation.Simulate(seconds(4), BookingRates(1.4));
    simulation.RemoveUpstream("crews", 5);
    SimulateSteadyState(simulation, BookingRates(1.4));
    INFO("seed " << seed << '\n'
                 << simulation.FormatOutcomes()
                 << simulation.FormatUpstreams("pits"));
    CHECK(simulation.Outcome("book").ServedShare() >= 0.99);
    CHECK(simulation.Outcome("read").ServedShare() >= 0.95);
  }
}

// Guards against callers whose own data centre is too slow for a long chain,
// and against waits at each call of it.
TEST_CASE("long chains run where they end in time")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(LongChainFleet(seed));
    simulation.Simulate(seconds(10), LongChainRates(0.6));
    SimulateSteadyState(simulation, LongChainRates(0.6));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("invoice").ServedShare() >= 0.95);
    CHECK(simulation.Outcome("status").ServedShare() >= 0.98);
    CHECK(simulation.Outcome("sheet").ServedShare() >= 0.98);
  }
}

// Guards against bookings that are run halfway while the service below refuses
// most calls, and against refusals that outlast that.
TEST_CASE("bookings that would fail halfway are refused instead")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(BookingFleet(seed));
    simulation.Simulate(seconds(3), BookingRates(1));
    simulation.SetRefusalShare("pits", 0.55);
    simulation.Simulate(seconds(1), BookingRates(1));
    simulation.ResetOutcomes();
    simulation.Simulate(seconds(5), BookingRates(1));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    const RequestOutcomes& book = simulation.Outcome("book");
    CHECK(book.mRefused > book.mFailed);
    simulation.SetRefusalShare("pits", 0);
    simulation.Simulate(seconds(3),
                        BookingRates(1)); // The target for recovery.
    simulation.ResetOutcomes();
    simulation.Simulate(seconds(5), BookingRates(1));
    INFO("afterwards\n" << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("book").ServedShare() >= 0.99);
  }
}

// Guards against an upstream that goes on getting its share while it is slow.
TEST_CASE("a slow upstream does not hold requests up")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(BookingFleet(seed));
    simulation.Simulate(seconds(3), BookingRates(0.8));
    simulation.SetSpeed("pits", 0, 0.7 / 12);
    SimulateSteadyState(simulation, BookingRates(0.8));
    INFO("seed " << seed << '\n'
                 << simulation.FormatOutcomes()
                 << simulation.FormatUpstreams("pits"));
    CHECK(simulation.Outcome("book").ServedShare() >= 0.95);
    CHECK(simulation.Outcome("now").ServedShare() >= 0.95);
    CHECK(simulation.Outcome("read").ServedShare() >= 0.95);
  }
}

// Prints what callers get under rising loads: `forwarding_tests "[.table]"`.
TEST_CASE("table of rising loads", "[.table]")
{
  for (const double factor : { 0.6, 1.0, 1.4, 1.8, 2.4 }) {
    FleetSimulation simulation(LongChainFleet(1));
    SimulateSteadyState(simulation, LongChainRates(factor));
    std::cout << factor << " times, long chains\n"
              << simulation.FormatOutcomes() << std::endl;
  }
  for (const double factor : { 0.6, 1.0, 1.4, 1.8, 2.24, 3.0, 4.0 }) {
    FleetSimulation simulation(BookingFleet(1));
    SimulateSteadyState(simulation, BookingRates(factor));
    std::cout << factor << " times\n"
              << simulation.FormatOutcomes() << std::endl;
  }
}

// Prints what callers get second by second: `forwarding_tests "[.burst]"`.
TEST_CASE("table of a burst", "[.burst]")
{
  FleetSimulation simulation(BookingFleet(1));
  simulation.Simulate(seconds(4), BookingRates(1.4));
  for (int n = 0; n < 20; ++n) {
    simulation.ResetOutcomes();
    simulation.Simulate(seconds(1), BookingRates(n < 10 ? 2.24 : 1.0));
    std::cout << "second " << n << '\n'
              << simulation.FormatOutcomes()
              << simulation.FormatUpstreams("pits") << std::endl;
  }
}
