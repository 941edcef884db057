#include <iostream>

#include <catch2/catch.hpp>

#include "FleetSimulation.h"

using namespace amaranthgap;

namespace {

constexpr uint64_t kSeeds = 3;

// Six data centres in three regions. Bookings call rules directly and reads
// call them through peeks; each rule makes four calls to the service with the
// fewest slots. Upstreams differ in speed, so that one region has half of the
// capacity.
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

// Requests per second; the bottleneck service has a capacity of 1.6 times the
// load at factor 1.
FleetSimulation::Rates
BookingRates(double aFactor)
{
  return { { "read", 395 * aFactor },
           { "book", 202 * aFactor },
           { "ack", 156 * aFactor },
           { "now", 147 * aFactor } };
}

// Few requests with long call chains: an invoice leads to ten stock calls in
// sequence, which take almost its whole timeout where upstreams are slow.
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

// As BookingFleet, in nine data centres, with work that takes five times as
// long and with longer timeouts.
FleetSimulation::Options
SlowWorkFleet(uint64_t aSeed)
{
  FleetSimulation::Options out = BookingFleet(aSeed);
  out.mRegions = { "east",  "north", "south", "east", "north",
                   "south", "east",  "north", "south" };
  const std::vector<double> fastAndSlow{ 0.7, 0.7, 1.6, 1.6, 0.7,
                                         0.7, 0.7, 1.6, 0.7 };
  out.mServices = {
    { .mName = "logs", .mSlots = 640, .mSpeeds = fastAndSlow },
    { .mName = "crews", .mSlots = 536, .mSpeeds = fastAndSlow },
    { .mName = "alarms", .mSlots = 256, .mSpeeds = fastAndSlow },
    { .mName = "pits",
      .mSlots = 101,
      .mSpeeds = { 0.6, 1.0, 1.4, 1.4, 0.6, 1.0, 1.0, 1.4, 0.6 } },
  };
  const auto set = [&](const std::string& aName,
                       double aWork,
                       double aLatencyTarget,
                       double aTimeout,
                       double aCallerTimeout) {
    for (SimulatedRequestKind& it : out.mKinds) {
      if (it.mName == aName) {
        it.mWorkMillis = aWork;
        it.mLatencyTargetMillis = aLatencyTarget;
        it.mTimeoutMillis = aTimeout;
        it.mCallerTimeoutMillis = aCallerTimeout;
      }
    }
  };
  set("read", 560, 2500, 3000, 5000);
  set("book", 720, 3000, 4000, 5000);
  set("ack", 390, 1200, 2500, 5000);
  set("now", 220, 800, 1500, 3000);
  set("peek", 15, 1000, 2500, 2500);
  set("rule", 15, 800, 2000, 2000);
  set("offset", 140, 300, 700, 700);
  return out;
}

// The bottleneck service has a capacity of 1.7 times the load at factor 1.
FleetSimulation::Rates
SlowWorkRates(double aFactor)
{
  return { { "read", 434 * aFactor },
           { "book", 222 * aFactor },
           { "ack", 172 * aFactor },
           { "now", 162 * aFactor } };
}

// One service in three data centres of one region; requests of three priorities
// without calls. At each upstream 47 of 50 slots run requests of 50 ms.
constexpr double kCapacityPerSecond = 3 * 47 / 0.05;

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

/** Runs a load for 3 s to reach a steady state, then measures it for 10 s. */
void
SimulateSteadyState(FleetSimulation& aSimulation,
                    const FleetSimulation::Rates& aRates)
{
  aSimulation.Simulate(seconds(3), aRates);
  aSimulation.ResetOutcomes();
  aSimulation.Simulate(seconds(10), aRates);
}

} // namespace

// Guards against load shedding out of priority order, and against unused
// capacity during an overload.
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

TEST_CASE("no priority is starved under a heavy overload")
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

TEST_CASE("requests are admitted again a second after an overload")
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

// Guards against shares that oscillate because a node gets few replies.
TEST_CASE("nodes with few requests shed load in priority order")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation::Options options = SingleServiceFleet(seed);
    options.mServices[0].mSlots = 4; // 3 run concurrently: 60 per second each.
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

// Guards against unused capacity in other regions while the own region refuses
// requests.
TEST_CASE("a load within the capacity of all regions together is served")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(BookingFleet(seed));
    // In two regions callers demand 1.26 times the capacity of the pits.
    SimulateSteadyState(simulation, BookingRates(1.4));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("book").ServedShare() >= 0.99);
    CHECK(simulation.Outcome("ack").ServedShare() >= 0.99);
    CHECK(simulation.Outcome("now").ServedShare() >= 0.98);
    CHECK(simulation.Outcome("read").ServedShare() >= 0.97);
  }
}

// Guards against request trees that fail after part of their work is done.
TEST_CASE("under overload bookings are served and reads are refused early")
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetSimulation simulation(BookingFleet(seed));
    // 1.4 times the capacity of all pits; "book" and "now" need 0.75 of it.
    SimulateSteadyState(simulation, BookingRates(2.24));
    INFO("seed " << seed << '\n' << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("book").ServedShare() >= 0.98);
    CHECK(simulation.Outcome("now").ServedShare() >= 0.9);
    CHECK(simulation.Outcome("read").ServedShare() >= 0.2);
  }
}

// Guards against wasted work for request trees that fail. Some exceed their
// timeout by their run time alone, also without an overload.
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

// Guards against calls that all stay in the data centre that takes over the
// requests of the lost upstream, while the rest of the region has spare
// capacity.
TEST_CASE("the loss of one upstream does not overload another data centre")
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

// Guards against timeouts of long call chains: the caller's data centre may be
// too slow for them, or they may wait for a slot at each call.
TEST_CASE("long call chains run in data centres where they meet their timeout")
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

// Guards against bookings that start and then fail because a service that they
// call refuses most requests, and against refusals that outlast the fault.
TEST_CASE("bookings whose calls would fail are refused before they start")
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
    // Recovery may take 3 s.
    simulation.Simulate(seconds(3), BookingRates(1));
    simulation.ResetOutcomes();
    simulation.Simulate(seconds(5), BookingRates(1));
    INFO("afterwards\n" << simulation.FormatOutcomes());
    CHECK(simulation.Outcome("book").ServedShare() >= 0.99);
  }
}

// Guards against an upstream that keeps its full share of requests while slow.
TEST_CASE("requests are served while one upstream is slow")
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

// Prints outcomes under rising loads: `forwarding_tests "[.table]"`.
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

// Prints outcomes of slow work: `forwarding_tests "[.slow]"`.
TEST_CASE("table of slow work", "[.slow]")
{
  for (const double factor : { 0.6, 1.0, 1.4, 1.8, 2.24, 3.0 }) {
    FleetSimulation simulation(SlowWorkFleet(1));
    SimulateSteadyState(simulation, SlowWorkRates(factor));
    std::cout << factor << " times, wasted " << simulation.WastedWork()
              << " value " << simulation.ValueShare() << '\n'
              << simulation.FormatOutcomes()
              << simulation.FormatUpstreams("pits") << std::endl;
  }
}

// Prints outcomes for each second of a burst: `forwarding_tests "[.burst]"`.
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
