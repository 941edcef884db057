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
MakeCall(uint64_t aId,
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
TakeAll(AdmissionQueue& aQueue, TimePoint aNow, const PartyUsage& aUsage)
{
  std::vector<uint64_t> order;
  while (const auto next = aQueue.Take(aNow, aUsage)) {
    order.push_back(next->mValue);
  }
  return order;
}

/** @return Jain's fairness index, 1 when all values are equal. */
double
JainIndex(const std::vector<double>& aValues)
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
  std::vector<uint64_t> mExpectedOrder;
};

// Guards against an order of service that ignores importance, the attained
// service of the parties, or depth.
TEST_CASE("waiting calls are taken in the order of service", "[queue]")
{
  const std::vector<OrderCase> cases{
    { "importance first",
      { MakeCall(1, 1, "a"), MakeCall(2, 9, "b"), MakeCall(3, 5, "a") },
      { 2, 3, 1 } },
    { "then the party with the least attained service",
      { MakeCall(1, 5, "busy"), MakeCall(2, 5, "a"), MakeCall(3, 5, "busy") },
      { 2, 1, 3 } },
    { "deeper calls first within a party",
      { MakeCall(1, 5, "a"),
        MakeCall(2, 5, "a", seconds(1), 3),
        MakeCall(3, 5, "a") },
      { 2, 1, 3 } },
    { "order of arrival otherwise",
      { MakeCall(3, 5, "a"), MakeCall(1, 5, "a"), MakeCall(2, 5, "a") },
      { 3, 1, 2 } },
    { "parties take turns while their calls run",
      { MakeCall(1, 5, "a"),
        MakeCall(2, 5, "a"),
        MakeCall(3, 5, "b"),
        MakeCall(4, 5, "b") },
      { 1, 3, 2, 4 } },
    { "a call whose deadline has passed is not taken",
      { MakeCall(1, 9, "a", -seconds(1)), MakeCall(2, 1, "a") },
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
    CHECK(TakeAll(queue, kStart, usage) == test.mExpectedOrder);
    CHECK(queue.Size() == 0);
  }
}

// Guards against a full queue that evicts or refuses the wrong call.
TEST_CASE("a full queue evicts the last call in the order of service",
          "[queue]")
{
  struct Case
  {
    const char* mName;
    WaitingCall mOffered;
    bool mQueued;
    std::vector<ExecutionId> mEvicted;
  };
  const Case cases[] = {
    { "more important", MakeCall(9, 7, "x"), true, { { 4 } } },
    { "less important", MakeCall(9, 1, "x"), false, {} },
    { "new party of the lowest level", MakeCall(9, 3, "x"), true, { { 4 } } },
    { "the party with the most calls", MakeCall(9, 3, "b"), false, {} },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    PartyUsage usage;
    AdmissionQueue queue({ .mCapacity = 4 });
    queue.Offer(kStart, MakeCall(1, 5, "a"), usage, 0, milliseconds(10));
    queue.Offer(kStart, MakeCall(2, 3, "a"), usage, 0, milliseconds(10));
    queue.Offer(kStart, MakeCall(3, 3, "b"), usage, 0, milliseconds(10));
    queue.Offer(kStart, MakeCall(4, 3, "b"), usage, 0, milliseconds(10));
    const auto outcome =
      queue.Offer(kStart, test.mOffered, usage, 0, milliseconds(10));
    CHECK(outcome.mQueued == test.mQueued);
    CHECK(outcome.mEvicted == test.mEvicted);
    CHECK(queue.Size() == 4);
  }
}

// Guards against calls that wait although they cannot meet their deadline, and
// against a wrong estimate that refuses every call and so is never corrected.
TEST_CASE("calls that cannot meet their deadline are refused", "[queue]")
{
  PartyUsage usage;
  AdmissionQueue queue({});
  // 100 calls per second leave the queue; each runs for 100 ms.
  const Duration run = milliseconds(100);
  REQUIRE(queue.Offer(kStart, MakeCall(1, 5, "a"), usage, 100, run).mQueued);
  REQUIRE(queue.Take(kStart, usage));
  for (uint64_t i = 2; i < 6; ++i) {
    REQUIRE(queue.Offer(kStart, MakeCall(i, 5, "a"), usage, 100, run).mQueued);
  }
  CHECK_FALSE(
    queue.Offer(kStart, MakeCall(9, 5, "a", milliseconds(130)), usage, 100, run)
      .mQueued);
  CHECK(
    queue
      .Offer(kStart, MakeCall(10, 9, "a", milliseconds(130)), usage, 100, run)
      .mQueued);
  CHECK_FALSE(
    queue.Offer(kStart, MakeCall(11, 9, "a", milliseconds(90)), usage, 100, run)
      .mQueued);
  const auto expired = queue.RemoveExpired(kStart + milliseconds(40), run);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].mValue == 10);
  // No call was taken for 30 s, so one is queued to correct the estimate.
  const TimePoint later = kStart + seconds(30);
  CHECK(queue.RemoveExpired(later, run).size() == 4);
  auto call = MakeCall(12, 5, "a");
  call.mDeadline = later + milliseconds(50);
  CHECK(queue.Offer(later, call, usage, 0.1, run).mQueued);
  CHECK(queue.Take(later, usage).has_value());
}

TEST_CASE("a waiting call can be removed", "[queue]")
{
  PartyUsage usage;
  AdmissionQueue queue({});
  queue.Offer(kStart, MakeCall(1, 5, "a"), usage, 0, {});
  CHECK(queue.Remove({ 1 }));
  CHECK_FALSE(queue.Remove({ 1 }));
  CHECK_FALSE(queue.Take(kStart, usage).has_value());
}

// Guards against a fill level that counts less important calls, which would
// throttle more important ones.
TEST_CASE("the fill level counts only equal or higher importance", "[queue]")
{
  PartyUsage usage;
  AdmissionQueue queue({});
  for (uint64_t i = 0; i < 5; ++i) {
    queue.Offer(kStart, MakeCall(i, 3, "a"), usage, 100, milliseconds(10));
  }
  CHECK(queue.FillRatio(3, 100) == Approx(1));
  CHECK(queue.FillRatio(4, 100) == Approx(0));
  CHECK(queue.FillRatio(0, 100) == Approx(1));
}

// -- Simulation of the nodes of one service -----------------------------------

namespace {

struct PartyDemand
{
  std::string mParty;
  double mRate = 0; ///< Calls per second.
  uint32_t mImportance = 5;
  int mOnlyNode = -1;    ///< The only node that is called; negative for any.
  double mTimeout = 0.5; ///< Seconds.
};

struct ServiceModelOptions
{
  int mNodes = 1;
  uint32_t mSlots = 20;
  double mMeanRunSeconds = 0.05; ///< Of the exponential run time of a call.
  double mReportLoss = 0;        ///< Probability that a usage report is lost.
  bool mCountInversions = false; ///< Counts calls taken out of order.
};

/** Simulates nodes that each have a queue and slots, and that report the usage
 * of the parties to each other. */
class ServiceModel
{
public:
  ServiceModel(const ServiceModelOptions& aOptions,
               std::vector<PartyDemand> aDemands,
               uint64_t aSeed)
    : mOptions(aOptions)
    , mDemands(std::move(aDemands))
    , mRng(aSeed)
    , mNodes(aOptions.mNodes)
  {
    for (size_t i = 0; i < mDemands.size(); ++i) {
      ScheduleEvent(
        DrawExponential(mDemands[i].mRate), EventKind::Arrival, int(i), {});
    }
    ScheduleEvent(0.01, EventKind::Tick, 0, {});
    ScheduleEvent(0.2, EventKind::Report, 0, {});
  }

  void RunUntil(double aEnd)
  {
    while (!mEvents.empty() && mEvents.top().mTime <= aEnd) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      switch (event.mKind) {
        case EventKind::Arrival:
          HandleArrival(event);
          break;
        case EventKind::End:
          HandleEnd(event);
          break;
        case EventKind::Tick:
          for (auto& node : mNodes) {
            for (const auto id :
                 node.mQueue.RemoveExpired(Now(), MeanRunTime())) {
              DropCall(id);
            }
            FillSlots(node);
          }
          ScheduleEvent(mNow + 0.01, EventKind::Tick, 0, {});
          break;
        case EventKind::Report:
          ExchangeReports();
          ScheduleEvent(mNow + 0.2, EventKind::Report, 0, {});
          break;
      }
    }
  }

  void ResetCounts()
  {
    mCompletedInTime.clear();
    mArrived.clear();
    mDropped.clear();
    mBusySeconds = 0;
    mWastedSeconds = 0;
    mMaxWaitRatio = 0;
    mWindowStart = mNow;
  }

  /** @return calls per second that ended before their timeout. */
  [[nodiscard]] double Goodput(const std::string& aParty) const
  {
    const auto it = mCompletedInTime.find(aParty);
    return it == mCompletedInTime.end() ? 0.0
                                        : it->second / (mNow - mWindowStart);
  }
  /** @return share of arrived calls that were refused, evicted or expired. */
  [[nodiscard]] double DroppedShare(const std::string& aParty)
  {
    return mDropped[aParty] / mArrived[aParty];
  }
  [[nodiscard]] double Utilisation() const
  {
    return mBusySeconds /
           ((mNow - mWindowStart) * mOptions.mSlots * mOptions.mNodes);
  }
  /** @return share of the run time that went to calls which ended too late. */
  [[nodiscard]] double WastedShare() const
  {
    return mWastedSeconds / mBusySeconds;
  }
  /** @return longest wait in the queue over the timeout of the call. */
  [[nodiscard]] double MaxWaitRatio() const { return mMaxWaitRatio; }
  /** @return pairs of a call that was taken and a more important call that was
   * waiting at the same node. */
  [[nodiscard]] int PriorityInversions() const { return mPriorityInversions; }

private:
  enum class EventKind : uint8_t
  {
    Arrival,
    End,
    Tick,
    Report,
  };

  struct Event
  {
    double mTime = 0; ///< Seconds.
    EventKind mKind{};
    int mIndex = 0; ///< Of the demand for an arrival, of the node for an end.
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
    size_t mDemandIndex = 0;
    int mNode = 0;
    double mArrived = 0; ///< Seconds.
    double mStarted = 0; ///< Seconds.
    bool mIsRunning = false;
  };

  [[nodiscard]] TimePoint Now() const
  {
    return TimePoint{} + FromSeconds(mNow);
  }
  [[nodiscard]] Duration MeanRunTime() const
  {
    return FromSeconds(mOptions.mMeanRunSeconds);
  }

  /** @return seconds until the next event of a Poisson process with aRate
   * events per second. */
  double DrawExponential(double aRate)
  {
    return -std::log(1 - mRng.Uniform()) / aRate;
  }

  void ScheduleEvent(double aTime,
                     EventKind aKind,
                     int aIndex,
                     ExecutionId aExecution)
  {
    mEvents.push({ aTime, aKind, aIndex, aExecution });
  }

  void HandleArrival(const Event& aEvent)
  {
    const PartyDemand& demand = mDemands[aEvent.mIndex];
    ScheduleEvent(mNow + DrawExponential(demand.mRate),
                  EventKind::Arrival,
                  aEvent.mIndex,
                  {});
    mArrived[demand.mParty] += 1;
    const int index =
      demand.mOnlyNode >= 0 ? demand.mOnlyNode : int(mRng.Below(mNodes.size()));
    Node& node = mNodes[index];
    const ExecutionId id{ ++mNextCall };
    const double drainRate = mOptions.mSlots / mOptions.mMeanRunSeconds;
    const auto outcome =
      node.mQueue.Offer(Now(),
                        { .mExecution = id,
                          .mImportance = demand.mImportance,
                          .mParty = demand.mParty,
                          .mDepth = 1,
                          .mArrived = Now(),
                          .mDeadline = Now() + FromSeconds(demand.mTimeout) },
                        node.mUsage,
                        drainRate,
                        MeanRunTime());
    for (const auto evicted : outcome.mEvicted) {
      DropCall(evicted);
    }
    mCalls[id.mValue] = { size_t(aEvent.mIndex), index, mNow };
    if (!outcome.mQueued) {
      DropCall(id);
    }
    FillSlots(node);
  }

  void DropCall(ExecutionId aExecution)
  {
    const auto it = mCalls.find(aExecution.mValue);
    mDropped[mDemands[it->second.mDemandIndex].mParty] += 1;
    mCalls.erase(it);
  }

  void CountInversions(const CallState& aTaken)
  {
    for (const auto& [id, call] : mCalls) {
      mPriorityInversions += !call.mIsRunning && call.mNode == aTaken.mNode &&
                                 mDemands[call.mDemandIndex].mImportance >
                                   mDemands[aTaken.mDemandIndex].mImportance
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
      if (mOptions.mCountInversions) {
        CountInversions(call);
      }
      ++aNode.mRunning;
      call.mIsRunning = true;
      call.mStarted = mNow;
      mMaxWaitRatio =
        std::max(mMaxWaitRatio,
                 (mNow - call.mArrived) / mDemands[call.mDemandIndex].mTimeout);
      ScheduleEvent(mNow + DrawExponential(1 / mOptions.mMeanRunSeconds),
                    EventKind::End,
                    call.mNode,
                    *next);
    }
  }

  void HandleEnd(const Event& aEvent)
  {
    Node& node = mNodes[aEvent.mIndex];
    const CallState call = mCalls[aEvent.mExecution.mValue];
    mCalls.erase(aEvent.mExecution.mValue);
    const PartyDemand& demand = mDemands[call.mDemandIndex];
    const double runSeconds = mNow - call.mStarted;
    --node.mRunning;
    node.mUsage.Charge(
      Now(), demand.mParty, demand.mImportance, FromSeconds(runSeconds));
    mBusySeconds += runSeconds;
    if (mNow - call.mArrived <= demand.mTimeout) {
      mCompletedInTime[demand.mParty] += 1;
    } else {
      mWastedSeconds += runSeconds;
    }
    FillSlots(node);
  }

  void ExchangeReports()
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

  ServiceModelOptions mOptions;
  std::vector<PartyDemand> mDemands;
  Rng mRng;
  std::vector<Node> mNodes;
  std::priority_queue<Event> mEvents;
  std::map<uint64_t, CallState> mCalls; ///< Waiting or running, by id.
  // Numbers of calls by party since ResetCounts.
  std::map<std::string, double> mCompletedInTime;
  std::map<std::string, double> mArrived;
  std::map<std::string, double> mDropped;
  double mNow = 0;         ///< Seconds.
  double mWindowStart = 0; ///< Time of the latest ResetCounts, in seconds.
  double mBusySeconds = 0;
  double mWastedSeconds = 0;
  double mMaxWaitRatio = 0;
  int mPriorityInversions = 0;
  uint64_t mNextCall = 0;
};

/** @return demands of 1.2 times the equal share of aCapacity, in calls per
 * second, and of 10 times for the first party. */
std::vector<PartyDemand>
FairDemands(int aParties, double aCapacity, int aOnlyNode)
{
  const double share = aCapacity / aParties;
  std::vector<PartyDemand> demands;
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

// Guards against shares that depend on the demand of a party, on the nodes that
// it reaches, or on the number of nodes.
TEST_CASE("parties that demand more than their share get equal shares",
          "[queue]")
{
  struct Case
  {
    const char* mName;
    int mNodes;
    int mParties;
    int mOnlyNode;
    double mReportLoss;
    ServiceModelOptions mModelOptions;
  };
  const Case cases[] = {
    { "one node", 1, 4, -1, 0, {} },
    { "six nodes", 6, 10, -1, 0, {} },
    { "six nodes, one party reaches one of them", 6, 10, 0, 0, {} },
    { "six nodes, half of the reports lost", 6, 10, 0, 0.5, {} },
    { "few slots and slow calls",
      6,
      10,
      0,
      0,
      { .mSlots = 8, .mMeanRunSeconds = 0.2 } },
  };
  for (const auto& test : cases) {
    for (const uint64_t seed : { 1, 2, 3 }) {
      INFO(test.mName << ", seed " << seed);
      ServiceModelOptions options = test.mModelOptions;
      options.mNodes = test.mNodes;
      options.mReportLoss = test.mReportLoss;
      const double capacity =
        test.mNodes * options.mSlots / options.mMeanRunSeconds;
      auto demands = FairDemands(test.mParties, capacity, test.mOnlyNode);
      for (auto& demand : demands) {
        demand.mTimeout = 20 * options.mMeanRunSeconds;
      }
      ServiceModel model(options, demands, seed);
      model.RunUntil(10);
      model.ResetCounts();
      model.RunUntil(40);
      std::vector<double> rates;
      rates.reserve(demands.size());
      for (const auto& demand : demands) {
        rates.push_back(model.Goodput(demand.mParty));
      }
      CAPTURE(rates);
      CHECK(JainIndex(rates) >= 0.99);
      CHECK(model.Utilisation() >= 0.95);
      CHECK(model.WastedShare() <= 0.02);
      CHECK(model.MaxWaitRatio() <= 1);
    }
  }
}

// Guards against less important calls that are taken before more important
// ones, and against important calls dropped although the capacity suffices.
TEST_CASE("the most important calls are served while the capacity suffices",
          "[queue]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    for (const double load : { 1.0, 2.0, 5.0, 10.0 }) {
      INFO("demand " << load << "x, seed " << seed);
      const ServiceModelOptions options{ .mNodes = 2,
                                         .mSlots = 35,
                                         .mMeanRunSeconds = 0.03,
                                         .mCountInversions = true };
      const double capacity =
        options.mNodes * options.mSlots / options.mMeanRunSeconds;
      ServiceModel model(options,
                         { { "alarm", 0.3 * capacity, 9 },
                           { "a", (load - 0.3) / 2 * capacity, 5 },
                           { "b", (load - 0.3) / 2 * capacity, 2 } },
                         seed);
      model.RunUntil(2);
      model.ResetCounts();
      model.RunUntil(12);
      CHECK(model.DroppedShare("alarm") <= 0.001);
      CHECK(model.PriorityInversions() == 0);
      CHECK(model.WastedShare() <= 0.02);
      CHECK(model.MaxWaitRatio() <= 1);
      if (load >= 2) {
        CHECK(model.Utilisation() >= 0.95);
      }
    }
  }
}

// -- Usage --------------------------------------------------------------------

// Guards against usage that does not decay, and against remote reports that
// never expire.
TEST_CASE("usage decays and old reports expire", "[usage]")
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
