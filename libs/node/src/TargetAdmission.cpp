#include <algorithm>

#include <fmt/format.h>

#include "base/Hash.h"
#include "node/TargetLogic.h"

// Admission and start of executions (sections 8.1, 8.2 and 8.7).

namespace amaranthgap {
namespace {

constexpr size_t kMaxSuspectsWaiting = 64;

} // namespace

double
TargetLogic::DrainRate(TimePoint aNow) const
{
  return mMeanRunSeconds > 0 && mLimiter
           ? mLimiter->Limit(aNow) / mMeanRunSeconds
           : 0;
}

void
TargetLogic::Admit(TimePoint aNow, Execution& aExecution, Effects& aEffects)
{
  if (mOptions.mPolicyOff) {
    Start(aNow, aExecution, aEffects);
    return;
  }
  Step(aExecution.mCall,
       aExecution.mWaiters.front().mNode,
       "admitted",
       fmt::format("waiting={}", mQueue->Size()),
       aEffects);
  if (mQueue->Size() == 0 && mRunning.size() < mLimiter->Limit(aNow)) {
    TryStart(aNow, aExecution, aEffects);
    return;
  }
  Enqueue(aNow, aExecution, aEffects);
  StartNext(aNow, aEffects);
}

void
TargetLogic::Enqueue(TimePoint aNow, Execution& aExecution, Effects& aEffects)
{
  const CallMessage& call = aExecution.mCall;
  const ExecutionId id = aExecution.mId;
  const double rate = DrainRate(aNow);
  const double fill = mQueue->FillRatio(call.mImportance, rate);
  aExecution.mStage = ExecutionStage::Queued;
  mLastContended = aNow;
  const AdmissionQueue::OfferResult verdict =
    mQueue->Offer(aNow,
                  { .mExecution = id,
                    .mImportance = call.mImportance,
                    .mParty = call.mParty,
                    .mDepth = call.mDepth,
                    .mArrived = aExecution.mArrived,
                    .mDeadline = aExecution.mDeadline },
                  mUsage,
                  rate,
                  FromSeconds(mMeanRunSeconds));
  for (const ExecutionId evicted : verdict.mEvicted) {
    Withdraw(
      aNow, evicted, { .mReason = Reason::Evicted, .mPressure = 1 }, aEffects);
  }
  if (!verdict.mQueued) {
    Withdraw(
      aNow,
      id,
      { .mReason = Reason::Overloaded, .mPressure = std::max(1.0, fill) },
      aEffects);
  }
}

void
TargetLogic::StartNext(TimePoint aNow, Effects& aEffects)
{
  if (!mLimiter || (mUpstream.State(aNow) != UpstreamState::Up &&
                    mUpstream.State(aNow) != UpstreamState::Leaving)) {
    return;
  }
  while (mRunning.size() < mLimiter->Limit(aNow)) {
    const auto next = mQueue->Take(aNow, mUsage);
    if (!next) {
      return;
    }
    TryStart(aNow, *Find(*next), aEffects);
  }
}

bool
TargetLogic::TryStart(TimePoint aNow, Execution& aExecution, Effects& aEffects)
{
  const uint64_t fingerprint = aExecution.mCall.mFingerprint;
  const FingerprintState state = mCrashes->StateOf(aNow, fingerprint);
  if (state == FingerprintState::Quarantined) {
    Withdraw(
      aNow, aExecution.mId, { .mReason = Reason::Quarantined }, aEffects);
    return false;
  }
  if (state == FingerprintState::Suspect) {
    aExecution.mSuspect = true;
    const bool isBusy = mActiveSuspect.mValue != 0;
    if (!IsDesignated(fingerprint) ||
        (isBusy && mSuspectsWaiting.size() >= kMaxSuspectsWaiting)) {
      Withdraw(aNow,
               aExecution.mId,
               { .mReason = Reason::SuspectWaiting, .mSuspect = true },
               aEffects);
      return false;
    }
    if (isBusy) {
      aExecution.mStage = ExecutionStage::SuspectWaiting;
      mSuspectsWaiting.push_back(aExecution.mId);
      return false;
    }
    mActiveSuspect = aExecution.mId;
  }
  Start(aNow, aExecution, aEffects);
  return true;
}

void
TargetLogic::Start(TimePoint aNow, Execution& aExecution, Effects& aEffects)
{
  aExecution.mStage = ExecutionStage::Running;
  aExecution.mStarted = aNow;
  aExecution.mContext =
    fmt::format("{:x}-{:016x}", aExecution.mId.mValue, mRng.Next());
  mByContext.emplace(aExecution.mContext, aExecution.mId);
  mRunning.insert(aExecution.mId);
  mLimiter->Started(aNow, uint32_t(mRunning.size()), mQueue->Size() > 0);
  // Charged ahead, so that one party cannot take all free slots at once.
  mUsage.Charge(aNow,
                aExecution.mCall.mParty,
                aExecution.mCall.mImportance,
                FromSeconds(mMeanRunSeconds));
  aEffects.mActions.emplace_back(
    StartUpstream{ .mExecution = aExecution.mId,
                   .mAddress = mUpstream.Last().mAddress,
                   .mContext = aExecution.mContext,
                   .mRequest = aExecution.mCall.mRequest,
                   .mTimeout = aExecution.mDeadline - aNow,
                   .mHttp = aExecution.mCall.mHttp,
                   .mQueued = aNow - aExecution.mArrived });
  aEffects.Count("upstream_calls");
  Step(aExecution.mCall,
       aExecution.mWaiters.empty() ? NodeRef{}
                                   : aExecution.mWaiters.front().mNode,
       "started",
       fmt::format("execution={}", aExecution.mId.mValue),
       aEffects);
}

void
TargetLogic::Withdraw(TimePoint aNow,
                      ExecutionId aExecution,
                      const Verdict& aVerdict,
                      Effects& aEffects)
{
  Execution* execution = Find(aExecution);
  if (execution == nullptr) {
    return;
  }
  if (execution->mIssued) {
    mKeys.Table().Release(execution->mCall.mKey);
  }
  Reply(aNow, *execution, aVerdict, {}, aEffects);
  aEffects.Count("target_refused_", ToName(aVerdict.mReason));
  Forget(*execution);
  mExecutions.erase(aExecution);
}

void
TargetLogic::FlushQueue(TimePoint aNow, Reason aReason, Effects& aEffects)
{
  while (const auto next = mQueue->Take(aNow, mUsage)) {
    Withdraw(aNow, *next, { .mReason = aReason }, aEffects);
  }
  for (const ExecutionId id : std::exchange(mSuspectsWaiting, {})) {
    Withdraw(aNow, id, { .mReason = aReason, .mSuspect = true }, aEffects);
  }
}

} // namespace amaranthgap
