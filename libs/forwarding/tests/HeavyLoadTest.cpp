#include <iostream>

#include <catch2/catch.hpp>

#include "HeavyLoadFleets.h"

using namespace amaranthgap;

namespace {

constexpr uint64_t kSeeds = 3;

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
