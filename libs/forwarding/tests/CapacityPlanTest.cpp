#include <catch2/catch.hpp>

#include "forwarding/CapacityPlan.h"

using namespace amaranthgap;

namespace {

constexpr Duration kRunTime = milliseconds(50);

/** Simulates an upstream on a virtual clock. Requests run for kRunTime. */
class UpstreamSimulation
{
public:
  explicit UpstreamSimulation(uint32_t aLimit) { mPlan.SetLimit(aLimit); }

  /** Generates evenly spaced requests that start on arrival.
   * @param aSlots mean number of slots that the requests need, by priority.
   * @param aShare at which the entry node admitted the requests. */
  void Simulate(Duration aTime,
                const std::vector<double>& aSlots,
                double aShare)
  {
    constexpr Duration kTick = milliseconds(1);
    mPendingArrivals.resize(aSlots.size());
    for (Duration it{}; it < aTime; it += kTick) {
      mNow += kTick;
      while (!mRunEnds.empty() && mRunEnds.front().first <= mNow) {
        mPlan.Ended(mNow, mRunEnds.front().second, kRunTime);
        mRunEnds.erase(mRunEnds.begin());
      }
      for (size_t n = 0; n < aSlots.size(); ++n) {
        mPendingArrivals[n] +=
          aSlots[n] * ToSeconds(kTick) / ToSeconds(kRunTime);
        for (; mPendingArrivals[n] >= 1; mPendingArrivals[n] -= 1) {
          mPlan.Arrived(mNow, uint32_t(n), aShare);
          mPlan.Started(mNow, uint32_t(n), milliseconds(15));
          mRunEnds.emplace_back(mNow + kRunTime, uint32_t(n));
        }
      }
    }
  }

  TreeLoad Load(uint32_t aPriority) { return mPlan.Load(mNow, aPriority); }
  CapacityPlan& Plan() { return mPlan; }

private:
  CapacityPlan mPlan;
  TimePoint mNow{ seconds(100) };
  std::vector<double> mPendingArrivals;
  std::vector<std::pair<TimePoint, uint32_t>> mRunEnds;
};

} // namespace

TEST_CASE("an upstream below its capacity admits all requests")
{
  UpstreamSimulation simulation(20);
  CHECK(simulation.Load(0).mShare == 1);
  simulation.Simulate(seconds(3), { 5, 5, 5 }, 1);
  CHECK(simulation.Load(2).mShare == 1);
  CHECK(simulation.Load(0).mDemand == Approx(0.25).margin(0.02));
  CHECK(simulation.Load(2).mDemand == Approx(0.75).margin(0.05));
}

TEST_CASE("a priority gets the capacity that more important requests leave")
{
  UpstreamSimulation simulation(20);
  simulation.Simulate(seconds(3), { 8, 4, 16 }, 1);
  CHECK(simulation.Load(0).mShare == 1);
  CHECK(simulation.Load(1).mShare == 1);
  CHECK(simulation.Load(2).mShare == Approx(0.5).margin(0.05));
}

// Guards against shares that oscillate: if the plan measured only the admitted
// demand, a share would rise again as soon as it takes effect.
TEST_CASE(
  "the share does not depend on the share at which requests were admitted")
{
  UpstreamSimulation unthrottled(20);
  unthrottled.Simulate(seconds(3), { 0, 0, 40 }, 1);
  UpstreamSimulation throttled(20);
  throttled.Simulate(seconds(3), { 0, 0, 20 }, 0.5);
  CHECK(throttled.Load(2).mShare ==
        Approx(unthrottled.Load(2).mShare).margin(0.05));
  CHECK(throttled.Load(2).mDemand == Approx(2).margin(0.2));
}

TEST_CASE("no priority gets less than the least share")
{
  UpstreamSimulation simulation(20);
  simulation.Simulate(seconds(3), { 60, 4, 100 }, 1);
  for (uint32_t priority = 0; priority < 3; ++priority) {
    CHECK(simulation.Load(priority).mShare >= CapacityPlan::kMinShare);
  }
  CHECK(simulation.Load(0).mShare < 0.4);
}

TEST_CASE("a share recovers within a second after an overload")
{
  UpstreamSimulation simulation(20);
  simulation.Simulate(seconds(3), { 0, 0, 60 }, 1);
  CHECK(simulation.Load(2).mShare < 0.5);
  simulation.Simulate(seconds(1), { 0, 0, 10 }, 1);
  CHECK(simulation.Load(2).mShare == 1);
}

// Guards against an upstream that shuts down and then appears overloaded to
// other nodes.
TEST_CASE("an upstream that takes no work is not overloaded")
{
  UpstreamSimulation simulation(20);
  simulation.Simulate(seconds(3), { 0, 0, 60 }, 1);
  simulation.Plan().SetLimit(0);
  simulation.Simulate(milliseconds(200), { 0, 0, 1 }, 1);
  CHECK(simulation.Load(2).mShare == 1);
  CHECK(simulation.Load(2).mDemand == 0);
}

// Guards against an upstream that hangs: none of its requests ends, so that no
// run time is measured.
TEST_CASE("an upstream that stops answering is overloaded")
{
  CapacityPlan plan;
  plan.SetLimit(4);
  TimePoint now{ seconds(100) };
  for (int n = 0; n < 200; ++n) {
    now += milliseconds(10);
    plan.Arrived(now, 2, 1);
    if (n < 4) {
      plan.Started(now, 2, Duration::zero());
    } else {
      plan.Refused(now, 2);
    }
  }
  CHECK(plan.Load(now, 2).mShare < 0.3);
}

// Guards against work that is admitted and refused at the gate: the slots of an
// upstream with a rate limit are mostly free.
TEST_CASE("a rate limit divides the rate among the priorities")
{
  UpstreamSimulation simulation(1000);
  simulation.Plan().SetRateLimit(100);
  const double runSeconds = ToSeconds(kRunTime);
  simulation.Simulate(
    seconds(3), { 50 * runSeconds, 25 * runSeconds, 50 * runSeconds }, 1);
  CHECK(simulation.Load(0).mShare == 1);
  CHECK(simulation.Load(1).mShare == 1);
  CHECK(simulation.Load(2).mShare == Approx(0.5).margin(0.1));
  CHECK(simulation.Load(2).mDemand == Approx(1.25).margin(0.15));
}
