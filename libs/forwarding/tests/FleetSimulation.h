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
#include "forwarding/CallKindStats.h"
#include "forwarding/CapacityPlan.h"
#include "forwarding/EntryAdmission.h"
#include "forwarding/RetryPolicy.h"
#include "forwarding/TargetPicker.h"
#include "forwarding/UpstreamLimiter.h"

namespace amaranthgap {

/** Kind of request in a FleetSimulation; requests and calls of one kind share a
 * service and its parameters. */
struct SimulatedRequestKind
{
  /** Calls of one kind that each execution makes, one after the other. */
  struct NestedCalls
  {
    std::string mKind;
    int mCount = 0;
  };

  std::string mName;
  std::string mService;
  uint32_t mPriority = 0;
  bool mIdempotent = true;
  double mWorkMillis = 10; ///< Mean run time without calls, at speed 1.
  double mWorkSigma = 0.5; ///< Standard deviation of log(work).
  double mLatencyTargetMillis = 1000;
  double mTimeoutMillis = 1000;
  /** Time that a caller waits, including its retry. */
  double mCallerTimeoutMillis = 5000;
  double mKilobytes = 1; ///< Size of request and answer.
  /** Weight in ValueShare(); 0 for kinds that only upstreams call. */
  double mValue = 0;
  std::vector<NestedCalls> mCalls;
};

struct SimulatedService
{
  std::string mName;
  uint32_t mSlots = 10;
  std::vector<double> mSpeeds; ///< By data centre, repeated as needed.
};

/** Outcomes of the requests of one kind, as their callers see them. */
struct RequestOutcomes
{
  int mOffered = 0;             ///< Requests, not counting retries.
  int mOnTime = 0;              ///< Served within the latency target.
  int mLate = 0;                ///< Served after the latency target.
  int mRefused = 0;             ///< The last try was refused.
  int mFailed = 0;              ///< The last try may have run.
  double mLatencySumMillis = 0; ///< Of served requests, from the first try.

  [[nodiscard]] double MeanLatencyMillis() const
  {
    return mLatencySumMillis / std::max(1, mOnTime + mLate);
  }
  /** @return the served part of the requests that ended. */
  [[nodiscard]] double ServedShare() const
  {
    const int served = mOnTime + mLate;
    return double(served) / std::max(1, served + mRefused + mFailed);
  }
};

/** Discrete-event simulation of a fleet's callers, nodes and upstreams. Runs
 * the admission, queueing, routing and retry code of this module on a virtual
 * clock, without a network. Each data centre has one upstream of each service
 * with a node beside it; callers enter at a random node. Not safe for use by
 * several threads. */
class FleetSimulation
{
public:
  struct Options
  {
    std::vector<std::string> mRegions; ///< By data centre.
    std::vector<SimulatedService> mServices;
    std::vector<SimulatedRequestKind> mKinds;
    double mCrossRegionMillis = 20; ///< One-way latency between regions.
    uint64_t mSeed = 1;
  };

  /** Requests per second by kind, over all data centres and without retries. */
  using Rates = std::map<std::string, double>;

  explicit FleetSimulation(const Options& aOptions);
  ~FleetSimulation();

  /** Generates Poisson arrivals and runs the simulation for the given time.
   * Requests still in flight at the end continue in the next call. */
  void Simulate(Duration aTime, const Rates& aRates);
  /** Sets the speed of the upstream of a service in a data centre. Run times
   * are divided by it. */
  void SetSpeed(const std::string& aService,
                size_t aDataCentreIndex,
                double aSpeed);
  /** Removes the upstream from routing; requests already sent to it finish. */
  void RemoveUpstream(const std::string& aService, size_t aDataCentreIndex);
  /** Sets the part of the requests that every upstream of a service refuses at
   * their start. */
  void SetRefusalShare(const std::string& aService, double aShare);
  /** Clears the outcomes; requests in flight are counted when they end. */
  void ResetOutcomes();

  [[nodiscard]] const RequestOutcomes& Outcome(const std::string& aKind) const;
  [[nodiscard]] int Served() const; ///< Of all kinds.
  /** @return the part of the upstreams' run time, without waits for calls, that
   * was spent on request trees that did not succeed. */
  [[nodiscard]] double WastedWork() const;
  /** @return the value of the served requests as a part of the value of all
   * offered ones; a late answer counts 0.3 of its value. */
  [[nodiscard]] double ValueShare() const;
  /** @return a table of the outcomes by kind. */
  [[nodiscard]] std::string FormatOutcomes() const;
  /** @return the state of each upstream of a service, one per line. */
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
  void EndExecution(Node& aTarget, ExecutionId aExecution, bool aIsSuccess);
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
    uint64_t mNumber = 0; ///< Keeps the order of events at the same time.
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
  double mUsefulWork = 0; ///< Milliseconds, for requests that succeeded.
  double mWastedWork = 0; ///< Milliseconds, for requests that did not.
};

} // namespace amaranthgap
