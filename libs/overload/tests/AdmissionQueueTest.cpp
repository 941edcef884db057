#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

#include <catch2/catch.hpp>

#include "base/Rng.h"
#include "overload/AdmissionQueue.h"

using namespace amaranthgap;

namespace {

const TimePoint kStart{ seconds(100) };

WaitingCall
Call(uint64_t aId,
     uint32_t aImportance,
     const std::string& aParty,
     Duration aTimeout = seconds(1),
     uint32_t aDepth = 1)
{
  return { .mExecution = { aId },
           .mImportance = aImportance,
           .mParty = aParty,
           .mDepth = aDepth,
           .mArrived = kStart,
           .mDeadline = kStart + aTimeout };
}

std::vector<uint64_t>
Drain(AdmissionQueue& aQueue, TimePoint aNow, const PartyUsage& aUsage)
{
  std::vector<uint64_t> order;
  while (const auto next = aQueue.Take(aNow, aUsage)) {
    order.push_back(next->mValue);
  }
  return order;
}

double
Jain(const std::vector<double>& aValues)
{
  double sum = 0;
  double squares = 0;
  for (const double value : aValues) {
    sum += value;
    squares += value * value;
  }
  return sum * sum / (double(aValues.size()) * squares);
}

} // namespace

struct OrderCase
{
  const char* mName;
  std::vector<WaitingCall> mCalls;
  std::vector<uint64_t> mOrder;
};

// Guards against an order of service that breaks importance, shares or depth.
TEST_CASE("waiting calls leave in order", "[queue]")
{
  const std::vector<OrderCase> cases{
    { "importance first",
      { Call(1, 1, "a"), Call(2, 9, "b"), Call(3, 5, "a") },
      { 2, 3, 1 } },
    { "least attained party next",
      { Call(1, 5, "busy"), Call(2, 5, "a"), Call(3, 5, "busy") },
      { 2, 1, 3 } },
    { "deeper first within a party",
      { Call(1, 5, "a"), Call(2, 5, "a", seconds(1), 3), Call(3, 5, "a") },
      { 2, 1, 3 } },
    { "by arrival otherwise",
      { Call(3, 5, "a"), Call(1, 5, "a"), Call(2, 5, "a") },
      { 3, 1, 2 } },
    { "one party does not get all slots at once",
      { Call(1, 5, "a"), Call(2, 5, "a"), Call(3, 5, "b"), Call(4, 5, "b") },
      { 1, 3, 2, 4 } },
    { "a call whose deadline has passed is not run",
      { Call(1, 9, "a", -seconds(1)), Call(2, 1, "a") },
      { 2 } },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    PartyUsage usage;
    usage.Charge(kStart, "busy", 5, milliseconds(500));
    AdmissionQueue queue({});
    for (const auto& call : test.mCalls) {
      queue.Offer(kStart, call, usage, 0, milliseconds(10));
    }
    CHECK(Drain(queue, kStart, usage) == test.mOrder);
    CHECK(queue.Size() == 0);
  }
}

// Guards against a full queue that turns away the wrong call.
TEST_CASE("a full queue gives up the last call in order", "[queue]")
{
  struct Case
  {
    const char* mName;
    WaitingCall mOffered;
    bool mQueued;
    std::vector<ExecutionId> mEvicted;
  };
  const Case cases[] = {
    { "more important", Call(9, 7, "x"), true, { { 4 } } },
    { "less important", Call(9, 1, "x"), false, {} },
    { "new party of the lowest level", Call(9, 3, "x"), true, { { 4 } } },
    { "the party with the most calls", Call(9, 3, "b"), false, {} },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    PartyUsage usage;
    AdmissionQueue queue({ .mCapacity = 4 });
    queue.Offer(kStart, Call(1, 5, "a"), usage, 0, milliseconds(10));
    queue.Offer(kStart, Call(2, 3, "a"), usage, 0, milliseconds(10));
    queue.Offer(kStart, Call(3, 3, "b"), usage, 0, milliseconds(10));
    queue.Offer(kStart, Call(4, 3, "b"), usage, 0, milliseconds(10));
    const auto verdict =
      queue.Offer(kStart, test.mOffered, usage, 0, milliseconds(10));
    CHECK(verdict.mQueued == test.mQueued);
    CHECK(verdict.mEvicted == test.mEvicted);
    CHECK(queue.Size() == 4);
  }
}

// Guards against calls that wait although they cannot be answered in time, and
// against a wrong estimate that refuses everything for ever.
TEST_CASE("calls that cannot meet their deadline are refused", "[queue]")
{
  PartyUsage usage;
  AdmissionQueue queue({});
  // 100 calls per second leave, each runs for 100 ms.
  const Duration run = milliseconds(100);
  REQUIRE(queue.Offer(kStart, Call(1, 5, "a"), usage, 100, run).mQueued);
  REQUIRE(queue.Take(kStart, usage));
  for (uint64_t i = 2; i < 6; ++i) {
    REQUIRE(queue.Offer(kStart, Call(i, 5, "a"), usage, 100, run).mQueued);
  }
  CHECK_FALSE(
    queue.Offer(kStart, Call(9, 5, "a", milliseconds(130)), usage, 100, run)
      .mQueued);
  CHECK(
    queue.Offer(kStart, Call(10, 9, "a", milliseconds(130)), usage, 100, run)
      .mQueued);
  CHECK_FALSE(
    queue.Offer(kStart, Call(11, 9, "a", milliseconds(90)), usage, 100, run)
      .mQueued);
  const auto expired = queue.RemoveExpired(kStart + milliseconds(40), run);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].mValue == 10);
  // Nothing has been taken for a while: one call may disprove the estimate.
  const TimePoint later = kStart + seconds(30);
  CHECK(queue.RemoveExpired(later, run).size() == 4);
  auto call = Call(12, 5, "a");
  call.mDeadline = later + milliseconds(50);
  CHECK(queue.Offer(later, call, usage, 0.1, run).mQueued);
  CHECK(queue.Take(later, usage).has_value());
}

TEST_CASE("a waiting call can be withdrawn", "[queue]")
{
  PartyUsage usage;
  AdmissionQueue queue({});
  queue.Offer(kStart, Call(1, 5, "a"), usage, 0, {});
  CHECK(queue.Remove({ 1 }));
  CHECK_FALSE(queue.Remove({ 1 }));
  CHECK_FALSE(queue.Take(kStart, usage).has_value());
}

// Guards against a fill level that lets less important calls throttle more
// important ones.
TEST_CASE("the fill counts only equal or higher importance", "[queue]")
{
  PartyUsage usage;
  AdmissionQueue queue({});
  for (uint64_t i = 0; i < 5; ++i) {
    queue.Offer(kStart, Call(i, 3, "a"), usage, 100, milliseconds(10));
  }
  CHECK(queue.FillRatio(3, 100) == Approx(1));
  CHECK(queue.FillRatio(4, 100) == Approx(0));
  CHECK(queue.FillRatio(0, 100) == Approx(1));
}

// -- Model of the nodes of one service ----------------------------------------

namespace {

struct Demand
{
  std::string mParty;
  double mRate = 0; ///< Calls per second.
  uint32_t mImportance = 5;
  int mOnlyNode = -1; ///< The one node that it reaches; all when negative.
  double mTimeout = 0.5;
};

struct NodesOptions
{
  int mNodes = 1;
  uint32_t mSlots = 20;
  double mRun = 0.05; ///< Seconds per call; exponential.
  double mReportLoss = 0;
  bool mCheckOrder = false;
};

/** Nodes with their queues and slots, which exchange their shares. */
class NodesModel
{
public:
  NodesModel(const NodesOptions& aOptions,
             std::vector<Demand> aDemands,
             uint64_t aSeed)
    : mOptions(aOptions)
    , mDemands(std::move(aDemands))
    , mRng(aSeed)
    , mNodes(aOptions.mNodes)
  {
    for (size_t i = 0; i < mDemands.size(); ++i) {
      Push(Exponential(mDemands[i].mRate), Kind::Arrival, int(i), {});
    }
    Push(0.01, Kind::Tick, 0, {});
    Push(0.2, Kind::Report, 0, {});
  }

  void RunUntil(double aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      switch (event.mKind) {
        case Kind::Arrival:
          Arrive(event);
          break;
        case Kind::End:
          End(event);
          break;
        case Kind::Tick:
          for (auto& node : mNodes) {
            for (const auto id : node.mQueue.RemoveExpired(Now(), Run())) {
              Lose(id);
            }
            FillSlots(node);
          }
          Push(mNow + 0.01, Kind::Tick, 0, {});
          break;
        case Kind::Report:
          Report();
          Push(mNow + 0.2, Kind::Report, 0, {});
          break;
      }
    }
  }

  void ResetCounts()
  {
    mGood.clear();
    mArrived.clear();
    mLost.clear();
    mBusy = 0;
    mWasted = 0;
    mLongestWait = 0;
    mSince = mNow;
  }

  [[nodiscard]] double GoodRate(const std::string& aParty) const
  {
    const auto it = mGood.find(aParty);
    return it == mGood.end() ? 0.0 : it->second / (mNow - mSince);
  }
  [[nodiscard]] double LostShare(const std::string& aParty)
  {
    return mLost[aParty] / mArrived[aParty];
  }
  [[nodiscard]] double Use() const
  {
    return mBusy / ((mNow - mSince) * mOptions.mSlots * mOptions.mNodes);
  }
  [[nodiscard]] double WastedShare() const { return mWasted / mBusy; }
  [[nodiscard]] double LongestWait() const { return mLongestWait; }
  [[nodiscard]] int Inversions() const { return mInversions; }

private:
  enum class Kind : uint8_t
  {
    Arrival,
    End,
    Tick,
    Report,
  };

  struct Event
  {
    double mTime = 0;
    Kind mKind{};
    int mIndex = 0;
    ExecutionId mExecution;
    bool operator<(const Event& aOther) const { return mTime > aOther.mTime; }
  };

  struct Node
  {
    AdmissionQueue mQueue{ AdmissionQueue::Options{} };
    PartyUsage mUsage;
    uint32_t mRunning = 0;
  };

  struct CallState
  {
    size_t mDemand = 0;
    int mNode = 0;
    double mArrived = 0;
    double mStarted = 0;
    bool mIsRunning = false;
  };

  [[nodiscard]] TimePoint Now() const
  {
    return TimePoint{} + FromSeconds(mNow);
  }
  [[nodiscard]] Duration Run() const { return FromSeconds(mOptions.mRun); }

  double Exponential(double aRate)
  {
    return -std::log(1 - mRng.Uniform()) / aRate;
  }

  void Push(double aTime, Kind aKind, int aIndex, ExecutionId aExecution)
  {
    mEvents.push({ aTime, aKind, aIndex, aExecution });
  }

  void Arrive(const Event& aEvent)
  {
    const Demand& demand = mDemands[aEvent.mIndex];
    Push(mNow + Exponential(demand.mRate), Kind::Arrival, aEvent.mIndex, {});
    mArrived[demand.mParty] += 1;
    const int index =
      demand.mOnlyNode >= 0 ? demand.mOnlyNode : int(mRng.Below(mNodes.size()));
    Node& node = mNodes[index];
    const ExecutionId id{ ++mNextCall };
    const double drain = mOptions.mSlots / mOptions.mRun;
    const auto verdict =
      node.mQueue.Offer(Now(),
                        { .mExecution = id,
                          .mImportance = demand.mImportance,
                          .mParty = demand.mParty,
                          .mDepth = 1,
                          .mArrived = Now(),
                          .mDeadline = Now() + FromSeconds(demand.mTimeout) },
                        node.mUsage,
                        drain,
                        Run());
    for (const auto evicted : verdict.mEvicted) {
      Lose(evicted);
    }
    mCalls[id.mValue] = { size_t(aEvent.mIndex), index, mNow };
    if (!verdict.mQueued) {
      Lose(id);
    }
    FillSlots(node);
  }

  void Lose(ExecutionId aExecution)
  {
    const auto it = mCalls.find(aExecution.mValue);
    mLost[mDemands[it->second.mDemand].mParty] += 1;
    mCalls.erase(it);
  }

  void CheckOrder(const CallState& aTaken)
  {
    for (const auto& [id, call] : mCalls) {
      mInversions += !call.mIsRunning && call.mNode == aTaken.mNode &&
                         mDemands[call.mDemand].mImportance >
                           mDemands[aTaken.mDemand].mImportance
                       ? 1
                       : 0;
    }
  }

  void FillSlots(Node& aNode)
  {
    while (aNode.mRunning < mOptions.mSlots) {
      const auto next = aNode.mQueue.Take(Now(), aNode.mUsage);
      if (!next) {
        return;
      }
      CallState& call = mCalls[next->mValue];
      if (mOptions.mCheckOrder) {
        CheckOrder(call);
      }
      ++aNode.mRunning;
      call.mIsRunning = true;
      call.mStarted = mNow;
      mLongestWait = std::max(
        mLongestWait, (mNow - call.mArrived) / mDemands[call.mDemand].mTimeout);
      Push(mNow + Exponential(1 / mOptions.mRun), Kind::End, call.mNode, *next);
    }
  }

  void End(const Event& aEvent)
  {
    Node& node = mNodes[aEvent.mIndex];
    const CallState call = mCalls[aEvent.mExecution.mValue];
    mCalls.erase(aEvent.mExecution.mValue);
    const Demand& demand = mDemands[call.mDemand];
    const double run = mNow - call.mStarted;
    --node.mRunning;
    node.mUsage.Charge(
      Now(), demand.mParty, demand.mImportance, FromSeconds(run));
    mBusy += run;
    if (mNow - call.mArrived <= demand.mTimeout) {
      mGood[demand.mParty] += 1;
    } else {
      mWasted += run;
    }
    FillSlots(node);
  }

  void Report()
  {
    for (size_t from = 0; from < mNodes.size(); ++from) {
      const auto shares = mNodes[from].mUsage.LocalShares(Now());
      for (size_t to = 0; to < mNodes.size(); ++to) {
        if (to != from && mRng.Uniform() >= mOptions.mReportLoss) {
          mNodes[to].mUsage.SetRemote(
            Now(), { "node-" + std::to_string(from) }, shares);
        }
      }
    }
  }

  NodesOptions mOptions;
  std::vector<Demand> mDemands;
  Rng mRng;
  std::vector<Node> mNodes;
  std::priority_queue<Event> mEvents;
  std::map<uint64_t, CallState> mCalls;
  std::map<std::string, double> mGood;
  std::map<std::string, double> mArrived;
  std::map<std::string, double> mLost;
  double mNow = 0;
  double mSince = 0;
  double mBusy = 0;
  double mWasted = 0;
  double mLongestWait = 0;
  int mInversions = 0;
  uint64_t mNextCall = 0;
};

/** Parties that want their share or more; the first one ten times as much. */
std::vector<Demand>
FairDemands(int aParties, double aCapacity, int aOnlyNode)
{
  const double share = aCapacity / aParties;
  std::vector<Demand> demands;
  demands.reserve(aParties);
  for (int i = 0; i < aParties; ++i) {
    demands.push_back({ .mParty = "party-" + std::to_string(i),
                        .mRate = share * (i == 0 ? 10 : 1.2) });
  }
  if (aOnlyNode >= 0) {
    demands.back().mOnlyNode = aOnlyNode;
  }
  return demands;
}

} // namespace

// Guards against shares that follow demand, the node a party reaches, or the
// number of nodes.
TEST_CASE("parties that want their share get equal shares", "[queue]")
{
  struct Case
  {
    const char* mName;
    int mNodes;
    int mParties;
    int mOnlyNode;
    double mReportLoss;
    NodesOptions mShape;
  };
  const Case cases[] = {
    { "one node", 1, 4, -1, 0, {} },
    { "six nodes", 6, 10, -1, 0, {} },
    { "six nodes, one party reaches one of them", 6, 10, 0, 0, {} },
    { "six nodes, half of the reports lost", 6, 10, 0, 0.5, {} },
    { "few slow slots", 6, 10, 0, 0, { .mSlots = 8, .mRun = 0.2 } },
  };
  for (const auto& test : cases) {
    for (const uint64_t seed : { 1, 2, 3 }) {
      INFO(test.mName << ", seed " << seed);
      NodesOptions options = test.mShape;
      options.mNodes = test.mNodes;
      options.mReportLoss = test.mReportLoss;
      const double capacity = test.mNodes * options.mSlots / options.mRun;
      auto demands = FairDemands(test.mParties, capacity, test.mOnlyNode);
      for (auto& demand : demands) {
        demand.mTimeout = 20 * options.mRun;
      }
      NodesModel model(options, demands, seed);
      model.RunUntil(10);
      model.ResetCounts();
      model.RunUntil(40);
      std::vector<double> rates;
      rates.reserve(demands.size());
      for (const auto& demand : demands) {
        rates.push_back(model.GoodRate(demand.mParty));
      }
      CAPTURE(rates);
      CHECK(Jain(rates) >= 0.99);
      CHECK(model.Use() >= 0.95);
      CHECK(model.WastedShare() <= 0.02);
      CHECK(model.LongestWait() <= 1);
    }
  }
}

// Guards against less important calls that are served before more important
// ones, and against important calls lost although their demand fits.
TEST_CASE("the most important class is served while it fits", "[queue]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    for (const double load : { 1.0, 2.0, 5.0, 10.0 }) {
      INFO("demand " << load << "x, seed " << seed);
      const NodesOptions options{
        .mNodes = 2, .mSlots = 35, .mRun = 0.03, .mCheckOrder = true
      };
      const double capacity = options.mNodes * options.mSlots / options.mRun;
      NodesModel model(options,
                       { { "alarm", 0.3 * capacity, 9 },
                         { "a", (load - 0.3) / 2 * capacity, 5 },
                         { "b", (load - 0.3) / 2 * capacity, 2 } },
                       seed);
      model.RunUntil(2);
      model.ResetCounts();
      model.RunUntil(12);
      CHECK(model.LostShare("alarm") <= 0.001);
      CHECK(model.Inversions() == 0);
      CHECK(model.WastedShare() <= 0.02);
      CHECK(model.LongestWait() <= 1);
      if (load >= 2) {
        CHECK(model.Use() >= 0.95);
      }
    }
  }
}

// -- Usage --------------------------------------------------------------------

// Guards against usage that does not fade, or reports that count for ever.
TEST_CASE("usage decays and old reports leave", "[usage]")
{
  PartyUsage usage;
  usage.Charge(kStart, "a", 5, seconds(4));
  usage.SetRemote(kStart, { "n2" }, { { "a", 5, 8.0 }, { "b", 5, 1.0 } });
  struct Case
  {
    Duration mAge;
    double mAttained;
  };
  const Case cases[] = {
    { seconds(0), 4 + 8 },
    { seconds(2), 2 + 8 },
    { seconds(4), 1 + 4 },
    { seconds(10), 0.125 },
  };
  for (const auto& test : cases) {
    INFO("after " << ToMillis(test.mAge) << " ms");
    CHECK(usage.AttainedSeconds(kStart + test.mAge, "a", 5) ==
          Approx(test.mAttained));
  }
  CHECK(usage.AttainedSeconds(kStart, "a", 4) == Approx(0));
  const auto shares = usage.LocalShares(kStart + seconds(2));
  REQUIRE(shares.size() == 1);
  CHECK(shares[0].mAttainedSeconds == Approx(2));
  usage.SetRemote(kStart, { "n2" }, { { "a", 5, 1.0 }, { "b", 5, -3.0 } });
  CHECK(usage.AttainedSeconds(kStart, "a", 5) == Approx(5));
  CHECK(usage.AttainedSeconds(kStart, "b", 5) == Approx(0));
}
