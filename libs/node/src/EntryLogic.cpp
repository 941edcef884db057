#include "node/EntryLogic.h"

#include <array>

#include <fmt/format.h>

#include "base/Hash.h"
#include "node/Holders.h"
#include "overload/RetryAfter.h"
#include "quarantine/CrashCorrelator.h"

namespace amaranthgap {
namespace {

constexpr Duration kExpiryInterval = seconds(1);
// A reply that was sent before its node left may still be under way when the
// member list already shows the end of that incarnation.
constexpr Duration kLeftGrace = milliseconds(500);
// Longest wait for a key that a caller asks for ahead of time.
constexpr Duration kPrefetchTimeout = seconds(1);
// Twice the target depth of call graphs (13, section 1.4); stops loops.
constexpr uint32_t kMaxDepth = 32;

/** @return whether a refusal for this reason is certain to concern a request
 * that never ran, also when it names a key. */
bool
IsFaultyRequest(Reason aReason)
{
  return aReason == Reason::BadRequest || aReason == Reason::TooLarge ||
         aReason == Reason::KeyMismatch;
}

RequestId
DrawRequestId(Rng& aRng)
{
  return { fmt::format("{:016x}{:016x}", aRng.Next(), aRng.Next()) };
}

} // namespace

EntryLogic::EntryLogic(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRng(mOptions.mSeed)
  , mRoutes({ .mRegion = mOptions.mRegion,
              .mDataCentre = mOptions.mDataCentre,
              .mShards = mOptions.mShards,
              .mSeed = mOptions.mSeed + 1,
              .mPolicyOff = mOptions.mPolicyOff })
  , mThrottle(mOptions.mSeed + 2)
{
}

void
EntryLogic::SetManifest(TimePoint aNow, const ManifestPtr& aManifest)
{
  mManifest = aManifest;
  mRoutes.SetManifest(aNow, aManifest);
}

void
EntryLogic::SetMembers(TimePoint aNow,
                       const MemberListPtr& aMembers,
                       Effects& aEffects)
{
  mMembers = aMembers;
  mRoutes.SetMembers(aNow, aMembers);
  for (const CallId id : mCalls.Ids()) {
    EntryCall* call = mCalls.Find(id);
    if (call == nullptr || call->mTarget.mId.IsEmpty() ||
        call->mStage == EntryStage::AskingGrant) {
      continue;
    }
    const Presence presence = PresenceOf(*aMembers, call->mTarget);
    if (presence == Presence::Dead) {
      TargetLost(aNow, *call, false, aEffects);
    } else if ((presence == Presence::Left || presence == Presence::Replaced) &&
               !call->mTargetEnding) {
      call->mTargetEnding = true;
      mCalls.SetWake(*call, std::min(call->mWake, aNow + kLeftGrace));
    }
  }
}

CallId
EntryLogic::NextId()
{
  const uint64_t number = ++mOptions.mShared->mLastCall;
  return { number * mOptions.mShards + mOptions.mShard };
}

// -- Callers ----------------------------------------------------------------

Reason
EntryLogic::CheckExternal(const CallerCall& aCall) const
{
  if (!mManifest) {
    return Reason::NoManifest;
  }
  if (mManifest->FindCaller(aCall.mCallerName) == nullptr) {
    return Reason::UnknownCaller;
  }
  if (!mManifest->mServices.contains(aCall.mService)) {
    return Reason::UnknownService;
  }
  if (mManifest->FindClass(aCall.mService, aCall.mRequestClass) == nullptr) {
    return Reason::UnknownClass;
  }
  if (aCall.mHttp.mBody.size() > mManifest->mLimits.mMaxBodyBytes) {
    return Reason::TooLarge;
  }
  if (mDraining) {
    return Reason::Leaving;
  }
  if (mOptions.mShared->mExternalCalls >= mOptions.mMaxExternalCalls) {
    return Reason::Overloaded;
  }
  return Reason::None;
}

void
EntryLogic::Refuse(TimePoint aNow,
                   const CallerCall& aCall,
                   Reason aReason,
                   Effects& aEffects)
{
  // Only the incarnation that issued a key knows whether it ran.
  const RequestClass* entry =
    mManifest ? mManifest->FindClass(aCall.mService, aCall.mRequestClass)
              : nullptr;
  const bool isKeyed =
    !aCall.mKey.empty() && (entry == nullptr || !entry->mIdempotent);
  const Outcome outcome = isKeyed && !IsFaultyRequest(aReason)
                            ? Outcome::MayHaveRun
                            : Outcome::NotRun;
  const ThrottleKey key{ .mService = aCall.mService,
                         .mRequestClass = aCall.mRequestClass };
  aEffects.mActions.emplace_back(AnswerCaller{
    .mCaller = aCall.mCaller,
    .mRequest = aCall.mRequest,
    .mOutcome = outcome,
    .mReason = aReason,
    .mRetryAfter = DrawRetryAfter(mRng, mThrottle.DemandRatio(aNow, key)) });
  aEffects.Count("entry_refused_", ToName(aReason));
  aEffects.mSteps.push_back({ .mRequest = aCall.mRequest,
                              .mRole = "entry",
                              .mEvent = "refused",
                              .mDetail = std::string(ToName(aReason)) });
}

EntryCall
EntryLogic::MakeCall(TimePoint aNow, CallerCall aCall)
{
  const RequestClass& entry =
    *mManifest->FindClass(aCall.mService, aCall.mRequestClass);
  const Duration timeout = aCall.mTimeout > Duration::zero()
                             ? std::min(aCall.mTimeout, entry.mTimeout)
                             : entry.mTimeout;
  EntryCall call{ .mCaller = aCall.mCaller,
                  .mRequest = aCall.mRequest,
                  .mRoot = mOptions.mSelf,
                  .mCallerName = std::move(aCall.mCallerName),
                  .mService = std::move(aCall.mService),
                  .mRequestClass = std::move(aCall.mRequestClass),
                  .mImportance = entry.mImportance,
                  .mIdempotent = entry.mIdempotent,
                  .mArrived = aNow,
                  .mDeadline = aNow + timeout,
                  .mHttp = std::move(aCall.mHttp),
                  .mManifest = mManifest,
                  .mId = NextId() };
  call.mFingerprint =
    FingerprintOf(call.mService, call.mRequestClass, call.mHttp);
  call.mSuspect = mRoutes.IsSuspect(call.mFingerprint);
  return call;
}

void
EntryLogic::CallArrived(TimePoint aNow, CallerCall aCall, Effects& aEffects)
{
  if (aCall.mRequest.IsEmpty()) {
    aCall.mRequest = DrawRequestId(mRng);
  }
  if (const Reason reason = CheckExternal(aCall); reason != Reason::None) {
    Refuse(aNow, aCall, reason, aEffects);
    return;
  }
  std::string key = aCall.mKey;
  EntryCall call = MakeCall(aNow, std::move(aCall));
  call.mParty = mManifest->FindCaller(call.mCallerName)->mParty;
  call.mKey = call.mIdempotent || mOptions.mPolicyOff ? "" : std::move(key);
  call.mWake = call.mDeadline;
  ++mOptions.mShared->mExternalCalls;
  aEffects.mEvents.emplace_back(RequestBegun{ call.mRequest });
  Begin(aNow, mCalls.Add(std::move(call)), aEffects);
}

void
EntryLogic::ChildArrived(TimePoint aNow,
                         CallerCall aCall,
                         const ParentContext& aParent,
                         Effects& aEffects)
{
  aCall.mRequest = aParent.mRequest;
  aCall.mCallerName = aParent.mCaller;
  Reason reason = Reason::None;
  const RequestClass* entry =
    mManifest ? mManifest->FindClass(aCall.mService, aCall.mRequestClass)
              : nullptr;
  if (entry == nullptr) {
    reason = mManifest ? Reason::UnknownClass : Reason::NoManifest;
  } else if (aCall.mHttp.mBody.size() > mManifest->mLimits.mMaxBodyBytes) {
    reason = Reason::TooLarge;
  } else if (aParent.mDepth >= kMaxDepth) {
    reason = Reason::BadRequest;
  } else if (!mOptions.mPolicyOff && !entry->mIdempotent) {
    reason = aParent.mIdempotent  ? Reason::UnderIdempotent
             : aCall.mKey.empty() ? Reason::KeyRequired
                                  : Reason::None;
  }
  if (reason != Reason::None) {
    // The key of a child call is the upstream's own; nothing was sent with it.
    aCall.mKey.clear();
    Refuse(aNow, aCall, reason, aEffects);
    aEffects.mEvents.emplace_back(
      ChildOutcome{ .mParent = aParent.mExecution, .mCaller = aCall.mCaller });
    return;
  }
  std::string key = aCall.mKey;
  EntryCall call = MakeCall(aNow, std::move(aCall));
  call.mIsChild = true;
  call.mParent = aParent.mExecution;
  call.mRoot = aParent.mRoot;
  call.mParty = aParent.mParty;
  call.mImportance = aParent.mImportance;
  call.mDepth = aParent.mDepth + 1;
  call.mDeadline = std::min(call.mDeadline, aParent.mDeadline);
  call.mChildKey = call.mIdempotent ? "" : std::move(key);
  call.mWake = call.mDeadline;
  Begin(aNow, mCalls.Add(std::move(call)), aEffects);
}

void
EntryLogic::Begin(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  aEffects.Count("calls");
  Step(aCall, "arrived", aCall.mService + "/" + aCall.mRequestClass, aEffects);
  if (mOptions.mPolicyOff) {
    FirstAttempt(aNow, aCall, aEffects);
    return;
  }
  if (!aCall.mKey.empty()) {
    BeginKeyed(aNow, aCall, aEffects);
    return;
  }
  if (!aCall.mIsChild && !mThrottle.Admit(aNow, aCall.Throttle())) {
    aCall.mLastReason = Reason::Throttled;
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  if (aCall.mIdempotent) {
    FirstAttempt(aNow, aCall, aEffects);
  } else if (aCall.mIsChild) {
    BeginChildKeyed(aNow, aCall, aEffects);
  } else {
    aCall.mLastReason = Reason::KeyRequired;
    AskKey(aNow, aCall, KeyPurpose::Answer, aEffects);
  }
}

void
EntryLogic::KeyRequested(TimePoint aNow,
                         const CallerKeyRequest& aRequest,
                         Effects& aEffects)
{
  CallerCall wanted{ .mCaller = aRequest.mCaller,
                     .mRequest = DrawRequestId(mRng),
                     .mCallerName = aRequest.mCallerName,
                     .mService = aRequest.mService,
                     .mRequestClass = aRequest.mRequestClass };
  Reason reason = CheckExternal(wanted);
  if (reason == Reason::None &&
      mManifest->FindClass(wanted.mService, wanted.mRequestClass)
        ->mIdempotent) {
    reason = Reason::BadRequest;
  }
  if (reason != Reason::None) {
    Refuse(aNow, wanted, reason, aEffects);
    return;
  }
  EntryCall call = MakeCall(aNow, std::move(wanted));
  call.mParty = mManifest->FindCaller(call.mCallerName)->mParty;
  call.mDeadline = aNow + kPrefetchTimeout;
  call.mWake = call.mDeadline;
  ++mOptions.mShared->mExternalCalls;
  EntryCall& added = mCalls.Add(std::move(call));
  if (!mThrottle.Admit(aNow, added.Throttle())) {
    added.mLastReason = Reason::Throttled;
    GiveUp(aNow, added, aEffects);
    return;
  }
  AskKey(aNow, added, KeyPurpose::Prefetch, aEffects);
}

void
EntryLogic::CallerGone(TimePoint aNow, CallerHandle aCaller, Effects& aEffects)
{
  if (EntryCall* call = mCalls.FindByCaller(aCaller)) {
    aEffects.Count("callers_gone");
    Cancel(aNow, *call, aEffects);
  }
}

void
EntryLogic::ExecutionIsOver(TimePoint aNow,
                            ExecutionId aExecution,
                            Effects& aEffects)
{
  for (const CallId id : mCalls.ChildrenOf(aExecution)) {
    if (EntryCall* call = mCalls.Find(id)) {
      Cancel(aNow, *call, aEffects);
    }
  }
  mCalls.ForgetFamily(aExecution);
}

// -- Peers ------------------------------------------------------------------

void
EntryLogic::PeerLost(TimePoint aNow,
                     const NodeRef& aPeer,
                     bool aNeverSent,
                     Effects& aEffects)
{
  const auto isPeer = [&](const NodeRef& aNode) {
    return aNode.mId == aPeer.mId &&
           (aNode.mIncarnation == aPeer.mIncarnation ||
            aPeer.mIncarnation.mValue == 0);
  };
  for (const CallId id : mCalls.Ids()) {
    EntryCall* call = mCalls.Find(id);
    if (call == nullptr) {
      continue;
    }
    if (call->mStage == EntryStage::AskingGrant) {
      if (isPeer(call->mRoot)) {
        GiveUp(aNow, *call, aEffects);
      }
    } else if (isPeer(call->mTarget)) {
      TargetLost(aNow, *call, aNeverSent, aEffects);
    }
  }
}

// -- Time -------------------------------------------------------------------

void
EntryLogic::Tick(TimePoint aNow, Effects& aEffects)
{
  for (const CallId id : mCalls.Due(aNow)) {
    if (EntryCall* call = mCalls.Find(id)) {
      Woken(aNow, *call, aEffects);
    }
  }
  if (aNow >= mNextExpiry) {
    mNextExpiry = aNow + kExpiryInterval;
    mThrottle.Expire(aNow);
    mRoutes.Expire(aNow);
  }
}

void
EntryLogic::Step(const EntryCall& aCall,
                 std::string_view aEvent,
                 std::string aDetail,
                 Effects& aEffects) const
{
  aEffects.mSteps.push_back({ .mRequest = aCall.mRequest,
                              .mRole = "entry",
                              .mEvent = aEvent,
                              .mPeer = aCall.mTarget.mId.mValue,
                              .mDetail = std::move(aDetail) });
}

} // namespace amaranthgap
