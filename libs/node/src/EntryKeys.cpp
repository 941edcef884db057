#include <algorithm>

#include "node/EntryLogic.h"
#include "node/Holders.h"

// Idempotency keys at the entry node (section 8.5).

namespace amaranthgap {
namespace {

// As for a retry grant: a round trip between regions with some slack.
constexpr Duration kKeyTimeout = milliseconds(250);
constexpr uint32_t kMaxKeyTries = 3;
// Two nodes hold a closing record; the third one covers a change of the
// membership between the hand-over and the question.
constexpr size_t kHoldersAsked = 3;

} // namespace

// -- Calls with a key -------------------------------------------------------

void
EntryLogic::BeginKeyed(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  aCall.mIssued = IssuedKey::FromText(aCall.mKey, mOptions.mKeySecret);
  if (!aCall.mIssued || aCall.mIssued->mService != aCall.mService ||
      aCall.mIssued->mRequestClass != aCall.mRequestClass ||
      aCall.mIssued->mParty != aCall.mParty) {
    aCall.mLastReason =
      aCall.mIssued ? Reason::KeyMismatch : Reason::BadRequest;
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  SendKeyed(aNow, aCall, aEffects);
}

void
EntryLogic::SendKeyed(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  const NodeRef& node = aCall.mIssued->mNode;
  const Presence presence =
    mMembers ? PresenceOf(*mMembers, node) : Presence::Unknown;
  const std::string address =
    mMembers ? AddressOf(*mMembers, node) : std::string{};
  if (node != mOptions.mSelf &&
      (address.empty() || presence == Presence::Left ||
       presence == Presence::Dead || presence == Presence::Replaced)) {
    AskHolders(aNow, aCall, aEffects);
    return;
  }
  if (aCall.mIsChild) {
    mCalls.KeyOf(aCall).mSent = true;
  }
  SendCall(aNow, aCall, node, address, aEffects);
}

bool
EntryLogic::IsUnsureOfKey(const EntryCall& aCall)
{
  if (aCall.mKey.empty()) {
    return false;
  }
  return !aCall.mIsChild || mCalls.KeyOf(aCall).mSent;
}

void
EntryLogic::KeyedEnded(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  if (aCall.mLastOutcome == Outcome::NotRun &&
      aCall.mLastReason == Reason::WrongTarget) {
    // The incarnation is gone; what it ran is not known here.
    AskHolders(aNow, aCall, aEffects);
    return;
  }
  if (aCall.mLastOutcome == Outcome::NotRun && aCall.mIsChild) {
    // The key can no longer run; the upstream's next call takes a fresh one.
    mCalls.ForgetKey(aCall);
  }
  const bool isSettled = aCall.mLastOutcome == Outcome::MayHaveRun ||
                         aCall.mLastReason == Reason::KeyMismatch ||
                         !aCall.mFreshKey.empty();
  if (!isSettled && !aCall.mIsChild) {
    // Its node issues no key now; another one does.
    AskKey(aNow, aCall, KeyPurpose::Answer, aEffects);
    return;
  }
  GiveUp(aNow, aCall, aEffects);
}

// -- Child calls ------------------------------------------------------------

void
EntryLogic::BeginChildKeyed(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  EntryCalls::ChildKey& key = mCalls.KeyOf(aCall);
  if (!key.mIssued.empty()) {
    GotKey(aNow, aCall, key.mIssued, aEffects);
    return;
  }
  const bool isFirst = key.mWaiting.empty();
  key.mWaiting.push_back(aCall.mId);
  if (isFirst) {
    AskKey(aNow, aCall, KeyPurpose::Child, aEffects);
  } else {
    aCall.mStage = EntryStage::WaitingKey;
  }
}

void
EntryLogic::WakeKeyWaiters(TimePoint aNow,
                           const EntryCall& aCall,
                           Effects& aEffects)
{
  EntryCalls::ChildKey& key = mCalls.KeyOf(aCall);
  const std::string issued = key.mIssued;
  const std::vector<CallId> waiting = std::exchange(key.mWaiting, {});
  for (const CallId id : waiting) {
    EntryCall* call = mCalls.Find(id);
    if (call == nullptr || id == aCall.mId) {
      continue;
    }
    if (issued.empty()) {
      BeginChildKeyed(aNow, *call, aEffects);
    } else {
      GotKey(aNow, *call, issued, aEffects);
    }
  }
}

// -- Asking for a key -------------------------------------------------------

void
EntryLogic::AskKey(TimePoint aNow,
                   EntryCall& aCall,
                   KeyPurpose aPurpose,
                   Effects& aEffects)
{
  aCall.mPurpose = aPurpose;
  const auto target = mRoutes.Choose(aNow, aCall);
  if (!target || aCall.mKeyTries >= kMaxKeyTries) {
    aCall.mTarget = {};
    // Without a key attached, key-required would tell the caller to send again
    // with a key that it does not have, and no time to come back.
    if (aCall.mLastReason == Reason::None ||
        aCall.mLastReason == Reason::KeyRequired) {
      aCall.mLastReason = Reason::NoTarget;
    }
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  ++aCall.mKeyTries;
  if (aCall.mAttempts > 0 || aCall.mKeyTries > 1) {
    mCalls.Rename(aCall, NextId());
  }
  aCall.mStage = EntryStage::AskingKey;
  aCall.mTarget = target->mNode;
  aCall.mTargetAddress = target->mPeerAddress;
  aCall.mTargetEnding = false;
  mCalls.SetWake(aCall, std::min(aCall.mDeadline, aNow + kKeyTimeout));
  aEffects.mActions.emplace_back(SendMessage{
    .mTo = target->mNode,
    .mAddress = target->mPeerAddress,
    .mMessage = KeyRequest{ .mCall = aCall.mId,
                            .mParty = aCall.mParty,
                            .mService = aCall.mService,
                            .mRequestClass = aCall.mRequestClass } });
}

void
EntryLogic::KeyFailed(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  aCall.mTried.insert(aCall.mTarget.mId);
  AskKey(aNow, aCall, aCall.mPurpose, aEffects);
}

void
EntryLogic::KeyArrived(TimePoint aNow,
                       const NodeRef& aFrom,
                       const KeyIssued& aIssued,
                       Effects& aEffects)
{
  EntryCall* call = mCalls.Find(aIssued.mCall);
  if (call == nullptr || call->mStage != EntryStage::AskingKey ||
      call->mTarget != aFrom) {
    aEffects.Count("dropped_key");
    return;
  }
  if (aIssued.mKey.empty()) {
    KeyFailed(aNow, *call, aEffects);
    return;
  }
  Step(*call, "key", {}, aEffects);
  if (call->mPurpose == KeyPurpose::Child) {
    mCalls.KeyOf(*call).mIssued = aIssued.mKey;
    const CallId id = call->mId;
    WakeKeyWaiters(aNow, *call, aEffects);
    if ((call = mCalls.Find(id)) != nullptr) {
      GotKey(aNow, *call, aIssued.mKey, aEffects);
    }
    return;
  }
  Finish(
    aNow,
    *call,
    { .mOutcome = call->mMayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun,
      .mReason = call->mLastReason,
      .mIssuedKey = aIssued.mKey },
    aEffects);
}

void
EntryLogic::GotKey(TimePoint aNow,
                   EntryCall& aCall,
                   const std::string& aKey,
                   Effects& aEffects)
{
  aCall.mKey = aKey;
  BeginKeyed(aNow, aCall, aEffects);
}

// -- Closing records --------------------------------------------------------

void
EntryLogic::AskHolders(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  aCall.mLastOutcome = Outcome::MayHaveRun;
  aCall.mLastReason = Reason::KeyHolderGone;
  if (mMembers) {
    aCall.mHolders =
      HoldersOf(*mMembers, aCall.mService, aCall.mIssued->mNode, kHoldersAsked);
    std::reverse(aCall.mHolders.begin(), aCall.mHolders.end());
  }
  AskNextHolder(aNow, aCall, aEffects);
}

void
EntryLogic::AskNextHolder(TimePoint aNow, EntryCall& aCall, Effects& aEffects)
{
  const int64_t left = ToMillis(aCall.mDeadline - aNow);
  if (aCall.mHolders.empty() || left <= 0) {
    GiveUp(aNow, aCall, aEffects);
    return;
  }
  const MemberUpdate holder = aCall.mHolders.back();
  aCall.mHolders.pop_back();
  mCalls.Rename(aCall, NextId());
  aCall.mStage = EntryStage::AskingHolder;
  aCall.mTarget = holder.mNode;
  aCall.mTargetAddress = holder.mPeerAddress;
  aCall.mTargetEnding = false;
  mCalls.SetWake(aCall, std::min(aCall.mDeadline, aNow + kKeyTimeout));
  aEffects.mActions.emplace_back(SendMessage{
    .mTo = holder.mNode,
    .mAddress = holder.mPeerAddress,
    .mMessage = CallMessage{ .mCall = aCall.mId,
                             .mRequest = aCall.mRequest,
                             .mRoot = aCall.mRoot,
                             .mCaller = aCall.mCallerName,
                             .mParty = aCall.mParty,
                             .mService = aCall.mService,
                             .mRequestClass = aCall.mRequestClass,
                             .mTimeoutMs = uint32_t(left),
                             .mIdempotent = false,
                             .mKey = aCall.mKey,
                             .mFingerprint = aCall.mFingerprint } });
  Step(aCall, "asked-holder", {}, aEffects);
}

void
EntryLogic::HolderReplied(TimePoint aNow,
                          EntryCall& aCall,
                          ReplyMessage aReply,
                          Effects& aEffects)
{
  if (aReply.mOutcome == Outcome::Answered) {
    Finish(aNow,
           aCall,
           { .mOutcome = Outcome::Answered, .mHttp = std::move(aReply.mHttp) },
           aEffects);
    return;
  }
  if (aReply.mOutcome == Outcome::MayHaveRun &&
      aReply.mReason == Reason::KeyHolderGone) {
    AskNextHolder(aNow, aCall, aEffects); // It has no record.
    return;
  }
  if (aReply.mReason == Reason::WrongTarget) {
    AskNextHolder(aNow, aCall, aEffects);
    return;
  }
  aCall.mLastOutcome = aReply.mOutcome;
  aCall.mLastReason = aReply.mReason;
  const bool isNotRun = aReply.mOutcome == Outcome::NotRun;
  if (isNotRun && aCall.mIsChild) {
    mCalls.ForgetKey(aCall);
  } else if (isNotRun && !aReply.mIssuedKey.empty()) {
    Finish(aNow,
           aCall,
           { .mReason = aReply.mReason, .mIssuedKey = aReply.mIssuedKey },
           aEffects);
    return;
  } else if (isNotRun && aReply.mReason == Reason::KeyHolderGone) {
    AskKey(aNow, aCall, KeyPurpose::Answer, aEffects);
    return;
  }
  GiveUp(aNow, aCall, aEffects);
}

} // namespace amaranthgap
