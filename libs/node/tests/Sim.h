#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../../manifest/tests/MemoryStore.h"
#include "base/Rng.h"
#include "node/NodeLogic.h"
#include "node/TargetLogic.h"

namespace amaranthgap::sim {

using Node = NodeLogic<NullMutex>;

/** Service of a simulation, with the child calls that each run makes. */
struct ServiceModel
{
  struct Child
  {
    std::string mService;
    std::string mRequestClass;
    uint32_t mCount = 1;
  };

  std::string mName;
  uint32_t mHosts = 3;
  uint32_t mSlots = 8;
  Duration mRun = milliseconds(5);
  std::vector<Child> mChildren;
};

struct Faults
{
  double mLoss = 0;      ///< Share of messages that vanish.
  double mDuplicate = 0; ///< Share that arrives twice.
  double mDelay = 0;     ///< Share that arrives up to a second late.
  Duration mLatency = microseconds(500);
};

struct Options
{
  uint64_t mSeed = 1;
  std::vector<ServiceModel> mServices;
  ManifestEntries mManifest;
  Faults mFaults;
  bool mPolicyOff = false;
};

/** What the model of an upstream is told to do besides its normal run. */
struct Behaviour
{
  std::set<std::string> mPoison; ///< Operations that crash the upstream.
  double mFailure = 0;           ///< Share of answers that are cut off.
};

/** One CallArrived of an external caller and its answer. */
struct Sent
{
  uint64_t mOperation = 0;
  CallerHandle mHandle;
  size_t mHost = 0;
  uint64_t mHostEpoch = 0;
  std::string mKey;
  TimePoint mSent;
  TimePoint mDeadline;
  bool mGone = false; ///< The caller has hung up or its host was lost.
  std::optional<AnswerCaller> mAnswer;
  TimePoint mAnswered;
};

/** One run of a request at an upstream. */
struct Run
{
  std::string mOperation;
  std::string mCopy;
  RequestId mRequest;
  size_t mHost = 0;
  TimePoint mStarted;
};

/** What decides on the place of a call in the queue of a target. */
struct Rank
{
  uint32_t mImportance = 0;
  std::string mParty;
  TimePoint mDeadline;
};

/** @return name of the copy of a request that a call carries. */
std::string
CopyOf(const HttpRequest& aHttp);

/** Many nodes with their upstreams in one process, on a virtual clock and a
 * network that loses, delays, repeats and reorders messages. All randomness
 * comes from one seed. */
class Sim
{
public:
  struct Host
  {
    NodeId mId;
    std::string mAddress;
    std::string mService;
    std::string mDataCentre;
    std::unique_ptr<Node> mNode;
    uint64_t mHighestVersion = 0; ///< In force at this incarnation.
    uint64_t mEpoch = 0; ///< Raised at each start and kill of the node.
    bool mAlive = false;
    bool mPaused = false;
    bool mDraining = false;
    std::vector<std::function<void()>> mHeld; ///< Events while paused.
    int mPartition = 0;

    // -- Upstream --
    bool mUpstreamUp = false;
    bool mUpstreamLeaving = false;
    TimePoint mLeavingSince;
    uint64_t mRun = 0;
    uint32_t mCrashes = 0;
    double mSlowness = 1;
    struct Work
    {
      StartUpstream mStart;
      std::string mOperation;
      uint64_t mChildrenLeft = 0;
      bool mFailed = false;
      bool mCancelled = false;
      std::map<uint64_t, std::string> mBodies;
      uint64_t mEpoch = 0;
    };
    std::map<uint64_t, Work> mWork; ///< By execution.
  };

  explicit Sim(Options aOptions);
  ~Sim();
  Sim(const Sim&) = delete;
  Sim& operator=(const Sim&) = delete;

  // -- Time --
  void After(Duration aDelay, std::function<void()> aEvent);
  void RunFor(Duration aTime);
  [[nodiscard]] TimePoint Now() const { return mNow; }
  Rng& Random() { return mRng; }

  // -- Faults --
  void Kill(size_t aHost);
  void Start(size_t aHost);
  void Pause(size_t aHost);
  void Resume(size_t aHost);
  void Drain(size_t aHost);
  void CrashUpstream(size_t aHost);
  void StartUpstreamOf(size_t aHost);
  void Partition(size_t aHost, int aPart);
  Faults& NetworkFaults() { return mOptions.mFaults; }
  Behaviour& Upstreams() { return mBehaviour; }
  MemoryStore& Store() { return mStore; }
  bool mStoreDown = false;
  double mStoreLoseAnswer = 0;
  Duration mTick = milliseconds(20); ///< Between two ticks of a node.
  /** Publishes a manifest as an operator does. */
  void Publish(const ManifestEntries& aEntries);
  /** Runs until all nodes have joined and know all upstreams. */
  void Settle();

  // -- Callers --
  /** Sends a request; the operation names its content.
   * @return index into Calls. */
  size_t Call(size_t aHost,
              uint64_t aOperation,
              const std::string& aService,
              const std::string& aClass,
              const RequestId& aRequest,
              const std::string& aKey,
              Duration aTimeout = {},
              const std::string& aCaller = "web");
  /** Asks for an idempotency key ahead of time. @return index into Calls. */
  size_t AskKey(size_t aHost,
                const std::string& aService,
                const std::string& aClass);
  void HangUp(size_t aCall);
  /** @return executions at the upstreams of all hosts. */
  [[nodiscard]] size_t WorkInFlight() const;
  /** @return child calls for whose answer an upstream still waits. */
  [[nodiscard]] size_t OpenChildCalls() const { return mChildWaits.size(); }
  std::function<void(size_t)> mOnAnswer;

  // -- Observation --
  std::vector<Host>& Hosts() { return mHosts; }
  std::vector<Sent>& Calls() { return mCalls; }
  [[nodiscard]] const std::vector<Run>& Runs() const { return mRuns; }
  [[nodiscard]] size_t RunsOf(const std::string& aOperation) const;
  [[nodiscard]] const std::map<RequestId, uint64_t>& CallsByRequest() const
  {
    return mCallsByRequest;
  }
  std::vector<std::string>& Violations() { return mViolations; }
  [[nodiscard]] std::string Expected(const std::string& aService,
                                     const std::string& aOperation) const;
  [[nodiscard]] uint64_t CounterSum(const std::string& aName);

private:
  void Post(size_t aHost, uint64_t aEpoch, std::function<void()> aEvent);
  /** Gives an event to the node of a host unless that has been replaced. */
  template<class F>
  void Deliver(size_t aHost, uint64_t aEpoch, F aEvent)
  {
    Post(aHost, aEpoch, [this, aHost, event = std::move(aEvent)] {
      Actions actions;
      event(*mHosts[aHost].mNode, actions);
      Carry(aHost, std::move(actions));
    });
  }
  void Carry(size_t aHost, Actions aActions);
  /** Checks the order of shedding and the shares of the parties (G2, G9). */
  void CheckQueue(size_t aHost, const Actions& aActions);
  void CheckRefusals(size_t aHost,
                     const QueueView& aQueue,
                     const std::vector<Rank>& aRefused,
                     size_t aStarted);
  void Send(size_t aHost, SendMessage aSend);
  void Transmit(size_t aFrom, size_t aTo, Envelope aEnvelope, Duration aDelay);
  void ReportLost(size_t aHost, const NodeRef& aPeer, bool aNeverSent);
  void Answered(size_t aHost, const AnswerCaller& aAnswer);
  void CallStore(size_t aHost, StartStoreCall aCall);
  void WakeWatches();
  void AnswerStore(size_t aHost,
                   uint64_t aEpoch,
                   StoreCallId aCall,
                   Duration aDelay,
                   StoreAnswer aAnswer);
  void TickHost(size_t aHost, uint64_t aEpoch);
  void Announce(size_t aHost, uint64_t aEpoch);
  void BeginWork(size_t aHost, StartUpstream aStart);
  void CallChildren(size_t aHost, uint64_t aRun, uint64_t aExecution);
  void ChildAnswered(size_t aHost,
                     uint64_t aExecution,
                     uint64_t aIndex,
                     const AnswerCaller& aAnswer);
  void EndWork(size_t aHost, uint64_t aRun, uint64_t aExecution);
  void FailWork(size_t aHost, uint64_t aExecution, UpstreamFailure aFailure);
  void CancelWork(size_t aHost, ExecutionId aExecution);
  Host::Work* FindWork(size_t aHost, uint64_t aExecution);
  [[nodiscard]] const ServiceModel& Model(const std::string& aService) const;

  struct ChildWait
  {
    size_t mHost = 0;
    uint64_t mEpoch = 0;
    uint64_t mExecution = 0;
    uint64_t mIndex = 0;
    std::string mCopy;
  };
  struct Watch
  {
    size_t mHost = 0;
    uint64_t mEpoch = 0;
    StartStoreCall mCall;
    TimePoint mUntil;
  };

  Options mOptions;
  Rng mRng;
  TimePoint mNow{ seconds(1000) };
  std::multimap<TimePoint, std::function<void()>> mEvents;
  MemoryStore mStore;
  std::vector<Watch> mWatches;
  uint64_t mPublished = 0;
  Behaviour mBehaviour;
  std::vector<Host> mHosts;
  std::map<std::string, size_t> mByAddress;
  std::set<std::pair<size_t, size_t>> mLinks; ///< Open streams.
  /** Streams that broke, before their users were told. */
  std::set<std::pair<size_t, size_t>> mBreaking;
  std::vector<Sent> mCalls;
  std::map<uint64_t, size_t> mByHandle;
  std::map<uint64_t, ChildWait> mChildWaits;
  /** Of the calls that peers received, by host, caller and call. */
  std::map<std::tuple<size_t, NodeRef, CallId>, Rank> mRanks;
  std::map<std::string, uint32_t> mImportanceOf; ///< By copy.
  std::vector<Run> mRuns;
  std::map<RequestId, uint64_t> mCallsByRequest;
  std::vector<std::string> mViolations;
  uint64_t mLastHandle = 0;
  uint64_t mLastSequence = 0;
};

/** A simulation whose nodes have joined. */
struct SettledSim : Sim
{
  explicit SettledSim(Options aOptions)
    : Sim(std::move(aOptions))
  {
    Settle();
  }
};

} // namespace amaranthgap::sim
