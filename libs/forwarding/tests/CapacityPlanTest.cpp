#include <catch2/catch.hpp>

#include "forwarding/CapacityPlan.h"

using namespace amaranthgap;

namespace {

constexpr Duration kRun = milliseconds(50);

/** Upstream whose requests all run for kRun, in a virtual clock. */
class PlanModel
{
public:
  explicit PlanModel(uint32_t aLimit) { mPlan.SetLimit(aLimit); }

  /** Lets requests arrive evenly and run at once.
   * @param aSlots that the requests of each priority need.
   * @param aShare at which their entry node admitted them. */
  void Play(Duration aTime, const std::vector<double>& aSlots, double aShare)
  {
    constexpr Duration kTick = milliseconds(1);
    mDue.resize(aSlots.size());
    for (Duration it{}; it < aTime; it += kTick) {
      mNow += kTick;
      while (!mEnds.empty() && mEnds.front().first <= mNow) {
        mPlan.Ended(mNow, mEnds.front().second, kRun);
        mEnds.erase(mEnds.begin());
      }
      for (size_t n = 0; n < aSlots.size(); ++n) {
        mDue[n] += aSlots[n] * ToSeconds(kTick) / ToSeconds(kRun);
        for (; mDue[n] >= 1; mDue[n] -= 1) {
          mPlan.Arrived(mNow, uint32_t(n), aShare);
          mPlan.Started(mNow, uint32_t(n), milliseconds(15));
          mEnds.emplace_back(mNow + kRun, uint32_t(n));
        }
      }
    }
  }

  TreeLoad Load(uint32_t aPriority) { return mPlan.Load(mNow, aPriority); }
  CapacityPlan& Plan() { return mPlan; }

private:
  CapacityPlan mPlan;
  TimePoint mNow{ seconds(100) };
  std::vector<double> mDue;
  std::vector<std::pair<TimePoint, uint32_t>> mEnds;
};

} // namespace

TEST_CASE("an upstream with room takes everything")
{
  PlanModel model(20);
  CHECK(model.Load(0).mShare == 1);
  model.Play(seconds(3), { 5, 5, 5 }, 1);
  CHECK(model.Load(2).mShare == 1);
  CHECK(model.Load(0).mDemand == Approx(0.25).margin(0.02));
  CHECK(model.Load(2).mDemand == Approx(0.75).margin(0.05));
}

TEST_CASE("what the more important requests leave is the share of the others")
{
  PlanModel model(20);
  model.Play(seconds(3), { 8, 4, 16 }, 1);
  CHECK(model.Load(0).mShare == 1);
  CHECK(model.Load(1).mShare == 1);
  CHECK(model.Load(2).mShare == Approx(0.5).margin(0.05));
}

// Guards against shares that return as soon as they have taken effect, and
// swing.
TEST_CASE("the share does not depend on how far requests are cut already")
{
  PlanModel whole(20);
  whole.Play(seconds(3), { 0, 0, 40 }, 1);
  PlanModel cut(20);
  cut.Play(seconds(3), { 0, 0, 20 }, 0.5);
  CHECK(cut.Load(2).mShare == Approx(whole.Load(2).mShare).margin(0.05));
  CHECK(cut.Load(2).mDemand == Approx(2).margin(0.2));
}

TEST_CASE("no priority is cut below the least share")
{
  PlanModel model(20);
  model.Play(seconds(3), { 60, 4, 100 }, 1);
  for (uint32_t priority = 0; priority < 3; ++priority) {
    CHECK(model.Load(priority).mShare >= CapacityPlan::kMinShare);
  }
  CHECK(model.Load(0).mShare < 0.4);
}

TEST_CASE("a share returns within a second after the overload")
{
  PlanModel model(20);
  model.Play(seconds(3), { 0, 0, 60 }, 1);
  CHECK(model.Load(2).mShare < 0.5);
  model.Play(seconds(1), { 0, 0, 10 }, 1);
  CHECK(model.Load(2).mShare == 1);
}

// Guards against an upstream that leaves and then looks overloaded to others.
TEST_CASE("an upstream that takes no work is not overloaded")
{
  PlanModel model(20);
  model.Play(seconds(3), { 0, 0, 60 }, 1);
  model.Plan().SetLimit(0);
  model.Play(milliseconds(200), { 0, 0, 1 }, 1);
  CHECK(model.Load(2).mShare == 1);
  CHECK(model.Load(2).mDemand == 0);
}

// Guards against an upstream that hangs, of which no run ever ends.
TEST_CASE("an upstream that answers nothing any more is overloaded")
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
