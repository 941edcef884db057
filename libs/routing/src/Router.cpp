#include "routing/Router.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr Duration kFirstBackoff = milliseconds(200);
constexpr Duration kLastBackoff = seconds(10);
constexpr Duration kRefusalHalfLife = milliseconds(500);

// The load that other nodes put on a target changes within about the time of a
// few calls, so an old report says less.
constexpr Duration kLoadHalfLife = milliseconds(500);

// A report of a full queue is believed for this long; after that one call finds
// out anew.
constexpr Duration kPressureLife = milliseconds(300);

// Below this share of refusals, replies show ordinary fluctuation.
constexpr double kShedding = 0.1;
constexpr double kFirstWeight = 0.1;

double
HalfLifeFactor(Duration aAge, Duration aHalfLife)
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
      // The age of the targets that this node finds at its own start is not
      // known; they are taken as warm, since most of them are.
      target.mAdded = aNow;
      target.mWarm = !mHadTargets;
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
               LinkBudget& aLink)
{
  std::vector<Target*> near;
  std::vector<Target*> region;
  std::vector<Target*> far;
  std::vector<Target*> waiting;
  for (auto& target : mTargets) {
    if (!Accepts(target) ||
        aConstraints.mExclude.contains(target.mMember.mNode.mId)) {
      continue;
    }
    if (target.mBackoffUntil > aNow) {
      waiting.push_back(&target);
      continue;
    }
    switch (target.mTier) {
      case Tier::DataCentre:
        near.push_back(&target);
        region.push_back(&target);
        break;
      case Tier::Region:
        region.push_back(&target);
        break;
      case Tier::OtherRegion:
        far.push_back(&target);
        break;
    }
  }
  const auto relaxed = [aNow](const std::vector<Target*>& aTargets) {
    std::vector<Target*> out;
    for (Target* target : aTargets) {
      if (!IsPressed(aNow, *target)) {
        out.push_back(target);
      }
    }
    return out;
  };
  for (const auto* tier : { &near, &region }) {
    if (Target* target = PickOfTwo(aNow, relaxed(*tier))) {
      return MakeChoice(*target);
    }
  }
  if (Target* target = PickOfTwo(aNow, relaxed(far));
      target && aLink.TryTake(aNow, aConstraints.mExpectedBytes)) {
    return MakeChoice(*target);
  }
  if (Target* target = PickOfTwo(aNow, region)) {
    return MakeChoice(*target);
  }
  if (Target* target = PickOfTwo(aNow, far);
      target && aLink.TryTake(aNow, aConstraints.mExpectedBytes)) {
    return MakeChoice(*target);
  }
  // Without any other target, one call at a time tries a target in backoff, so
  // that a healed network is found before the longest backoff has passed.
  Target* trial = nullptr;
  for (Target* target : waiting) {
    if (target->mInFlight == 0 && aNow - target->mLastTrial >= kFirstBackoff &&
        (!trial || target->mTier < trial->mTier ||
         (target->mTier == trial->mTier &&
          target->mLastTrial < trial->mLastTrial))) {
      trial = target;
    }
  }
  if (trial && (trial->mTier != Tier::OtherRegion ||
                aLink.TryTake(aNow, aConstraints.mExpectedBytes))) {
    trial->mLastTrial = aNow;
    trial->mOnTrial = true;
    return MakeChoice(*trial);
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
Router::PickOfTwo(TimePoint aNow, const std::vector<Target*>& aTargets)
{
  if (aTargets.empty()) {
    return nullptr;
  }
  double sum = 0;
  std::vector<double> ends;
  ends.reserve(aTargets.size());
  for (const Target* target : aTargets) {
    sum += Weight(aNow, *target);
    ends.push_back(sum);
  }
  const auto draw = [&] {
    const auto it =
      std::upper_bound(ends.begin(), ends.end(), mRng.Uniform(0, sum));
    return aTargets[std::min<size_t>(it - ends.begin(), aTargets.size() - 1)];
  };
  Target* one = draw();
  Target* other = draw();
  // A second draw of the same target would make the choice blind.
  for (int i = 0; i < 3 && one == other; ++i) {
    other = draw();
  }
  return Score(aNow, *other) < Score(aNow, *one) ? other : one;
}

bool
Router::Accepts(const Target& aTarget)
{
  return !aTarget.mLeaving && (aTarget.mMember.mState == MemberState::Warm ||
                               aTarget.mMember.mState == MemberState::Suspect);
}

double
Router::Weight(TimePoint aNow, const Target& aTarget)
{
  const double slots = std::max<uint32_t>(1, aTarget.mMember.mSlots);
  const Duration warmUp = milliseconds(aTarget.mMember.mWarmUpMs);
  const Duration age = aNow - aTarget.mAdded;
  if (aTarget.mWarm || age >= warmUp) {
    return slots;
  }
  const double done = std::max(0.0, ToSeconds(age) / ToSeconds(warmUp));
  return slots * (kFirstWeight + (1 - kFirstWeight) * done);
}

double
Router::Score(TimePoint aNow, const Target& aTarget)
{
  const uint32_t limit = std::max<uint32_t>(
    1,
    aTarget.mHasLoad && aTarget.mLoad.mLimit > 0 ? aTarget.mLoad.mLimit
                                                 : aTarget.mMember.mSlots);
  // Whole calls up to a bound, so that one absurd report fades within seconds.
  constexpr double kMaxOthers = 4;
  const double others =
    std::round(std::min<double>(aTarget.mOthers, kMaxOthers * limit) *
               HalfLifeFactor(aNow - aTarget.mLoadTime, kLoadHalfLife));
  double score = (aTarget.mInFlight + others) / limit;
  const double fade =
    HalfLifeFactor(aNow - aTarget.mRepliesTime, kRefusalHalfLife);
  if (aTarget.mReplies > 0) {
    // A target that refuses at once always looks idle.
    score += aTarget.mRefusals / aTarget.mReplies * fade;
  }
  if (aTarget.mMember.mState == MemberState::Suspect) {
    score += 1;
  }
  return score;
}

bool
Router::IsPressed(TimePoint aNow, const Target& aTarget)
{
  if (HasRefusedLately(aNow, aTarget)) {
    return true;
  }
  return aTarget.mHasLoad && aNow - aTarget.mLoadTime < kPressureLife &&
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
  target->mOthers =
    reported > target->mInFlight ? reported - target->mInFlight : 0;
  if (target->mInFlight > 0) {
    --target->mInFlight;
  }
  target->mLoad = aLoad;
  target->mLoadTime = aNow;
  target->mHasLoad = true;
  target->mLeaving = target->mLeaving || aLoad.mLeaving;
  target->mBackoff = Duration::zero();
  // Not the time of the reply: a call decided on another thread may carry a
  // slightly earlier time, and would find its only target in backoff.
  target->mBackoffUntil = TimePoint{};
  target->mOnTrial = false;
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
  // All calls in flight fail with one connection; that is one failure.
  if (target->mBackoffUntil > aNow && !target->mOnTrial) {
    return;
  }
  target->mOnTrial = false;
  target->mBackoff =
    std::clamp(2 * target->mBackoff, kFirstBackoff, kLastBackoff);
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
      shedding += HasRefusedLately(aNow, target) ? 1 : 0;
    }
  }
  return accepting > 0 && 2 * shedding >= accepting;
}

bool
Router::HasRefusedLately(TimePoint aNow, const Target& aTarget)
{
  // Half of a refusal is what one refusal has decayed to after a half-life.
  const double refusals =
    aTarget.mRefusals *
    HalfLifeFactor(aNow - aTarget.mRepliesTime, kRefusalHalfLife);
  return refusals >= 0.5 && aTarget.mRefusals >= kShedding * aTarget.mReplies;
}

void
Router::CountReply(TimePoint aNow, Target& aTarget, bool aRefused)
{
  const double factor =
    HalfLifeFactor(aNow - aTarget.mRepliesTime, kRefusalHalfLife);
  aTarget.mReplies = aTarget.mReplies * factor + 1;
  aTarget.mRefusals = aTarget.mRefusals * factor + (aRefused ? 1 : 0);
  aTarget.mRepliesTime = aNow;
}

} // namespace amaranthgap
