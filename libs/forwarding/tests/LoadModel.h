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

/** Kind of request that a LoadModel plays. */
struct ModelKind
{
  /** Calls that a run makes, one after the other. */
  struct Calls
  {
    std::string mKind;
    int mTimes = 0;
  };

  std::string mName;
  std::string mService;
  uint32_t mPriority = 0;
  bool mIdempotent = true;
  double mWorkMillis = 10; ///< At a target of speed 1, without its calls.
  double mSpread = 0.5;    ///< Of the logarithm of the work.
  double mAimMillis = 1000;
  double mTimeoutMillis = 1000;
  double mTimeLeftMillis = 5000; ///< That a caller waits, with all its tries.
  double mKilobytes = 1;
  double mWorth = 0;
  std::vector<Calls> mCalls;
};

struct ModelService
{
  std::string mName;
  uint32_t mSlots = 10;
  std::vector<double> mSpeeds; ///< By data centre.
};

/** What callers of one kind got. */
struct ModelOutcome
{
  int mAsked = 0;
  int mInAim = 0;
  int mLate = 0;
  int mRefused = 0; ///< With all their tries.
  int mFailed = 0;
  double mMillis = 0; ///< Sum over those that were served.

  [[nodiscard]] double MeanMillis() const
  {
    return mMillis / std::max(1, mInAim + mLate);
  }
  /** @return the part of the requests that were served, of those that ended. */
  [[nodiscard]] double ServedShare() const
  {
    const int served = mInAim + mLate;
    return double(served) / std::max(1, served + mRefused + mFailed);
  }
};

/** Plays callers, nodes and upstreams of a fleet under a virtual clock, with
 * the decisions of this module and without a network. Each data centre has one
 * upstream of each service with a node beside it, and callers enter at all
 * nodes. Not safe for use by several threads. */
class LoadModel
{
public:
  struct Options
  {
    std::vector<std::string> mRegions; ///< Of each data centre.
    std::vector<ModelService> mServices;
    std::vector<ModelKind> mKinds;
    double mRegionMillis = 20; ///< One way.
    uint64_t mSeed = 1;
  };

  /** First tries a second by kind, over all data centres. */
  using Rates = std::map<std::string, double>;

  explicit LoadModel(const Options& aOptions);
  ~LoadModel();

  /** Plays callers for a time; what they have under way then ends in the next
   * play. */
  void Play(Duration aTime, const Rates& aRates);
  /** Makes the upstreams of a service in a data centre slower or faster. */
  void SetSpeed(const std::string& aService, size_t aPlace, double aSpeed);
  /** Takes an upstream away; what it runs is finished. */
  void Remove(const std::string& aService, size_t aPlace);
  /** Part of the arrivals that all upstreams of a service refuse. */
  void SetRefusals(const std::string& aService, double aShare);
  /** Forgets the outcomes so far; requests under way count to what follows. */
  void ResetOutcomes();

  [[nodiscard]] const ModelOutcome& Outcome(const std::string& aKind) const;
  [[nodiscard]] int Served() const; ///< Of all kinds.
  /** @return the part of the upstreams' own work that was done for trees that
   * failed or were given up. */
  [[nodiscard]] double WastedWork() const;
  [[nodiscard]] double Worth() const; ///< Earned, as a part of what was asked.
  [[nodiscard]] std::string Table() const;
  /** @return the state of the upstreams of a service, a line each. */
  [[nodiscard]] std::string Describe(const std::string& aService);

private:
  struct Node;
  struct Request;
  struct Run;
  using RequestPtr = std::shared_ptr<Request>;
  using Event = std::function<void()>;

  void At(TimePoint aTime, Event aEvent);
  void RunUntil(TimePoint aEnd);
  void Report();
  Duration Latency(const Node& aOne, const Node& aOther);
  void Arrive(const ModelKind& aKind, double aLeftMillis, bool aIsRetry);
  void Enter(Node& aNode, const RequestPtr& aRequest);
  void Attempt(const RequestPtr& aRequest);
  void Offer(Node& aTarget, const RequestPtr& aRequest);
  void Refuse(Node& aTarget, ExecutionId aExecution);
  void Start(Node& aTarget, ExecutionId aExecution);
  void NextCall(Node& aTarget, ExecutionId aExecution);
  void EndRun(Node& aTarget, ExecutionId aExecution, bool aIsGood);
  void StartNext(Node& aTarget);
  void Reply(Node& aTarget, const RequestPtr& aRequest, AttemptReason aReason);
  void Ended(const RequestPtr& aRequest,
             const Node& aTarget,
             AttemptReason aReason,
             const GateLoad& aLoad);
  void Finish(const RequestPtr& aRequest, AttemptReason aReason);

  Options mOptions;
  Rng mRng;
  TimePoint mNow{ seconds(1000) };
  uint64_t mEvents = 0;
  uint64_t mExecutions = 0;
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
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> mQueue;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::map<std::string, ModelKind> mKinds;
  std::map<std::string, double> mRefusals;
  std::map<std::string, ModelOutcome> mOutcomes;
  double mFarKilobytes = 0;
  double mUsefulWork = 0; ///< Of requests that ended, milliseconds.
  double mWastedWork = 0;
};

} // namespace amaranthgap
