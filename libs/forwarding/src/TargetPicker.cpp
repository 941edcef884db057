#include "forwarding/TargetPicker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

// Time constants for the decay of the load from other nodes, which is at least
// the run time of a request, and of waits.
constexpr double kMinLoadDecaySeconds = 0.5;
constexpr double kWaitDecaySeconds = 0.3;
// Time for which run times and failures of a target are valid. A target avoided
// because of them gets one probe request per interval.
constexpr Duration kKindExpiry = seconds(10);
constexpr Duration kProbeInterval = seconds(1);
// Penalty above which a target is avoided.
constexpr double kAvoidancePenaltyMillis = 5;
// Run time assumed for kinds of requests without data.
constexpr double kDefaultRunMillis = 50;
// Weight of one reply in the failure share.
constexpr double kFailureWeight = 0.1;
// Load above which requests have to wait.
constexpr double kFullLoad = 0.95;
// Wait assumed after a refusal: the longest time in the queue of an upstream.
constexpr double kRefusedWaitMillis = 150;
// A target is slow if a run takes more than this share of the latency target
// and exceeds the run time at the fastest target by this factor. The excess is
// added to its cost.
constexpr double kAcceptableRunShare = 0.5;
constexpr double kSlowRunFactor = 3;
// Demand below a target above which its cost rises, and the maximum added cost.
constexpr double kBusyDemand = 0.8;
constexpr double kExcessDemandMillis = 150;
// Weight of one reply in that demand, and the time constant of its decay.
constexpr double kDemandWeight = 0.1;
constexpr double kDemandDecaySeconds = 2;
// Targets whose costs differ by less than the larger of these two (the second
// is a share of the run time) are chosen by run time and load.
constexpr double kEqualCostMillis = 1;
constexpr double kEqualCostRunShare = 0.05;
// Above this load the expected run time at a target is increased, up to this
// factor at full load, so that requests go to other targets before they queue.
constexpr double kHighLoadShare = 0.7;
constexpr double kFullLoadFactor = 2.5;
constexpr double kMillisPerSecond = 1000;
constexpr Duration kInitialBackoff = milliseconds(200);
constexpr Duration kMaxBackoff = seconds(4);

// Weight of a target in a draw, by its run time.
double
SpeedWeight(double aRunMillis)
{
  return 1 / (aRunMillis * aRunMillis);
}

double
Decay(TimePoint aNow, TimePoint aTime, double aDecaySeconds)
{
  return std::exp(-std::max(0.0, ToSeconds(aNow - aTime)) / aDecaySeconds);
}

} // namespace

TargetPicker::TargetPicker(const Options& aOptions)
  : mOptions(aOptions)
  , mRng(aOptions.mSeed)
{
}

void
TargetPicker::SetTarget(TimePoint aNow, const NodeState& aState)
{
  const auto it = mTargets.find(aState.mNode);
  Target updated;
  if (it != mTargets.end()) {
    const NodeState& known = it->second.mState;
    if (known.mRun > aState.mRun ||
        (known.mRun == aState.mRun && known.mRevision > aState.mRevision)) {
      return; // Outdated.
    }
    mByService[known.mService].erase(aState.mNode);
    updated.mOutstanding = it->second.mOutstanding;
    if (known.mInstance == aState.mInstance && known.mRun == aState.mRun) {
      updated = it->second;
    }
  }
  updated.mState = aState;
  if (aState.mDataCentre == mOptions.mDataCentre) {
    updated.mDistance = Distance::SameDataCentre;
  } else {
    updated.mDistance = aState.mRegion == mOptions.mRegion
                          ? Distance::SameRegion
                          : Distance::OtherRegion;
  }
  updated.mLoadTime = std::max(updated.mLoadTime, aNow - minutes(1));
  mTargets[aState.mNode] = updated;
  mByService[aState.mService].insert(aState.mNode);
}

void
TargetPicker::RemoveNode(const std::string& aNode)
{
  if (const auto it = mTargets.find(aNode); it != mTargets.end()) {
    mByService[it->second.mState.mService].erase(aNode);
    mTargets.erase(it);
  }
}

double
TargetPicker::Load(TimePoint aNow, const Target& aTarget, double aRunMillis)
{
  const double decaySeconds =
    std::max(kMinLoadDecaySeconds, aRunMillis / kMillisPerSecond);
  const double otherRequests =
    aTarget.mOtherRequests * Decay(aNow, aTarget.mLoadTime, decaySeconds);
  return (otherRequests + aTarget.mOutstanding) /
         double(std::max(1U, aTarget.mState.mLimit));
}

bool
TargetPicker::IsAvailable(TimePoint aNow, const Target& aTarget)
{
  return aTarget.mState.mTakesWork && aNow >= aTarget.mBackoffUntil;
}

const TargetPicker::KindState*
TargetPicker::FindKind(TimePoint aNow,
                       const Target& aTarget,
                       const PickRequest& aRequest)
{
  const auto it = aTarget.mKinds.find(aRequest.mKind);
  return it == aTarget.mKinds.end() || aNow - it->second.mTime > kKindExpiry
           ? nullptr
           : &it->second;
}

TargetPicker::Costs
TargetPicker::CostsOf(TimePoint aNow,
                      const Target& aTarget,
                      const PickRequest& aRequest,
                      double aFastestRun)
{
  const KindState* known = FindKind(aNow, aTarget, aRequest);
  const double run = known ? known->mRunMillis : kDefaultRunMillis;
  const Wait& reported =
    aTarget
      .mWaits[std::min<size_t>(aRequest.mKind.mPriority, kPriorityClasses - 1)];
  // Only the requests of this node count: those of other nodes may have a lower
  // priority and then wait behind this one.
  const double excess =
    double(aTarget.mOutstanding) / std::max(1U, aTarget.mState.mLimit) -
    kFullLoad;
  const double wait =
    std::max(reported.mMillis * Decay(aNow, reported.mTime, kWaitDecaySeconds),
             std::max(0.0, excess) * run);
  Costs out;
  out.mBase = DistanceCost(aTarget.mDistance, aRequest.mKilobytes) + wait;
  if (known) {
    const auto wanted = double(ToMillis(aRequest.mLatencyTarget));
    const double acceptable =
      std::max(kAcceptableRunShare * wanted, kSlowRunFactor * aFastestRun);
    const double demand =
      known->mDemand * Decay(aNow, known->mTime, kDemandDecaySeconds);
    out.mBase +=
      std::clamp(demand - kBusyDemand, 0.0, 1.0) * kExcessDemandMillis;
    out.mPenalty =
      std::max(0.0, run - acceptable) + known->mFailedShare * wanted;
  }
  return out;
}

std::optional<TargetPicker::Choice>
TargetPicker::Choose(TimePoint aNow,
                     const PickRequest& aRequest,
                     const std::set<std::string>& aExclude)
{
  const auto service = mByService.find(aRequest.mService);
  if (service == mByService.end()) {
    return std::nullopt;
  }
  std::vector<Candidate> candidates;
  bool hasPreferred = false;
  double fastestRun = 0;
  double runSum = 0;
  size_t runCount = 0;
  for (const std::string& node : service->second) {
    Target& it = mTargets.at(node);
    const KindState* known = FindKind(aNow, it, aRequest);
    const double run = known ? known->mRunMillis : 0;
    if (run > 0) {
      fastestRun = fastestRun == 0 ? run : std::min(fastestRun, run);
      runSum += run;
      ++runCount;
    }
    if (!aExclude.contains(node) && IsAvailable(aNow, it)) {
      candidates.push_back({ .mTarget = &it, .mRunMillis = run });
      hasPreferred |= it.mState.mDataCentre == aRequest.mDataCentre;
    }
  }
  if (hasPreferred) {
    std::erase_if(candidates, [&](const Candidate& aOne) {
      return aOne.mTarget->mState.mDataCentre != aRequest.mDataCentre;
    });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const double meanRun =
    runCount > 0 ? runSum / double(runCount) : kDefaultRunMillis;
  double least = std::numeric_limits<double>::max();
  for (Candidate& it : candidates) {
    if (it.mRunMillis <= 0) {
      it.mRunMillis = meanRun;
    }
    const Costs costs = CostsOf(aNow, *it.mTarget, aRequest, fastestRun);
    it.mCost = costs.mBase;
    if (costs.mPenalty > kAvoidancePenaltyMillis) {
      KindState& state = it.mTarget->mKinds.at(aRequest.mKind);
      if (aNow >= state.mNextProbe && costs.mBase < least) {
        state.mNextProbe = aNow + kProbeInterval;
        it.mRunMillis = fastestRun > 0 ? fastestRun : meanRun;
      } else {
        it.mCost += costs.mPenalty;
      }
    }
    least = std::min(least, it.mCost);
  }
  const double most =
    least + std::max(kEqualCostMillis, kEqualCostRunShare * meanRun);
  std::erase_if(candidates,
                [&](const Candidate& aOne) { return aOne.mCost > most; });
  const NodeState& best = ChooseBySpeed(aNow, candidates).mState;
  return Choice{ best.mNode, best.mInstance };
}

std::optional<TargetPicker::Choice>
TargetPicker::ChooseForTrial(TimePoint aNow,
                             std::string_view aService,
                             uint64_t aKey,
                             const std::set<std::string>& aExclude) const
{
  const auto service = mByService.find(aService);
  if (service == mByService.end()) {
    return std::nullopt;
  }
  std::vector<const Target*> candidates;
  size_t ownRegionCount = 0;
  for (const std::string& node : service->second) {
    const Target& it = mTargets.at(node);
    ownRegionCount += it.mDistance != Distance::OtherRegion ? 1 : 0;
    if (!aExclude.contains(node) && IsAvailable(aNow, it)) {
      candidates.push_back(&it);
    }
  }
  // Entry nodes are connected to different targets of large regions other than
  // their own.
  if (ownRegionCount > mOptions.mMostInOtherRegion) {
    std::erase_if(candidates, [](const Target* aOne) {
      return aOne->mDistance == Distance::OtherRegion;
    });
  }
  const auto best =
    std::max_element(candidates.begin(),
                     candidates.end(),
                     [&](const Target* aOne, const Target* aOther) {
                       return RendezvousWeight(aOne->mState.mNode, aKey) <
                              RendezvousWeight(aOther->mState.mNode, aKey);
                     });
  if (best == candidates.end()) {
    return std::nullopt;
  }
  return Choice{ (*best)->mState.mNode, (*best)->mState.mInstance };
}

// Power of two choices, so that entry nodes do not all send to the best target.
// Both are drawn with weights that favour fast targets; the one that is
// expected to finish first is chosen.
const TargetPicker::Target&
TargetPicker::ChooseBySpeed(TimePoint aNow,
                            const std::vector<Candidate>& aCandidates)
{
  double weights = 0;
  for (const Candidate& it : aCandidates) {
    weights += SpeedWeight(it.mRunMillis);
  }
  const auto draw = [&]() -> const Candidate& {
    double rest = mRng.Uniform() * weights;
    for (const Candidate& it : aCandidates) {
      rest -= SpeedWeight(it.mRunMillis);
      if (rest < 0) {
        return it;
      }
    }
    return aCandidates.back();
  };
  const auto rank = [&](const Candidate& aOne) {
    const double load = Load(aNow, *aOne.mTarget, aOne.mRunMillis);
    const double excess =
      std::max(0.0, load - kHighLoadShare) / (1 - kHighLoadShare);
    return std::pair{ aOne.mRunMillis * (1 + (kFullLoadFactor - 1) * excess),
                      load };
  };
  const Candidate& one = draw();
  const Candidate& other = draw();
  return rank(one) <= rank(other) ? *one.mTarget : *other.mTarget;
}

std::vector<CandidateDataCentre>
TargetPicker::DataCentresOf(TimePoint aNow, std::string_view aService) const
{
  std::vector<CandidateDataCentre> out;
  const auto service = mByService.find(aService);
  if (service == mByService.end()) {
    return out;
  }
  for (const std::string& node : service->second) {
    const Target& it = mTargets.at(node);
    const std::string& dataCentre = it.mState.mDataCentre;
    if (IsAvailable(aNow, it) &&
        std::none_of(
          out.begin(), out.end(), [&](const CandidateDataCentre& aKnown) {
            return aKnown.mDataCentre == dataCentre;
          })) {
      out.push_back({ .mDataCentre = dataCentre, .mDistance = it.mDistance });
    }
  }
  return out;
}

const std::string&
TargetPicker::DataCentreOf(const std::string& aNode) const
{
  static const std::string kUnknown;
  const auto it = mTargets.find(aNode);
  return it == mTargets.end() ? kUnknown : it->second.mState.mDataCentre;
}

void
TargetPicker::Sent(const std::string& aNode)
{
  if (const auto it = mTargets.find(aNode); it != mTargets.end()) {
    ++it->second.mOutstanding;
  }
}

void
TargetPicker::DecrementOutstanding(const std::string& aNode)
{
  if (const auto it = mTargets.find(aNode); it != mTargets.end()) {
    it->second.mOutstanding -= std::min(it->second.mOutstanding, 1U);
  }
}

void
TargetPicker::Replied(TimePoint aNow,
                      const std::string& aNode,
                      const Result& aResult,
                      const GateLoad& aLoad)
{
  DecrementOutstanding(aNode);
  const auto it = mTargets.find(aNode);
  if (it == mTargets.end()) {
    return;
  }
  Target& target = it->second;
  target.mBackoff = Duration::zero();
  target.mLoadTime = aNow;
  target.mOtherRequests =
    std::max(0.0,
             double(aLoad.mRunning) + double(aLoad.mWaiting) -
               double(target.mOutstanding));
  if (aLoad.mLimit > 0) {
    target.mState.mLimit = aLoad.mLimit;
  }
  const double wait =
    aResult.mIsRefused ? kRefusedWaitMillis : double(aLoad.mWaitMs);
  target.mWaits[std::min<size_t>(aResult.mKind.mPriority,
                                 kPriorityClasses - 1)] = { wait, aNow };
  if (aResult.mIsRefused) {
    return;
  }
  KindState& state = target.mKinds[aResult.mKind];
  state.mRunMillis = aLoad.mRunMs;
  state.mFailedShare +=
    kFailureWeight * ((aResult.mIsFailed ? 1.0 : 0.0) - state.mFailedShare);
  state.mDemand +=
    kDemandWeight * (aLoad.mDemand / kThousandths - state.mDemand);
  state.mTime = aNow;
}

void
TargetPicker::Failed(TimePoint aNow, const std::string& aNode)
{
  DecrementOutstanding(aNode);
  const auto it = mTargets.find(aNode);
  if (it == mTargets.end() || aNow < it->second.mBackoffUntil) {
    return;
  }
  Target& target = it->second;
  target.mBackoff =
    std::clamp(target.mBackoff * 2, kInitialBackoff, kMaxBackoff);
  target.mBackoffUntil = aNow + target.mBackoff;
}

void
TargetPicker::Abandoned(const std::string& aNode)
{
  DecrementOutstanding(aNode);
}

} // namespace amaranthgap
