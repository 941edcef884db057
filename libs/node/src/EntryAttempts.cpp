#include <fmt/format.h>

#include "node/EntryLogic.h"
#include "node/Holders.h"
#include "overload/RetryAfter.h"

// Attempts of a call, their replies and retries (section 8.4).

namespace amaranthgap {
namespace {

// Round trip between the most distant regions (section 1.3: 40 ms), a queue in
// the root node, and one lost datagram's worth of slack.
constexpr Duration kGrantTimeout = milliseconds(250);
// With the policy off: attempts per hop, the usual default of HTTP clients.
constexpr uint32_t kPlainAttempts = 3;

bool
IsShed(Reason aReason)
{
  return aReason == Reason::Overloaded || aReason == Reason::Evicted;
}

/** @return whether the whole request failed because a queue refused a call, at
 * the target itself or below it. A service answers with an error of its own
 * when one of its child calls was refused, so that the outcome alone does not
 * tell. */
bool
IsRefusedForLoad(const ReplyMessage& aReply)
{
  if (aReply.mOutcome == Outcome::NotRun) {
    return IsShed(aReply.mReason) || aReply.mReason == Reason::DeadlineExpired;
  }
  constexpr int kTooManyRequests = 429;
  constexpr int kServerError = 500;
  const bool hasFailed = aReply.mOutcome == Outcome::MayHaveRun ||
                         aReply.mHttp.mStatus == kTooManyRequests ||
                         aReply.mHttp.mStatus >= kServerError;
  return hasFailed && aReply.mPressure >= 1;
}

/** @return whether another target may take a call refused for this reason. */
bool
MayHelpElsewhere(Reason aReason)
{
  switch (aReason) {
    case Reason::Overloaded:
    case Reason::Evicted:
    case Reason::Leaving:
    case Reason::UpstreamDown:
    case Reason::WrongTarget:
    case Reason::SuspectWaiting:
    case Reason::UpstreamFailed:
    case Reason::PeerLost:
      return true;
    default:
      return false;
  }
}

} // namespace

// -- Sending ----------------------------------------------------------------

void
EntryLogic::FirstAttempt(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  const auto target = mRoutes.Choose(aNow, aCall);
  if (!target) {
    aCall.mLastReason =
      aCall.mSuspect ? Reason::SuspectWaiting : Reason::NoTarget;
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  mRoutes.RatioOf(aNow, aCall.mService)
    .AddFirstAttempt(aCall.mManifest->mLimits.mRetryRatio);
  SendCall(aNow, aCall, target->mNode, target->mPeerAddress, aEffects);
}

void
EntryLogic::SendCall(TimePoint aNow,
                     EntryCall& aCall,
                     const NodeRef& aTarget,
                     const std::string& aAddress,
                     Effects& aEffects)
{
  const int64_t left = ToMillis(aCall.mDeadline - aNow);
  if (left <= 0) {
    aCall.mLastReason = Reason::DeadlineExpired;
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  if (aCall.mAttempts++ > 0) {
    mCalls.Rename(aCall, NextId());
  }
  aCall.mStage = EntryStage::Calling;
  aCall.mTarget = aTarget;
  aCall.mTargetAddress = aAddress;
  aCall.mTargetEnding = false;
  aCall.mTried.insert(aTarget.mId);
  aCall.mTouchedOnce |= !aCall.mIdempotent;
  mCalls.SetWake(aCall, aCall.mDeadline);
  mRoutes.RouterOf(aNow, aCall.mService).RecordStart(aNow, aTarget);
  aEffects.mActions.emplace_back(
    SendMessage{ .mTo = aTarget,
                 .mAddress = aAddress,
                 .mMessage = CallMessage{ .mCall = aCall.mId,
                                          .mRequest = aCall.mRequest,
                                          .mRoot = aCall.mRoot,
                                          .mCaller = aCall.mCallerName,
                                          .mParty = aCall.mParty,
                                          .mService = aCall.mService,
                                          .mRequestClass = aCall.mRequestClass,
                                          .mImportance = aCall.mImportance,
                                          .mDepth = aCall.mDepth,
                                          .mTimeoutMs = uint32_t(left),
                                          .mIdempotent = aCall.mIdempotent,
                                          .mKey = aCall.mKey,
                                          .mFingerprint = aCall.mFingerprint,
                                          .mHttp = aCall.mHttp } });
  aEffects.Count("attempts");
  Step(aCall, "sent", fmt::format("call={}", aCall.mId.mValue), aEffects);
}

// -- Replies ----------------------------------------------------------------

void
EntryLogic::ReplyArrived(TimePoint aNow,
                         const NodeRef& aFrom,
                         ReplyMessage aReply,
                         Effects& aEffects)
{
  EntryCall* call = mCalls.Find(aReply.mCall);
  if (call == nullptr || call->mTarget.mId != aFrom.mId) {
    aEffects.Count("dropped_reply");
    return;
  }
  if (call->mStage == EntryStage::AskingHolder) {
    HolderReplied(aNow, *call, std::move(aReply), aEffects);
    return;
  }
  // A new incarnation at the same host may refuse, and only refuse, a call
  // that was addressed to the one before it.
  const bool isRefusal =
    aReply.mOutcome == Outcome::NotRun && aReply.mReason == Reason::WrongTarget;
  if (call->mStage != EntryStage::Calling ||
      (call->mTarget != aFrom && !isRefusal)) {
    aEffects.Count("dropped_reply");
    return;
  }
  NoteReply(aNow, *call, aReply);
  Step(*call,
       "reply",
       fmt::format("{} {}", ToName(aReply.mOutcome), ToName(aReply.mReason)),
       aEffects);
  if (aReply.mOutcome != Outcome::Answered) {
    AttemptEnded(aNow, *call, aReply.mOutcome, aReply.mReason, aEffects);
    return;
  }
  Finish(aNow,
         *call,
         { .mOutcome = Outcome::Answered, .mHttp = std::move(aReply.mHttp) },
         aEffects);
}

void
EntryLogic::NoteReply(TimePoint aNow,
                      EntryCall& aCall,
                      const ReplyMessage& aReply)
{
  const bool isRefused =
    aReply.mOutcome == Outcome::NotRun && IsShed(aReply.mReason);
  Router& router = mRoutes.RouterOf(aNow, aCall.mService);
  if (aReply.mReason == Reason::WrongTarget ||
      aReply.mReason == Reason::UpstreamDown) {
    router.RecordFailure(aNow, aCall.mTarget);
  } else {
    router.RecordReply(aNow, aCall.mTarget, aReply.mLoad, isRefused);
  }
  // Of the last attempt: a call refused by one target and served by another met
  // the load of the latter.
  aCall.mPressure = aReply.mPressure;
  aCall.mTouchedOnce |= aReply.mTouchedOnce;
  aCall.mRetryAfterMs = std::max(aCall.mRetryAfterMs, aReply.mRetryAfterMs);
  aCall.mFreshKey = aReply.mIssuedKey;
  if (!aCall.mIsChild) {
    mThrottle.Replied(aNow,
                      aCall.Throttle(),
                      { .mRefused = IsRefusedForLoad(aReply),
                        .mPressure = aReply.mPressure,
                        .mSent = aCall.mArrived });
  }
  if (aReply.mSuspect) {
    aCall.mSuspect = true;
    mRoutes.NoteSuspect(aNow, aCall.mFingerprint, true);
  } else if (aReply.mOutcome == Outcome::Answered) {
    mRoutes.NoteSuspect(aNow, aCall.mFingerprint, false);
    mRoutes.NoteAnswerSize(aCall, aReply.mHttp.mBody.size());
  }
}

void
EntryLogic::TargetLost(TimePoint aNow,
                       EntryCall& aCall,
                       bool aNeverSent,
                       Effects& aEffects)
{
  mRoutes.RouterOf(aNow, aCall.mService).RecordFailure(aNow, aCall.mTarget);
  switch (aCall.mStage) {
    case EntryStage::Calling:
      Step(aCall, "peer-lost", aNeverSent ? "never-sent" : "sent", aEffects);
      AttemptEnded(aNow,
                   aCall,
                   aNeverSent && !IsUnsureOfKey(aCall) ? Outcome::NotRun
                                                       : Outcome::MayHaveRun,
                   Reason::PeerLost,
                   aEffects);
      break;
    case EntryStage::AskingKey:
      KeyFailed(aNow, aCall, aEffects);
      break;
    case EntryStage::AskingHolder:
      AskNextHolder(aNow, aCall, aEffects);
      break;
    case EntryStage::AskingGrant:
    case EntryStage::WaitingKey:
      break;
  }
}

// -- Retries ----------------------------------------------------------------

void
EntryLogic::AttemptEnded(TimePoint aNow,
                         EntryCall& aCall,
                         Outcome aOutcome,
                         Reason aReason,
                         Effects& aEffects)
{
  aCall.mLastOutcome = aOutcome;
  aCall.mLastReason = aReason;
  aCall.mMayHaveRun |= aOutcome == Outcome::MayHaveRun;
  if (!aCall.mKey.empty()) {
    KeyedEnded(aNow, aCall, aEffects);
  } else if (!MayRetry(aNow, aCall)) {
    GiveUp(aNow, aCall, aEffects);
  } else if (mOptions.mPolicyOff) {
    Retry(aNow, aCall, aEffects);
  } else {
    AskGrant(aNow, aCall, aEffects);
  }
}

bool
EntryLogic::MayRetry(TimePoint aNow, const EntryCall& aCall)
{
  if (aCall.mLastOutcome == Outcome::MayHaveRun &&
      (!aCall.mIdempotent || aCall.mTouchedOnce)) {
    return false;
  }
  if (aCall.mDeadline - aNow < milliseconds(1)) {
    return false;
  }
  if (mOptions.mPolicyOff) {
    return aCall.mAttempts < kPlainAttempts;
  }
  return MayHelpElsewhere(aCall.mLastReason) &&
         !mRoutes.RouterOf(aNow, aCall.mService).IsShedding(aNow) &&
         mRoutes.HasUntried(aNow, aCall) &&
         mRoutes.RatioOf(aNow, aCall.mService).TryTake();
}

void
EntryLogic::AskGrant(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  const std::string address =
    mMembers ? AddressOf(*mMembers, aCall.mRoot) : std::string{};
  if (aCall.mRoot != mOptions.mSelf && address.empty()) {
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  aCall.mStage = EntryStage::AskingGrant;
  mCalls.SetWake(aCall, std::min(aCall.mDeadline, aNow + kGrantTimeout));
  aEffects.mActions.emplace_back(
    SendMessage{ .mTo = aCall.mRoot,
                 .mAddress = address,
                 .mMessage = RetryGrantRequest{ .mRequest = aCall.mRequest,
                                                .mCall = aCall.mId } });
}

void
EntryLogic::GrantArrived(TimePoint aNow,
                         const NodeRef& aFrom,
                         const RetryGrant& aGrant,
                         Effects& aEffects)
{
  EntryCall* call = mCalls.Find(aGrant.mCall);
  if (call == nullptr || call->mStage != EntryStage::AskingGrant ||
      call->mRoot != aFrom) {
    aEffects.Count("dropped_grant");
    return;
  }
  if (!aGrant.mGranted) {
    Step(*call, "retry-refused", {}, aEffects);
    GiveUp(aNow, *call, aEffects);
    return;
  }
  Retry(aNow, *call, aEffects);
}

void
EntryLogic::Retry(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  const auto target = mRoutes.Choose(aNow, aCall);
  if (!target) {
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  aEffects.Count("retries");
  SendCall(aNow, aCall, target->mNode, target->mPeerAddress, aEffects);
}

// -- End --------------------------------------------------------------------

void
EntryLogic::GiveUp(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  const Outcome outcome =
    aCall.mMayHaveRun ? Outcome::MayHaveRun : aCall.mLastOutcome;
  const Duration drawn =
    DrawRetryAfter(mRng, mThrottle.DemandRatio(aNow, aCall.Throttle()));
  Finish(aNow,
         aCall,
         { .mOutcome = outcome,
           .mReason = aCall.mLastReason,
           .mRetryAfter =
             std::max<Duration>(drawn, milliseconds(aCall.mRetryAfterMs)),
           .mIssuedKey =
             outcome == Outcome::NotRun ? aCall.mFreshKey : std::string{} },
         aEffects);
}

void
EntryLogic::Finish(TimePoint aNow,
                   EntryCall& aCall,
                   AnswerCaller aAnswer,
                   Effects& aEffects)
{
  if (aAnswer.mOutcome == Outcome::Answered) {
    aEffects.Count("answers");
  } else {
    aEffects.Count("entry_refused_", ToName(aAnswer.mReason));
  }
  Step(aCall,
       "answer",
       fmt::format("{} {}", ToName(aAnswer.mOutcome), ToName(aAnswer.mReason)),
       aEffects);
  const bool wasAskingChildKey = aCall.mIsChild && !aCall.mChildKey.empty() &&
                                 aCall.mKey.empty() &&
                                 aCall.mStage != EntryStage::WaitingKey;
  const EntryCall call = mCalls.Remove(aCall.mId);
  aAnswer.mCaller = call.mCaller;
  aAnswer.mRequest = call.mRequest;
  // A cancelled child call still has an upstream that waits for it; without
  // the answer its slot would stay taken after the execution has ended.
  if (call.mIsChild || aAnswer.mReason != Reason::CallerGone) {
    aEffects.mActions.emplace_back(std::move(aAnswer));
  }
  if (call.mIsChild) {
    aEffects.mEvents.emplace_back(
      ChildOutcome{ .mParent = call.mParent,
                    .mCaller = call.mCaller,
                    .mPressure = call.mPressure,
                    .mTouchedOnce = call.mTouchedOnce });
  } else {
    --mOptions.mShared->mExternalCalls;
    aEffects.mEvents.emplace_back(RequestEnded{ call.mRequest });
  }
  if (wasAskingChildKey) {
    WakeKeyWaiters(aNow, call, aEffects);
  }
}

void
EntryLogic::CancelAttempt(TimePoint aNow,
                          const EntryCall& aCall,
                          Effects& aEffects)
{
  mRoutes.RouterOf(aNow, aCall.mService)
    .RecordCancellation(aNow, aCall.mTarget);
  aEffects.mActions.emplace_back(
    SendMessage{ .mTo = aCall.mTarget,
                 .mAddress = aCall.mTargetAddress,
                 .mMessage = CancelCall{ .mCall = aCall.mId } });
}

void
EntryLogic::Cancel(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  if (aCall.mStage == EntryStage::Calling) {
    CancelAttempt(aNow, aCall, aEffects);
  }
  Finish(aNow,
         aCall,
         { .mOutcome = Outcome::MayHaveRun, .mReason = Reason::CallerGone },
         aEffects);
}

void
EntryLogic::Woken(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  if (aNow >= aCall.mDeadline) {
    Expired(aNow, aCall, aEffects);
    return;
  }
  switch (aCall.mStage) {
    case EntryStage::AskingGrant:
      GiveUp(aNow, aCall, aEffects);
      break;
    case EntryStage::AskingKey:
      KeyFailed(aNow, aCall, aEffects);
      break;
    case EntryStage::AskingHolder:
      AskNextHolder(aNow, aCall, aEffects);
      break;
    case EntryStage::Calling: // The target's incarnation is over.
      TargetLost(aNow, aCall, false, aEffects);
      break;
    case EntryStage::WaitingKey:
      mCalls.SetWake(aCall, aCall.mDeadline);
      break;
  }
}

void
EntryLogic::Expired(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  if (aCall.mStage == EntryStage::Calling) {
    aCall.mMayHaveRun = true;
    CancelAttempt(aNow, aCall, aEffects);
  }
  aCall.mMayHaveRun |= IsUnsureOfKey(aCall);
  aCall.mLastReason = Reason::DeadlineExpired;
  GiveUp(aNow, aCall, aEffects);
}

} // namespace amaranthgap
