#include "routing/Router.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr Duration kMinBackoff = milliseconds(200);
constexpr Duration kMaxBackoff = seconds(10);
constexpr Duration kRefusalHalfLife = milliseconds(500);

// Load from other nodes changes within the duration of a few calls, so the
// weight of a load report decays.
constexpr Duration kLoadHalfLife = milliseconds(500);

// Lifetime of a report of a non-empty queue. The next call after that brings a
// new report.
constexpr Duration kQueueReportLifetime = milliseconds(300);

// A smaller share of refusals is ordinary fluctuation.
constexpr double kMinRefusalShare = 0.1;

// Share of its full weight that a target has at the start of its warm-up.
constexpr double kInitialWeightShare = 0.1;

double
DecayFactor(Duration aAge, Duration aHalfLife)
{
  return aAge <= Duration::zero()
           ? 1.0
           : std::exp2(-ToSeconds(aAge) / ToSeconds(aHalfLife));
}

} // namespace

Router::Router(const Options& aOptions)
  : mOptions(aOptions)
  , mRng(aOptions.mSeed)
{
}

// -- Targets ----------------------------------------------------------------

void
Router::SetTargets(TimePoint aNow, const std::vector<MemberUpdate>& aTargets)
{
  std::vector<Target> targets;
  targets.reserve(aTargets.size());
  for (const auto& member : aTargets) {
    const auto known =
      std::find_if(targets.begin(), targets.end(), [&](const Target& aTarget) {
        return aTarget.mMember.mNode.mId == member.mNode.mId;
      });
    if (known != targets.end()) {
      if (known->mMember.mNode.mIncarnation < member.mNode.mIncarnation) {
        targets.erase(known);
      } else {
        continue;
      }
    }
    Target target;
    if (Target* old = FindTarget(member.mNode)) {
      target = *old;
    } else {
      // The age of targets in the first list is unknown. They skip the warm-up,
      // since most have been running for longer.
      target.mAddedTime = aNow;
      target.mSkipsWarmUp = !mHadTargets;
    }
    target.mMember = member;
    target.mTier = member.mRegion != mOptions.mRegion ? Tier::OtherRegion
                   : member.mDataCentre != mOptions.mDataCentre
                     ? Tier::Region
                     : Tier::DataCentre;
    targets.push_back(std::move(target));
  }
  mTargets = std::move(targets);
  mHadTargets = mHadTargets || !mTargets.empty();
}

Router::Target*
Router::FindTarget(const NodeRef& aNode)
{
  for (auto& target : mTargets) {
    if (target.mMember.mNode == aNode) {
      return &target;
    }
  }
  return nullptr;
}

std::vector<NodeId>
Router::AcceptingNodes() const
{
  std::vector<NodeId> nodes;
  for (const auto& target : mTargets) {
    if (Accepts(target)) {
      nodes.push_back(target.mMember.mNode.mId);
    }
  }
  return nodes;
}

// -- Choice -----------------------------------------------------------------

std::optional<Router::Choice>
Router::Choose(TimePoint aNow,
               const Constraints& aConstraints,
               LinkBudget& aLinkBudget)
{
  std::vector<Target*> sameDataCentre;
  std::vector<Target*> sameRegion;
  std::vector<Target*> otherRegions;
  std::vector<Target*> inBackoff;
  for (auto& target : mTargets) {
    if (!Accepts(target) ||
        aConstraints.mExclude.contains(target.mMember.mNode.mId)) {
      continue;
    }
    if (target.mBackoffUntil > aNow) {
      inBackoff.push_back(&target);
      continue;
    }
    switch (target.mTier) {
      case Tier::DataCentre:
        sameDataCentre.push_back(&target);
        sameRegion.push_back(&target);
        break;
      case Tier::Region:
        sameRegion.push_back(&target);
        break;
      case Tier::OtherRegion:
        otherRegions.push_back(&target);
        break;
    }
  }
  const auto unsaturated = [aNow](const std::vector<Target*>& aTargets) {
    std::vector<Target*> result;
    for (Target* target : aTargets) {
      if (!IsSaturated(aNow, *target)) {
        result.push_back(target);
      }
    }
    return result;
  };
  for (const auto* tier : { &sameDataCentre, &sameRegion }) {
    if (Target* target = PickBetterOfTwo(aNow, unsaturated(*tier))) {
      return MakeChoice(*target);
    }
  }
  if (Target* target = PickBetterOfTwo(aNow, unsaturated(otherRegions));
      target && aLinkBudget.TryTake(aNow, aConstraints.mExpectedBytes)) {
    return MakeChoice(*target);
  }
  if (Target* target = PickBetterOfTwo(aNow, sameRegion)) {
    return MakeChoice(*target);
  }
  if (Target* target = PickBetterOfTwo(aNow, otherRegions);
      target && aLinkBudget.TryTake(aNow, aConstraints.mExpectedBytes)) {
    return MakeChoice(*target);
  }
  // If there is no other target, sends a call as a probe to a target in
  // backoff, so that recovery is detected before the maximum backoff has
  // passed.
  Target* probe = nullptr;
  for (Target* target : inBackoff) {
    if (target->mInFlight == 0 && aNow - target->mLastProbe >= kMinBackoff &&
        (!probe || target->mTier < probe->mTier ||
         (target->mTier == probe->mTier &&
          target->mLastProbe < probe->mLastProbe))) {
      probe = target;
    }
  }
  if (probe && (probe->mTier != Tier::OtherRegion ||
                aLinkBudget.TryTake(aNow, aConstraints.mExpectedBytes))) {
    probe->mLastProbe = aNow;
    probe->mIsProbed = true;
    return MakeChoice(*probe);
  }
  return std::nullopt;
}

std::optional<Router::Choice>
Router::Find(const NodeId& aNode) const
{
  for (const auto& target : mTargets) {
    if (target.mMember.mNode.mId == aNode && Accepts(target)) {
      return MakeChoice(target);
    }
  }
  return std::nullopt;
}

Router::Choice
Router::MakeChoice(const Target& aTarget)
{
  return { .mNode = aTarget.mMember.mNode,
           .mPeerAddress = aTarget.mMember.mPeerAddress,
           .mCrossRegion = aTarget.mTier == Tier::OtherRegion };
}

Router::Target*
Router::PickBetterOfTwo(TimePoint aNow, const std::vector<Target*>& aTargets)
{
  if (aTargets.empty()) {
    return nullptr;
  }
  double totalWeight = 0;
  std::vector<double> cumulativeWeights;
  cumulativeWeights.reserve(aTargets.size());
  for (const Target* target : aTargets) {
    totalWeight += TargetWeight(aNow, *target);
    cumulativeWeights.push_back(totalWeight);
  }
  const auto drawTarget = [&] {
    const auto it = std::upper_bound(cumulativeWeights.begin(),
                                     cumulativeWeights.end(),
                                     mRng.Uniform(0, totalWeight));
    return aTargets[std::min<size_t>(it - cumulativeWeights.begin(),
                                     aTargets.size() - 1)];
  };
  Target* one = drawTarget();
  Target* other = drawTarget();
  // Two draws of the same target would leave no choice by load.
  for (int i = 0; i < 3 && one == other; ++i) {
    other = drawTarget();
  }
  return LoadScore(aNow, *other) < LoadScore(aNow, *one) ? other : one;
}

bool
Router::Accepts(const Target& aTarget)
{
  return !aTarget.mLeaving && (aTarget.mMember.mState == MemberState::Warm ||
                               aTarget.mMember.mState == MemberState::Suspect);
}

double
Router::TargetWeight(TimePoint aNow, const Target& aTarget)
{
  const double slots = std::max<uint32_t>(1, aTarget.mMember.mSlots);
  const Duration warmUp = milliseconds(aTarget.mMember.mWarmUpMs);
  const Duration age = aNow - aTarget.mAddedTime;
  if (aTarget.mSkipsWarmUp || age >= warmUp) {
    return slots;
  }
  const double progress = std::max(0.0, ToSeconds(age) / ToSeconds(warmUp));
  return slots * (kInitialWeightShare + (1 - kInitialWeightShare) * progress);
}

double
Router::LoadScore(TimePoint aNow, const Target& aTarget)
{
  const uint32_t limit = std::max<uint32_t>(
    1,
    aTarget.mHasLoad && aTarget.mLoad.mLimit > 0 ? aTarget.mLoad.mLimit
                                                 : aTarget.mMember.mSlots);
  // The bound and the rounding to whole calls end the effect of an excessive
  // load report within seconds.
  constexpr double kMaxOtherLoad = 4;
  const double otherCalls =
    std::round(std::min<double>(aTarget.mOtherCalls, kMaxOtherLoad * limit) *
               DecayFactor(aNow - aTarget.mLoadTime, kLoadHalfLife));
  double score = (aTarget.mInFlight + otherCalls) / limit;
  const double decay =
    DecayFactor(aNow - aTarget.mRepliesTime, kRefusalHalfLife);
  if (aTarget.mReplies > 0) {
    // A target that refuses immediately has few calls in flight and would
    // otherwise seem idle.
    score += aTarget.mRefusals / aTarget.mReplies * decay;
  }
  if (aTarget.mMember.mState == MemberState::Suspect) {
    score += 1;
  }
  return score;
}

bool
Router::IsSaturated(TimePoint aNow, const Target& aTarget)
{
  if (IsRefusing(aNow, aTarget)) {
    return true;
  }
  return aTarget.mHasLoad && aNow - aTarget.mLoadTime < kQueueReportLifetime &&
         aTarget.mLoad.mWaiting > 0 &&
         aTarget.mLoad.mInFlight >= aTarget.mLoad.mLimit;
}

// -- Replies ----------------------------------------------------------------

void
Router::RecordStart(TimePoint /*aNow*/, const NodeRef& aNode)
{
  if (Target* target = FindTarget(aNode)) {
    ++target->mInFlight;
  }
}

void
Router::RecordReply(TimePoint aNow,
                    const NodeRef& aNode,
                    const TargetLoad& aLoad,
                    bool aRefused)
{
  Target* target = FindTarget(aNode);
  if (!target) {
    return;
  }
  const uint32_t reported = aLoad.mInFlight + aLoad.mWaiting;
  target->mOtherCalls =
    reported > target->mInFlight ? reported - target->mInFlight : 0;
  if (target->mInFlight > 0) {
    --target->mInFlight;
  }
  target->mLoad = aLoad;
  target->mLoadTime = aNow;
  target->mHasLoad = true;
  target->mLeaving = target->mLeaving || aLoad.mLeaving;
  target->mBackoff = Duration::zero();
  // Not aNow: a call from another thread may have a slightly earlier time and
  // would find its only target in backoff.
  target->mBackoffUntil = TimePoint{};
  target->mIsProbed = false;
  CountReply(aNow, *target, aRefused);
}

void
Router::RecordFailure(TimePoint aNow, const NodeRef& aNode)
{
  Target* target = FindTarget(aNode);
  if (!target) {
    return;
  }
  if (target->mInFlight > 0) {
    --target->mInFlight;
  }
  // When a connection is lost, all of its calls fail; they count as one
  // failure.
  if (target->mBackoffUntil > aNow && !target->mIsProbed) {
    return;
  }
  target->mIsProbed = false;
  target->mBackoff = std::clamp(2 * target->mBackoff, kMinBackoff, kMaxBackoff);
  target->mBackoffUntil = aNow + target->mBackoff;
}

void
Router::RecordCancellation(TimePoint /*aNow*/, const NodeRef& aNode)
{
  if (Target* target = FindTarget(aNode); target && target->mInFlight > 0) {
    --target->mInFlight;
  }
}

bool
Router::IsShedding(TimePoint aNow) const
{
  size_t accepting = 0;
  size_t shedding = 0;
  for (const auto& target : mTargets) {
    if (Accepts(target)) {
      ++accepting;
      shedding += IsRefusing(aNow, target) ? 1 : 0;
    }
  }
  return accepting > 0 && 2 * shedding >= accepting;
}

bool
Router::IsRefusing(TimePoint aNow, const Target& aTarget)
{
  // A single refusal has decayed to 0.5 after one half-life.
  const double refusals =
    aTarget.mRefusals *
    DecayFactor(aNow - aTarget.mRepliesTime, kRefusalHalfLife);
  return refusals >= 0.5 &&
         aTarget.mRefusals >= kMinRefusalShare * aTarget.mReplies;
}

void
Router::CountReply(TimePoint aNow, Target& aTarget, bool aRefused)
{
  const double factor =
    DecayFactor(aNow - aTarget.mRepliesTime, kRefusalHalfLife);
  aTarget.mReplies = aTarget.mReplies * factor + 1;
  aTarget.mRefusals = aTarget.mRefusals * factor + (aRefused ? 1 : 0);
  aTarget.mRepliesTime = aNow;
}

} // namespace amaranthgap
