#include "LoadModel.h"

#include <cmath>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

constexpr double kThousandths = 1000;
constexpr double kFrameKilobytes = 0.3;

Duration
Millis(double aMillis)
{
  return FromSeconds(aMillis / 1000);
}

} // namespace

/** Request or call at its entry node. */
struct LoadModel::Request
{
  const ModelKind* mKind = nullptr;
  Node* mEntry = nullptr;
  TimePoint mFirst; ///< First try of its caller.
  TimePoint mArrived;
  TimePoint mDeadline;
  double mLeftMillis = 0;
  bool mIsRetry = false;
  bool mIsNested = false;
  bool mIsDone = false;
  RequestPtr mRoot;       ///< For calls: the request at the root of the tree.
  double mWorkMillis = 0; ///< For roots: work done for the tree.
  uint32_t mPriority = 0;
  uint32_t mShare = 1000;
  CallKind mParent; ///< Of the request that made it.
  std::string mDataCentre;
  std::string mTarget;
  std::set<std::string> mTried;
  AttemptHistory mHistory;
  std::function<void(bool)> mDone; ///< For calls: whether it was answered.
};

struct LoadModel::Run
{
  RequestPtr mRequest;
  TimePoint mArrived;
  TimePoint mStarted;
  bool mIsRunning = false;
  size_t mCalls = 0; ///< Made so far.
};

/** Node with its upstream. */
struct LoadModel::Node
{
  Node(size_t aPlace, const ModelService& aService, const std::string& aRegion)
    : mName(fmt::format("{}-{}", aService.mName, aPlace))
    , mService(aService.mName)
    , mPlace(aPlace)
    , mDataCentre(fmt::format("dc{}", aPlace))
    , mRegion(aRegion)
    , mSpeed(aService.mSpeeds[aPlace % aService.mSpeeds.size()])
    , mGate(UpstreamLimiter::Options{})
    , mPicker(
        { .mDataCentre = mDataCentre, .mRegion = aRegion, .mSeed = aPlace + 7 })
    , mAdmission(aPlace + 11)
  {
    mGate.SetSlots(aService.mSlots);
    mPlan.SetLimit(mGate.Limit());
  }

  TreeLoad Load(TimePoint aNow, const CallKind& aKind)
  {
    TreeLoad out = mPlan.Load(aNow, aKind.mPriority);
    if (const auto it = mBelow.find(aKind); it != mBelow.end()) {
      out = TreeLoad::MostRestrictive(out, it->second.Value(aNow));
    }
    out.mFailureRatio = mKinds.Find(aKind).mFailedShare;
    return out;
  }

  GateLoad Load(TimePoint aNow, const Request& aRequest)
  {
    const CallKind kind{ aRequest.mKind->mName, aRequest.mPriority };
    const CallKindStats::Record record = mKinds.Find(kind);
    const TreeLoad tree = Load(aNow, kind);
    return { .mRunning = mGate.Running(),
             .mWaiting = uint32_t(mGate.Waiting()),
             .mLimit = mGate.Limit(),
             .mWaitMs = uint32_t(ToMillis(
               mGate.EstimateWait(aRequest.mPriority, aRequest.mIsNested))),
             .mRunMs = uint32_t(record.mRunMillis),
             .mShare = uint32_t(tree.mShare * kThousandths),
             .mDemand = uint32_t(tree.mDemand * kThousandths),
             .mFailed = uint32_t(record.mFailedShare * kThousandths) };
  }

  std::string mName;
  std::string mService;
  size_t mPlace;
  std::string mDataCentre;
  std::string mRegion;
  double mSpeed;
  UpstreamLimiter mGate;
  CapacityPlan mPlan;
  TargetPicker mPicker;
  EntryAdmission mAdmission;
  std::map<std::string, RequestProfile> mNeeds;
  std::map<CallKind, SmoothedLoad> mBelow;
  CallKindStats mKinds;
  std::map<ExecutionId, Run> mRuns;
};

LoadModel::LoadModel(const Options& aOptions)
  : mOptions(aOptions)
  , mRng(aOptions.mSeed)
{
  for (const ModelKind& it : aOptions.mKinds) {
    mKinds[it.mName] = it;
  }
  for (size_t place = 0; place < aOptions.mRegions.size(); ++place) {
    for (const ModelService& it : aOptions.mServices) {
      mNodes.push_back(
        std::make_unique<Node>(place, it, aOptions.mRegions[place]));
    }
  }
  for (const auto& one : mNodes) {
    for (const auto& other : mNodes) {
      one->mPicker.SetTarget(mNow,
                             { .mNode = other->mName,
                               .mRun = 1,
                               .mRevision = 1,
                               .mDataCentre = other->mDataCentre,
                               .mRegion = other->mRegion,
                               .mService = other->mService,
                               .mInstance = other->mName,
                               .mLimit = other->mGate.Limit(),
                               .mTakesWork = true });
    }
  }
}

LoadModel::~LoadModel() = default;

void
LoadModel::At(TimePoint aTime, Event aEvent)
{
  mQueue.push({ std::max(aTime, mNow), ++mEvents, std::move(aEvent) });
}

void
LoadModel::RunUntil(TimePoint aEnd)
{
  while (!mQueue.empty() && mQueue.top().mTime <= aEnd) {
    mNow = mQueue.top().mTime;
    const Event event = mQueue.top().mEvent;
    mQueue.pop();
    event();
  }
  mNow = aEnd;
}

Duration
LoadModel::Latency(const Node& aOne, const Node& aOther)
{
  if (&aOne == &aOther) {
    return Duration::zero();
  }
  const double base =
    aOne.mRegion != aOther.mRegion ? mOptions.mRegionMillis : 0.5;
  return Millis(base + mRng.Uniform(0, 0.2));
}

void
LoadModel::Play(Duration aTime, const Rates& aRates)
{
  const TimePoint end = mNow + aTime;
  for (const auto& [name, rate] : aRates) {
    const ModelKind& kind = mKinds.at(name);
    TimePoint at = mNow;
    while (rate > 0) {
      at += FromSeconds(-std::log(1 - mRng.Uniform()) / rate);
      if (at >= end) {
        break;
      }
      At(at, [this, &kind] { Arrive(kind, kind.mTimeLeftMillis, false); });
    }
  }
  for (TimePoint it = mNow; it < end; it += milliseconds(500)) {
    At(it, [this] { Report(); });
  }
  RunUntil(end);
}

// Nodes tell all others of kinds of first requests that they cannot take whole.
void
LoadModel::Report()
{
  for (const auto& node : mNodes) {
    for (const CallKind& kind : node->mKinds.Kinds()) {
      const TreeLoad load = node->Load(mNow, kind);
      if (mKinds.at(kind.mRoute).mWorth > 0 && load.NeedsReport()) {
        for (const auto& other : mNodes) {
          other->mAdmission.UpdateLoad(
            mNow, kind.mRoute, node->mDataCentre, load);
        }
      }
    }
  }
}

void
LoadModel::SetSpeed(const std::string& aService, size_t aPlace, double aSpeed)
{
  for (const auto& it : mNodes) {
    if (it->mService == aService && it->mPlace == aPlace) {
      it->mSpeed = aSpeed;
    }
  }
}

void
LoadModel::Remove(const std::string& aService, size_t aPlace)
{
  for (const auto& it : mNodes) {
    if (it->mService == aService && it->mPlace == aPlace) {
      for (const auto& other : mNodes) {
        other->mPicker.RemoveNode(it->mName);
      }
    }
  }
}

void
LoadModel::SetRefusals(const std::string& aService, double aShare)
{
  mRefusals[aService] = aShare;
}

void
LoadModel::ResetOutcomes()
{
  mOutcomes.clear();
  mFarKilobytes = 0;
  mUsefulWork = 0;
  mWastedWork = 0;
}

void
LoadModel::Arrive(const ModelKind& aKind, double aLeftMillis, bool aIsRetry)
{
  auto request = std::make_shared<Request>();
  request->mKind = &aKind;
  request->mLeftMillis = aLeftMillis;
  request->mFirst = mNow - Millis(aKind.mTimeLeftMillis - aLeftMillis);
  request->mIsRetry = aIsRetry;
  if (!aIsRetry) {
    ++mOutcomes[aKind.mName].mAsked;
  }
  Enter(*mNodes[mRng.Below(mNodes.size())], request);
}

void
LoadModel::Enter(Node& aNode, const RequestPtr& aRequest)
{
  const ModelKind& kind = *aRequest->mKind;
  aRequest->mEntry = &aNode;
  aRequest->mArrived = mNow;
  if (!aRequest->mIsNested) {
    aRequest->mPriority = kind.mPriority;
    aRequest->mDeadline =
      mNow + Millis(std::min(kind.mTimeoutMillis, aRequest->mLeftMillis));
  }
  aRequest->mHistory.mIdempotent = kind.mIdempotent;
  aRequest->mHistory.mMaxUpstreamAttempts = 2;
  if (!aRequest->mIsNested) {
    const auto admitted =
      aNode.mAdmission.Admit(mNow,
                             kind.mName,
                             aNode.mNeeds[kind.mName],
                             aNode.mPicker.DataCentresOf(mNow, kind.mService));
    if (!admitted) {
      Finish(aRequest, AttemptReason::Throttled);
      return;
    }
    aRequest->mDataCentre = admitted->mDataCentre;
    aRequest->mShare = uint32_t(admitted->mShare * kThousandths);
  }
  At(aRequest->mDeadline, [this, aRequest] {
    if (!aRequest->mIsDone) {
      aRequest->mHistory.mMayHaveRun = true;
      aRequest->mEntry->mPicker.Abandoned(aRequest->mTarget);
      Finish(aRequest, AttemptReason::Expired);
    }
  });
  Attempt(aRequest);
}

void
LoadModel::Attempt(const RequestPtr& aRequest)
{
  Node& entry = *aRequest->mEntry;
  const ModelKind& kind = *aRequest->mKind;
  const auto target =
    entry.mPicker.Choose(mNow,
                         { .mService = kind.mService,
                           .mKind = { kind.mName, aRequest->mPriority },
                           .mLatencyTarget = Millis(kind.mAimMillis),
                           .mKilobytes = entry.mNeeds[kind.mName].mKilobytes,
                           .mDataCentre = aRequest->mDataCentre },
                         aRequest->mTried);
  if (!target) {
    Finish(aRequest, AttemptReason::NoRoom);
    return;
  }
  aRequest->mTarget = target->mNode;
  aRequest->mTried.insert(target->mNode);
  entry.mPicker.Sent(target->mNode);
  for (const auto& it : mNodes) {
    if (it->mName == target->mNode) {
      if (it->mRegion != entry.mRegion) {
        mFarKilobytes += kind.mKilobytes + kFrameKilobytes;
      }
      At(mNow + Latency(entry, *it),
         [this, aRequest, node = it.get()] { Offer(*node, aRequest); });
    }
  }
}

void
LoadModel::Offer(Node& aTarget, const RequestPtr& aRequest)
{
  if (aRequest->mIsDone) {
    return;
  }
  aTarget.mPlan.Arrived(
    mNow, aRequest->mPriority, aRequest->mShare / kThousandths);
  const ExecutionId id{ ++mExecutions };
  const SlotRequest asked{ .mExecution = id,
                           .mPriority = aRequest->mPriority,
                           .mIsNested = aRequest->mIsNested,
                           .mDeadline = aRequest->mDeadline,
                           .mLatencyTarget =
                             Millis(aRequest->mKind->mAimMillis) };
  const auto verdict = aTarget.mGate.Offer(mNow, asked);
  aTarget.mRuns[id] = { .mRequest = aRequest, .mArrived = mNow };
  for (const ExecutionId it : verdict.mEvicted) {
    Refuse(aTarget, it);
  }
  if (verdict.mStarted) {
    Start(aTarget, id);
  } else if (!verdict.mQueued) {
    Refuse(aTarget, id);
  } else {
    At(mNow + UpstreamLimiter::MaxWait(asked), [this, &aTarget] {
      for (const ExecutionId it : aTarget.mGate.RemoveOverdue(mNow)) {
        Refuse(aTarget, it);
      }
    });
  }
}

void
LoadModel::Refuse(Node& aTarget, ExecutionId aExecution)
{
  const RequestPtr request = aTarget.mRuns.at(aExecution).mRequest;
  aTarget.mRuns.erase(aExecution);
  aTarget.mPlan.Refused(mNow, request->mPriority);
  Reply(aTarget, request, AttemptReason::NoRoom);
}

void
LoadModel::Start(Node& aTarget, ExecutionId aExecution)
{
  Run& run = aTarget.mRuns.at(aExecution);
  const ModelKind& kind = *run.mRequest->mKind;
  run.mIsRunning = true;
  run.mStarted = mNow;
  aTarget.mPlan.Started(mNow, run.mRequest->mPriority, mNow - run.mArrived);
  if (run.mRequest->mIsDone) {
    EndRun(aTarget, aExecution, false);
    return;
  }
  if (mRng.Uniform() < mRefusals[kind.mService]) {
    const RequestPtr request = run.mRequest;
    aTarget.mPlan.Ended(mNow, request->mPriority, Duration::zero());
    aTarget.mGate.Finished(Duration::zero());
    aTarget.mRuns.erase(aExecution);
    Reply(aTarget, request, AttemptReason::UpstreamRefused);
    StartNext(aTarget);
    return;
  }
  // Log-normal work with the mean of the kind.
  const double normal = std::sqrt(-2 * std::log(1 - mRng.Uniform())) *
                        std::cos(2 * M_PI * mRng.Uniform());
  const double work =
    kind.mWorkMillis *
    std::exp(kind.mSpread * normal - kind.mSpread * kind.mSpread / 2);
  const RequestPtr& root =
    run.mRequest->mRoot ? run.mRequest->mRoot : run.mRequest;
  root->mWorkMillis += work / aTarget.mSpeed;
  At(mNow + Millis(work / aTarget.mSpeed),
     [this, &aTarget, aExecution] { NextCall(aTarget, aExecution); });
}

void
LoadModel::NextCall(Node& aTarget, ExecutionId aExecution)
{
  Run& run = aTarget.mRuns.at(aExecution);
  const Request& parent = *run.mRequest;
  if (parent.mIsDone) {
    EndRun(aTarget, aExecution, false);
    return;
  }
  size_t calls = run.mCalls++;
  for (const ModelKind::Calls& it : parent.mKind->mCalls) {
    if (calls >= size_t(it.mTimes)) {
      calls -= size_t(it.mTimes);
      continue;
    }
    auto call = std::make_shared<Request>();
    call->mKind = &mKinds.at(it.mKind);
    call->mIsNested = true;
    call->mRoot = parent.mRoot ? parent.mRoot : run.mRequest;
    call->mPriority = parent.mPriority;
    call->mShare = parent.mShare;
    call->mParent = { parent.mKind->mName, parent.mPriority };
    call->mDeadline =
      std::min(parent.mDeadline, mNow + Millis(call->mKind->mTimeoutMillis));
    call->mDone = [this, &aTarget, aExecution](bool aIsGood) {
      if (aIsGood) {
        NextCall(aTarget, aExecution);
      } else {
        EndRun(aTarget, aExecution, false);
      }
    };
    Enter(aTarget, call);
    return;
  }
  EndRun(aTarget, aExecution, true);
}

void
LoadModel::EndRun(Node& aTarget, ExecutionId aExecution, bool aIsGood)
{
  const Run run = aTarget.mRuns.at(aExecution);
  aTarget.mRuns.erase(aExecution);
  const Duration time =
    run.mRequest->mIsDone ? Duration::zero() : mNow - run.mStarted;
  aTarget.mGate.Finished(time);
  aTarget.mPlan.Ended(mNow, run.mRequest->mPriority, time);
  aTarget.mKinds.Ended({ run.mRequest->mKind->mName, run.mRequest->mPriority },
                       time,
                       aIsGood && !run.mRequest->mIsDone);
  // An upstream whose call failed answers with a failure of its own.
  Reply(aTarget,
        run.mRequest,
        aIsGood ? AttemptReason::None : AttemptReason::CallerGone);
  StartNext(aTarget);
}

void
LoadModel::StartNext(Node& aTarget)
{
  while (const auto next = aTarget.mGate.StartNextQueued()) {
    Start(aTarget, *next);
  }
}

void
LoadModel::Reply(Node& aTarget,
                 const RequestPtr& aRequest,
                 AttemptReason aReason)
{
  const GateLoad load = aTarget.Load(mNow, *aRequest);
  At(mNow + Latency(aTarget, *aRequest->mEntry),
     [this, aRequest, &aTarget, aReason, load] {
       Ended(aRequest, aTarget, aReason, load);
     });
}

void
LoadModel::Ended(const RequestPtr& aRequest,
                 const Node& aTarget,
                 AttemptReason aReason,
                 const GateLoad& aLoad)
{
  if (aRequest->mIsDone) {
    return;
  }
  Node& entry = *aRequest->mEntry;
  const ModelKind& kind = *aRequest->mKind;
  entry.mPicker.Replied(
    mNow,
    aTarget.mName,
    { .mKind = { kind.mName, aRequest->mPriority },
      .mIsRefused = aReason == AttemptReason::NoRoom,
      .mIsFailed = aReason == AttemptReason::UpstreamRefused },
    aLoad);
  const TreeLoad tree{ .mShare = aLoad.mShare / kThousandths,
                       .mDemand = aLoad.mDemand / kThousandths,
                       .mFailureRatio = aLoad.mFailed / kThousandths };
  if (aRequest->mIsNested) {
    entry.mBelow[aRequest->mParent].Note(mNow, tree);
  } else {
    entry.mAdmission.UpdateLoad(mNow, kind.mName, aTarget.mDataCentre, tree);
  }
  if (aReason == AttemptReason::None) {
    RequestProfile& need = entry.mNeeds[kind.mName];
    need.mKilobytes += 0.1 * (kind.mKilobytes + 0.5 - need.mKilobytes);
    need.mMillis +=
      0.1 * (ToSeconds(mNow - aRequest->mArrived) * 1000 - need.mMillis);
  }
  if (aReason == AttemptReason::None || aReason == AttemptReason::CallerGone) {
    Finish(aRequest, aReason);
    return;
  }
  AttemptHistory& history = aRequest->mHistory;
  (EndedBeforeUpstream(aReason) ? history.mRedirects
                                : history.mUpstreamAttempts) += 1;
  if (ChooseNextStep(history, aReason) == NextStep::Redirect) {
    Attempt(aRequest);
  } else {
    Finish(aRequest, aReason);
  }
}

void
LoadModel::Finish(const RequestPtr& aRequest, AttemptReason aReason)
{
  aRequest->mIsDone = true;
  const bool good = aReason == AttemptReason::None;
  if (aRequest->mIsNested) {
    aRequest->mDone(good);
    return;
  }
  const ModelKind& kind = *aRequest->mKind;
  (good ? mUsefulWork : mWastedWork) += aRequest->mWorkMillis;
  ModelOutcome& outcome = mOutcomes[kind.mName];
  const double millis = ToSeconds(mNow - aRequest->mFirst) * 1000;
  if (good) {
    (millis <= kind.mAimMillis ? outcome.mInAim : outcome.mLate) += 1;
    outcome.mMillis += millis;
    return;
  }
  const bool refused =
    !aRequest->mHistory.mMayHaveRun && aReason != AttemptReason::CallerGone;
  const double left = kind.mTimeLeftMillis - millis;
  if (!aRequest->mIsRetry && (refused || kind.mIdempotent) && left > 0) {
    const double pause = refused ? left * mRng.Uniform(0.1, 0.3) : 1;
    At(mNow + Millis(pause),
       [this, &kind, left, pause] { Arrive(kind, left - pause, true); });
    return;
  }
  (refused ? outcome.mRefused : outcome.mFailed) += 1;
}

const ModelOutcome&
LoadModel::Outcome(const std::string& aKind) const
{
  return mOutcomes.at(aKind);
}

int
LoadModel::Served() const
{
  int served = 0;
  for (const auto& [name, outcome] : mOutcomes) {
    served += outcome.mInAim + outcome.mLate;
  }
  return served;
}

double
LoadModel::WastedWork() const
{
  return mWastedWork / std::max(1.0, mUsefulWork + mWastedWork);
}

double
LoadModel::Worth() const
{
  double earned = 0;
  double asked = 0;
  for (const auto& [name, outcome] : mOutcomes) {
    const double worth = mKinds.at(name).mWorth;
    earned += worth * (outcome.mInAim + 0.3 * outcome.mLate);
    asked += worth * outcome.mAsked;
  }
  return asked > 0 ? earned / asked : 1;
}

std::string
LoadModel::Table() const
{
  std::string out = fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}\n",
                                "kind",
                                "asked",
                                "in aim",
                                "late",
                                "refused",
                                "failed",
                                "ms");
  for (const auto& [name, it] : mOutcomes) {
    out += fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8.0f}\n",
                       name,
                       it.mAsked,
                       it.mInAim,
                       it.mLate,
                       it.mRefused,
                       it.mFailed,
                       it.MeanMillis());
  }
  return out +
         fmt::format(
           "worth {:.3f}, wasted work {:.3f}, {:.0f} KB between regions\n",
           Worth(),
           WastedWork(),
           mFarKilobytes);
}

std::string
LoadModel::Describe(const std::string& aService)
{
  std::string out;
  for (const auto& it : mNodes) {
    if (it->mService != aService) {
      continue;
    }
    out += fmt::format("{:<10} running {:>3} waiting {:>3}",
                       it->mName,
                       it->mGate.Running(),
                       it->mGate.Waiting());
    for (uint32_t rank = 0; rank < 3; ++rank) {
      const TreeLoad load = it->mPlan.Load(mNow, rank);
      out += fmt::format("  {:.2f} of {:.2f}", load.mShare, load.mDemand);
    }
    out += '\n';
  }
  return out;
}

} // namespace amaranthgap
