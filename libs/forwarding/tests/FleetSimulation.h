#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/Rng.h"
#include "forwarding/CapacityPlan.h"
#include "forwarding/EntryAdmission.h"
#include "forwarding/KindLog.h"
#include "forwarding/RetryPolicy.h"
#include "forwarding/TargetGate.h"
#include "forwarding/TargetPicker.h"

namespace amaranthgap {

/** Kind of request that a FleetSimulation plays. */
struct SimulatedRequestKind
{
  /** NestedCalls that a execution makes, one after the other. */
  struct NestedCalls
  {
    std::string mKind;
    int mCount = 0;
  };

  std::string mName;
  std::string mService;
  uint32_t mPriority = 0;
  bool mIdempotent = true;
  double mWorkMillis = 10; ///< Schedule a target of speed 1, without its calls.
  double mWorkSigma = 0.5; ///< Of the logarithm of the work.
  double mLatencyTargetMillis = 1000;
  double mTimeoutMillis = 1000;
  double mCallerTimeoutMillis =
    5000; ///< That a caller waits, with all its tries.
  double mKilobytes = 1;
  double mValue = 0;
  std::vector<NestedCalls> mCalls;
};

struct SimulatedService
{
  std::string mName;
  uint32_t mSlots = 10;
  std::vector<double> mSpeeds; ///< By data centre.
};

/** What callers of one kind got. */
struct RequestOutcomes
{
  int mAsked = 0;
  int mOnTime = 0;
  int mLate = 0;
  int mRefused = 0; ///< With all their tries.
  int mFailed = 0;
  double mLatencySumMillis = 0; ///< Sum over those that were served.

  [[nodiscard]] double MeanLatencyMillis() const
  {
    return mLatencySumMillis / std::max(1, mOnTime + mLate);
  }
  /** @return the part of the requests that were served, of those that ended. */
  [[nodiscard]] double ServedShare() const
  {
    const int served = mOnTime + mLate;
    return double(served) / std::max(1, served + mRefused + mFailed);
  }
};

/** Plays callers, nodes and upstreams of a fleet under a virtual clock, with
 * the decisions of this module and without a network. Each data centre has one
 * upstream of each service with a node beside it, and callers enter at all
 * nodes. Not safe for use by several threads. */
class FleetSimulation
{
public:
  struct Options
  {
    std::vector<std::string> mRegions; ///< Of each data centre.
    std::vector<SimulatedService> mServices;
    std::vector<SimulatedRequestKind> mKinds;
    double mCrossRegionMillis = 20; ///< One way.
    uint64_t mSeed = 1;
  };

  /** First tries a second by kind, over all data centres. */
  using Rates = std::map<std::string, double>;

  explicit FleetSimulation(const Options& aOptions);
  ~FleetSimulation();

  /** Plays callers for a time; what they have under way then ends in the next
   * play. */
  void Simulate(Duration aTime, const Rates& aRates);
  /** Makes the upstreams of a service in a data centre slower or faster. */
  void SetSpeed(const std::string& aService,
                size_t aDataCentreIndex,
                double aSpeed);
  /** Takes an upstream away; what it runs is finished. */
  void RemoveUpstream(const std::string& aService, size_t aDataCentreIndex);
  /** Part of the arrivals that all upstreams of a service refuse. */
  void SetRefusalShare(const std::string& aService, double aShare);
  /** Forgets the outcomes so far; requests under way count to what follows. */
  void ResetOutcomes();

  [[nodiscard]] const RequestOutcomes& Outcome(const std::string& aKind) const;
  [[nodiscard]] int Served() const; ///< Of all kinds.
  /** @return the part of the upstreams' own work that was done for trees that
   * failed or were given up. */
  [[nodiscard]] double WastedWork() const;
  [[nodiscard]] double ValueShare()
    const; ///< Earned, as a part of what was asked.
  [[nodiscard]] std::string FormatOutcomes() const;
  /** @return the state of the upstreams of a service, a line each. */
  [[nodiscard]] std::string FormatUpstreams(const std::string& aService);

private:
  struct Node;
  struct Request;
  struct Execution;
  using RequestPtr = std::shared_ptr<Request>;
  using Event = std::function<void()>;

  void Schedule(TimePoint aTime, Event aEvent);
  void RunUntil(TimePoint aEnd);
  void ReportLoads();
  Duration OneWayLatency(const Node& aOne, const Node& aOther);
  void StartRequest(const SimulatedRequestKind& aKind,
                    double aRemainingMillis,
                    bool aIsRetry);
  void EnterNode(Node& aNode, const RequestPtr& aRequest);
  void StartAttempt(const RequestPtr& aRequest);
  void Offer(Node& aTarget, const RequestPtr& aRequest);
  void Refuse(Node& aTarget, ExecutionId aExecution);
  void Start(Node& aTarget, ExecutionId aExecution);
  void NextCall(Node& aTarget, ExecutionId aExecution);
  void EndExecution(Node& aTarget, ExecutionId aExecution, bool aIsGood);
  void StartNext(Node& aTarget);
  void SendReply(Node& aTarget,
                 const RequestPtr& aRequest,
                 AttemptReason aReason);
  void HandleReply(const RequestPtr& aRequest,
                   const Node& aTarget,
                   AttemptReason aReason,
                   const GateLoad& aLoad);
  void FinishRequest(const RequestPtr& aRequest, AttemptReason aReason);

  Options mOptions;
  Rng mRng;
  TimePoint mNow{ seconds(1000) };
  uint64_t mEventCount = 0;
  uint64_t mExecutionCount = 0;
  struct Scheduled
  {
    TimePoint mTime;
    uint64_t mNumber = 0; ///< Events of one moment happen in order.
    Event mEvent;

    bool operator>(const Scheduled& aOther) const
    {
      return std::tie(mTime, mNumber) > std::tie(aOther.mTime, aOther.mNumber);
    }
  };
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
    mEventQueue;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<std::string, SimulatedRequestKind> mKinds;
  std::map<std::string, double> mRefusalShares;
  std::map<std::string, RequestOutcomes> mOutcomes;
  double mCrossRegionKilobytes = 0;
  double mUsefulWork = 0; ///< Of requests that ended, milliseconds.
  double mWastedWork = 0;
};

} // namespace amaranthgap
