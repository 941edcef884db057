#include "forwarding/TargetPicker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace amaranthgap {

namespace {

// Load that others were seen to cause, and a wait, are forgotten within about
// this time.
constexpr double kLoadMemorySeconds = 0.5;
constexpr double kWaitMemorySeconds = 0.3;
// How long run times and failures of a target are known. One that is avoided
// for them gets a request after each pause, whose reply tells how it is now.
constexpr Duration kKindMemory = seconds(10);
constexpr Duration kProbePause = seconds(1);
// Cost of a fault from which on a target is avoided, milliseconds.
constexpr double kNoticedFault = 5;
// Run time of a request of which nothing is known, milliseconds.
constexpr double kUnknownRunMillis = 50;
// Weight of one reply in the share of failures.
constexpr double kFailureWeight = 0.1;
// Load from which on a request has to wait.
constexpr double kFullLoad = 0.95;
// Wait that a refusal tells, milliseconds: the gate keeps no request longer.
constexpr double kRefusedWaitMillis = 150;
// A target is slow when a run takes more than this part of the latency target,
// and so many times longer than at the fastest one. It costs what it takes
// longer.
constexpr double kGoodRun = 0.5;
constexpr double kSlowRun = 3;
// Demand below a target from which on it costs more, and what an excess of the
// whole capacity costs, milliseconds.
constexpr double kBusyDemand = 0.8;
constexpr double kDemandMillis = 150;
// Weight of one reply in that demand, and how long it counts.
constexpr double kDemandWeight = 0.1;
constexpr double kDemandMemorySeconds = 2;
// Targets whose costs differ by less are chosen by load, milliseconds.
constexpr double kEqualCost = 1;
constexpr double kThousandths = 1000;
constexpr Duration kFirstBackoff = milliseconds(200);
constexpr Duration kLongestBackoff = seconds(4);

double
Decay(TimePoint aNow, TimePoint aTime, double aMemorySeconds)
{
  return std::exp(-std::max(0.0, ToSeconds(aNow - aTime)) / aMemorySeconds);
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
  Target fresh;
  if (it != mTargets.end()) {
    const NodeState& known = it->second.mState;
    if (known.mRun > aState.mRun ||
        (known.mRun == aState.mRun && known.mRevision > aState.mRevision)) {
      return; // Delayed.
    }
    mByService[known.mService].erase(aState.mNode);
    fresh.mOutstanding = it->second.mOutstanding;
    if (known.mInstance == aState.mInstance && known.mRun == aState.mRun) {
      fresh = it->second;
    }
  }
  fresh.mState = aState;
  if (aState.mDataCentre == mOptions.mDataCentre) {
    fresh.mDistance = Distance::SameDataCentre;
  } else {
    fresh.mDistance = aState.mRegion == mOptions.mRegion
                        ? Distance::SameRegion
                        : Distance::OtherRegion;
  }
  fresh.mLoadTime = std::max(fresh.mLoadTime, aNow - minutes(1));
  mTargets[aState.mNode] = fresh;
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
TargetPicker::Load(TimePoint aNow, const Target& aTarget)
{
  const double others =
    aTarget.mOthers * Decay(aNow, aTarget.mLoadTime, kLoadMemorySeconds);
  return (others + aTarget.mOutstanding) /
         double(std::max(1U, aTarget.mState.mLimit));
}

bool
TargetPicker::Accepts(TimePoint aNow, const Target& aTarget)
{
  return aTarget.mState.mTakesWork && aNow >= aTarget.mBackoffUntil;
}

const TargetPicker::KindState*
TargetPicker::Known(TimePoint aNow,
                    const Target& aTarget,
                    const PickRequest& aRequest)
{
  const auto it = aTarget.mKinds.find(aRequest.mKind);
  return it == aTarget.mKinds.end() || aNow - it->second.mTime > kKindMemory
           ? nullptr
           : &it->second;
}

TargetPicker::Costs
TargetPicker::CostsOf(TimePoint aNow,
                      const Target& aTarget,
                      const PickRequest& aRequest,
                      double aUsualRun)
{
  const KindState* known = Known(aNow, aTarget, aRequest);
  const double run = known ? known->mRunMillis : kUnknownRunMillis;
  const Wait& told =
    aTarget.mWaits[std::min<size_t>(aRequest.mKind.mPriority, kRanks - 1)];
  // Requests of other nodes may be less important, and then wait behind.
  const double excess =
    double(aTarget.mOutstanding) / std::max(1U, aTarget.mState.mLimit) -
    kFullLoad;
  const double wait =
    std::max(told.mMillis * Decay(aNow, told.mTime, kWaitMemorySeconds),
             std::max(0.0, excess) * run);
  Costs out;
  out.mUsual = DistanceCost(aTarget.mDistance, aRequest.mKilobytes) + wait;
  if (known) {
    const auto wanted = double(ToMillis(aRequest.mLatencyTarget));
    const double good = std::max(kGoodRun * wanted, kSlowRun * aUsualRun);
    const double demand =
      known->mDemand * Decay(aNow, known->mTime, kDemandMemorySeconds);
    out.mUsual += std::clamp(demand - kBusyDemand, 0.0, 1.0) * kDemandMillis;
    out.mFault = std::max(0.0, run - good) + known->mFailedShare * wanted;
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
  struct Candidate
  {
    Target* mTarget;
    double mCost;
  };
  std::vector<Candidate> candidates;
  bool hasPlace = false;
  double usualRun = 0;
  for (const std::string& node : service->second) {
    Target& it = mTargets.at(node);
    if (const KindState* known = Known(aNow, it, aRequest);
        known && (usualRun == 0 || known->mRunMillis < usualRun)) {
      usualRun = known->mRunMillis;
    }
    if (!aExclude.contains(node) && Accepts(aNow, it)) {
      candidates.push_back({ &it, 0 });
      hasPlace |= it.mState.mDataCentre == aRequest.mDataCentre;
    }
  }
  if (hasPlace) {
    std::erase_if(candidates, [&](const Candidate& aOne) {
      return aOne.mTarget->mState.mDataCentre != aRequest.mDataCentre;
    });
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  double least = std::numeric_limits<double>::max();
  for (Candidate& it : candidates) {
    const Costs costs = CostsOf(aNow, *it.mTarget, aRequest, usualRun);
    it.mCost = costs.mUsual;
    if (costs.mFault > kNoticedFault) {
      KindState& state = it.mTarget->mKinds.at(aRequest.mKind);
      if (aNow >= state.mNextProbe && costs.mUsual < least) {
        state.mNextProbe = aNow + kProbePause;
      } else {
        it.mCost += costs.mFault;
      }
    }
    least = std::min(least, it.mCost);
  }
  std::erase_if(candidates, [&](const Candidate& aOne) {
    return aOne.mCost > least + kEqualCost;
  });
  // The better of two: all entry nodes would crowd the best one.
  const Target* one = candidates[mRng.Below(candidates.size())].mTarget;
  const Target* other = candidates[mRng.Below(candidates.size())].mTarget;
  const Target* best = Load(aNow, *one) <= Load(aNow, *other) ? one : other;
  return Choice{ best->mState.mNode, best->mState.mInstance };
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
    const std::string& place = it.mState.mDataCentre;
    if (Accepts(aNow, it) &&
        std::none_of(
          out.begin(), out.end(), [&](const CandidateDataCentre& aKnown) {
            return aKnown.mDataCentre == place;
          })) {
      out.push_back({ .mDataCentre = place, .mDistance = it.mDistance });
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
TargetPicker::Ended(const std::string& aNode)
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
  Ended(aNode);
  const auto it = mTargets.find(aNode);
  if (it == mTargets.end()) {
    return;
  }
  Target& target = it->second;
  target.mBackoff = Duration::zero();
  target.mLoadTime = aNow;
  target.mOthers = std::max(0.0,
                            double(aLoad.mRunning) + double(aLoad.mWaiting) -
                              double(target.mOutstanding));
  if (aLoad.mLimit > 0) {
    target.mState.mLimit = aLoad.mLimit;
  }
  const double wait =
    aResult.mIsRefused ? kRefusedWaitMillis : double(aLoad.mWaitMs);
  target.mWaits[std::min<size_t>(aResult.mKind.mPriority, kRanks - 1)] = {
    wait, aNow
  };
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
  Ended(aNode);
  const auto it = mTargets.find(aNode);
  if (it == mTargets.end() || aNow < it->second.mBackoffUntil) {
    return;
  }
  Target& target = it->second;
  target.mBackoff =
    std::clamp(target.mBackoff * 2, kFirstBackoff, kLongestBackoff);
  target.mBackoffUntil = aNow + target.mBackoff;
}

void
TargetPicker::Abandoned(const std::string& aNode)
{
  Ended(aNode);
}

} // namespace amaranthgap
