#include "node/TargetLogic.h"

#include <fmt/format.h>

#include "node/Holders.h"

namespace amaranthgap {
namespace {

constexpr Duration kExpiryInterval = seconds(1);
// The quarantine lasts minutes; a caller learns that an early return is of no
// use, but also of an end by an operator within a minute.
constexpr Duration kQuarantineRetry = minutes(1);

} // namespace

TargetLogic::TargetLogic(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRng(mOptions.mSeed)
  , mFilter({})
  , mQueue(std::make_unique<AdmissionQueue>(AdmissionQueue::Options{}))
  , mCrashes(std::make_unique<CrashCorrelator>(CrashCorrelator::Options{}))
  , mKeys({ .mSelf = mOptions.mSelf, .mSecret = mOptions.mKeySecret })
{
}

void
TargetLogic::SetSelf(const NodeRef& aSelf)
{
  mOptions.mSelf = aSelf;
  mKeys.SetSelf(aSelf);
}

void
TargetLogic::SetManifest(TimePoint /*aNow*/, const ManifestPtr& aManifest)
{
  const FleetLimits& limits = aManifest->mLimits;
  mKeys.SetLifetime(limits.mKeyLifetime);
  const bool isFirst = !mManifest;
  // A changed quarantine time starts with an empty memory of suspects.
  if (isFirst || mManifest->mLimits.mQuarantine != limits.mQuarantine) {
    mCrashes = std::make_unique<CrashCorrelator>(
      CrashCorrelator::Options{ .mQuarantine = limits.mQuarantine });
  }
  mManifest = aManifest;
  mTargetDelay = limits.mTargetDelay;
  if (isFirst) {
    mQueue = std::make_unique<AdmissionQueue>(
      AdmissionQueue::Options{ .mTargetDelay = mTargetDelay });
  }
}

void
TargetLogic::SetMembers(TimePoint aNow,
                        const MemberListPtr& aMembers,
                        Effects& aEffects)
{
  mMembers = aMembers;
  mKeys.SetMembers(aMembers);
  UpdateGroup(aNow, aEffects);
  std::set<NodeRef> gone;
  for (const auto& [call, execution] : mByCall) {
    const Presence presence = PresenceOf(*aMembers, call.first);
    if (presence == Presence::Dead || presence == Presence::Replaced) {
      gone.insert(call.first);
    }
  }
  for (const NodeRef& node : gone) {
    PeerLost(aNow, node, aEffects);
  }
}

// -- Checks -----------------------------------------------------------------

Reason
TargetLogic::CheckUpstream(TimePoint aNow, const std::string& aService) const
{
  if (mDraining) {
    return Reason::Leaving;
  }
  switch (mUpstream.State(aNow)) {
    case UpstreamState::Unknown:
    case UpstreamState::Down:
      return Reason::UpstreamDown;
    case UpstreamState::Leaving:
      return Reason::Leaving;
    case UpstreamState::Up:
      break;
  }
  return aService == mUpstream.Last().mService ? Reason::None
                                               : Reason::WrongTarget;
}

bool
TargetLogic::IsDesignated(uint64_t aFingerprint) const
{
  if (!mMembers) {
    return true;
  }
  const auto it = mMembers->mByService.find(mUpstream.Last().mService);
  if (it == mMembers->mByService.end()) {
    return true;
  }
  std::vector<NodeId> nodes;
  for (const MemberUpdate& member : it->second) {
    if (member.mState != MemberState::Leaving) {
      nodes.push_back(member.mNode.mId);
    }
  }
  const auto node = CrashCorrelator::DesignatedNode(aFingerprint, nodes);
  return !node || *node == mOptions.mSelf.mId;
}

bool
TargetLogic::IsFenced(const NodeRef& aNode) const
{
  if (!mMembers) {
    return false;
  }
  const Presence presence = PresenceOf(*mMembers, aNode);
  return presence == Presence::Dead || presence == Presence::Replaced;
}

TargetLogic::Verdict
TargetLogic::CheckCall(TimePoint aNow, const CallMessage& aCall)
{
  if (const Reason reason = CheckUpstream(aNow, aCall.mService);
      reason != Reason::None) {
    return { .mReason = reason };
  }
  if (mOptions.mPolicyOff) {
    return {};
  }
  if (!aCall.mIdempotent && aCall.mKey.empty()) {
    return { .mReason = Reason::KeyRequired };
  }
  switch (mCrashes->StateOf(aNow, aCall.mFingerprint)) {
    case FingerprintState::Quarantined:
      return { .mReason = Reason::Quarantined,
               .mRetryAfter = kQuarantineRetry };
    case FingerprintState::Suspect:
      if (!IsDesignated(aCall.mFingerprint)) {
        return { .mReason = Reason::SuspectWaiting, .mSuspect = true };
      }
      break;
    case FingerprintState::Clear:
      break;
  }
  return {};
}

void
TargetLogic::PeerCall(TimePoint aNow,
                      const NodeRef& aFrom,
                      const std::string& aAddress,
                      CallMessage aCall,
                      Effects& aEffects)
{
  if (!mFilter.IsNew(aNow, aFrom, aCall.mCall)) {
    // No reply: the first delivery may be running.
    aEffects.Count("dropped_duplicate_call");
    return;
  }
  const ReplyAddress to{ .mNode = aFrom,
                         .mAddress = aAddress,
                         .mCall = aCall.mCall };
  if (IsFenced(aFrom) || IsFenced(aCall.mRoot)) {
    const bool isKeyed = !aCall.mKey.empty();
    Refuse(aNow,
           to,
           aCall,
           { .mOutcome = isKeyed ? Outcome::MayHaveRun : Outcome::NotRun,
             .mReason = Reason::PeerLost },
           aEffects);
    return;
  }
  std::optional<IssuedKey> issued;
  if (!aCall.mKey.empty() && ServedByKey(aNow, to, aCall, issued, aEffects)) {
    return;
  }
  if (const Verdict verdict = CheckCall(aNow, aCall);
      verdict.mReason != Reason::None) {
    Refuse(aNow, to, aCall, verdict, aEffects);
    return;
  }
  const ExecutionId id{ ++mLastExecution };
  if (issued &&
      mKeys.Table()
          .Begin(aCall.mKey, aCall.mFingerprint, id, mKeys.ForgetTime(*issued))
          .mVerdict == ExecutionTable::Verdict::Full) {
    Refuse(aNow, to, aCall, { .mReason = Reason::Overloaded }, aEffects);
    return;
  }
  auto execution = std::make_unique<Execution>();
  execution->mId = id;
  execution->mWaiters.push_back(to);
  execution->mIssued = std::move(issued);
  execution->mArrived = aNow;
  execution->mDeadline = aNow + milliseconds(aCall.mTimeoutMs);
  execution->mTouchedOnce = !aCall.mIdempotent;
  execution->mCall = std::move(aCall);
  mByCall.emplace(std::pair{ aFrom, to.mCall }, id);
  mByDeadline.emplace(execution->mDeadline, id);
  Execution& added = *(mExecutions[id] = std::move(execution));
  Admit(aNow, added, aEffects);
}

void
TargetLogic::PeerCancel(TimePoint aNow,
                        const NodeRef& aFrom,
                        const CancelCall& aCancel,
                        Effects& aEffects)
{
  // A cancellation that overtakes its call marks it as seen.
  mFilter.IsNew(aNow, aFrom, aCancel.mCall);
  const auto it = mByCall.find({ aFrom, aCancel.mCall });
  if (it == mByCall.end()) {
    return;
  }
  Execution& execution = *Find(it->second);
  mByCall.erase(it);
  std::erase_if(execution.mWaiters, [&](const ReplyAddress& aWaiter) {
    return aWaiter.mNode == aFrom && aWaiter.mCall == aCancel.mCall;
  });
  // A keyed execution that has started runs on, up to its deadline, so that the
  // caller who sends the key again gets the answer instead of MayHaveRun.
  const bool isKept =
    execution.mIssued && execution.mStage == ExecutionStage::Running;
  if (execution.mWaiters.empty() && !isKept) {
    Cancel(aNow, execution, aEffects);
  }
}

void
TargetLogic::PeerLost(TimePoint aNow, const NodeRef& aPeer, Effects& aEffects)
{
  std::vector<std::pair<NodeRef, CallId>> calls;
  for (auto it = mByCall.lower_bound({ aPeer, {} });
       it != mByCall.end() && it->first.first.mId == aPeer.mId;
       ++it) {
    if (it->first.first == aPeer || aPeer.mIncarnation.mValue == 0) {
      calls.push_back(it->first);
    }
  }
  for (const auto& [node, call] : calls) {
    PeerCancel(aNow, node, { .mCall = call }, aEffects);
  }
}

// -- Keys -------------------------------------------------------------------

bool
TargetLogic::ServedByKey(TimePoint aNow,
                         const ReplyAddress& aTo,
                         const CallMessage& aCall,
                         std::optional<IssuedKey>& aIssued,
                         Effects& aEffects)
{
  aIssued = mKeys.Read(aCall.mKey);
  if (!aIssued || aIssued->mService != aCall.mService ||
      aIssued->mRequestClass != aCall.mRequestClass ||
      aIssued->mParty != aCall.mParty) {
    Refuse(aNow, aTo, aCall, { .mReason = Reason::KeyMismatch }, aEffects);
    return true;
  }
  if (aIssued->mNode != mOptions.mSelf) {
    AnswerFromRecord(aNow, aTo, aCall, *aIssued, aEffects);
    return true;
  }
  if (mKeys.IsExpired(aNow, *aIssued)) {
    Refuse(aNow,
           aTo,
           aCall,
           { .mOutcome = Outcome::MayHaveRun, .mReason = Reason::KeyExpired },
           aEffects);
    return true;
  }
  if (mKeys.IsBurnt(*aIssued)) {
    Refuse(aNow, aTo, aCall, { .mReason = Reason::KeyRequired }, aEffects);
    return true;
  }
  const auto known = mKeys.Table().Find(aCall.mKey, aCall.mFingerprint);
  if (!known) {
    return false;
  }
  switch (known->mVerdict) {
    case ExecutionTable::Verdict::Join: {
      Execution& execution = *Find(known->mRunningExecution);
      execution.mWaiters.push_back(aTo);
      mByCall.emplace(std::pair{ aTo.mNode, aTo.mCall }, execution.mId);
      Step(aCall, aTo.mNode, "joined", {}, aEffects);
      return true;
    }
    case ExecutionTable::Verdict::Stored:
      SendReply(aTo,
                { .mCall = aTo.mCall,
                  .mOutcome = known->mStored->mOutcome,
                  .mReason = known->mStored->mOutcome == Outcome::Answered
                               ? Reason::None
                               : Reason::UpstreamFailed,
                  .mHttp = known->mStored->mHttp,
                  .mLoad = Load(aNow),
                  .mTouchedOnce = true },
                aEffects);
      Step(aCall, aTo.mNode, "stored-answer", {}, aEffects);
      return true;
    default:
      Refuse(aNow, aTo, aCall, { .mReason = Reason::KeyMismatch }, aEffects);
      return true;
  }
}

void
TargetLogic::AnswerFromRecord(TimePoint aNow,
                              const ReplyAddress& aTo,
                              const CallMessage& aCall,
                              const IssuedKey& aIssued,
                              Effects& aEffects)
{
  const ClosingRecordStore::LookupResult found =
    mKeys.FindClosed(aNow, aIssued, aCall.mKey);
  Verdict verdict{ .mOutcome = Outcome::MayHaveRun,
                   .mReason = Reason::KeyHolderGone };
  switch (found.mKeyStatus) {
    case ClosingRecordStore::KeyStatus::Unknown:
      break;
    case ClosingRecordStore::KeyStatus::NotRun:
      verdict.mOutcome = Outcome::NotRun;
      break;
    case ClosingRecordStore::KeyStatus::Ran:
      if (found.mEntry->mFingerprint != aCall.mFingerprint) {
        verdict = { .mReason = Reason::KeyMismatch };
      } else if (found.mEntry->mOutcome == Outcome::Answered) {
        SendReply(aTo,
                  { .mCall = aTo.mCall,
                    .mOutcome = Outcome::Answered,
                    .mHttp = found.mEntry->mHttp,
                    .mLoad = Load(aNow),
                    .mTouchedOnce = true },
                  aEffects);
        return;
      } else {
        verdict.mReason = Reason::UpstreamFailed;
      }
      break;
  }
  Refuse(aNow, aTo, aCall, verdict, aEffects);
}

void
TargetLogic::KeyRequested(TimePoint aNow,
                          const NodeRef& aFrom,
                          const std::string& aAddress,
                          const KeyRequest& aRequest,
                          Effects& aEffects)
{
  KeyIssued issued{ .mCall = aRequest.mCall,
                    .mReason = CheckUpstream(aNow, aRequest.mService) };
  if (issued.mReason == Reason::None) {
    issued.mKey = mKeys.Issue(aNow, aRequest);
    aEffects.Count("keys_issued");
  }
  aEffects.mActions.emplace_back(SendMessage{
    .mTo = aFrom, .mAddress = aAddress, .mMessage = std::move(issued) });
}

void
TargetLogic::TransferArrived(TimePoint aNow,
                             const NodeRef& aFrom,
                             const std::string& aAddress,
                             const ClosingRecordTransfer& aTransfer,
                             Effects& aEffects)
{
  mKeys.TransferArrived(aNow, aFrom, aAddress, aTransfer, aEffects);
}

// -- Child calls ------------------------------------------------------------

std::optional<ParentContext>
TargetLogic::ChildStarted(TimePoint aNow,
                          const std::string& aContext,
                          CallerHandle aChild)
{
  const auto it = mByContext.find(aContext);
  if (it == mByContext.end()) {
    return std::nullopt;
  }
  Execution& execution = *Find(it->second);
  if (execution.mStage != ExecutionStage::Running) {
    return std::nullopt;
  }
  execution.ChildBegan(aNow, aChild);
  return execution.Context();
}

void
TargetLogic::ChildEnded(TimePoint aNow, const ChildOutcome& aOutcome)
{
  if (Execution* execution = Find(aOutcome.mParent)) {
    execution->ChildEnded(aNow, aOutcome);
  }
}

bool
TargetLogic::IsRunning(ExecutionId aExecution) const
{
  const auto it = mExecutions.find(aExecution);
  return it != mExecutions.end() &&
         it->second->mStage == ExecutionStage::Running;
}

// -- Time and shutdown ------------------------------------------------------

void
TargetLogic::Tick(TimePoint aNow, Effects& aEffects)
{
  while (!mByDeadline.empty() && mByDeadline.begin()->first <= aNow) {
    const ExecutionId id = mByDeadline.begin()->second;
    mByDeadline.erase(mByDeadline.begin());
    Expire(aNow, *Find(id), aEffects);
  }
  for (const ExecutionId id :
       mQueue->RemoveExpired(aNow, FromSeconds(mMeanRunSeconds))) {
    Withdraw(aNow, id, { .mReason = Reason::DeadlineExpired }, aEffects);
  }
  if (mUpstream.Tick(aNow)) {
    Crashed(aNow, aEffects);
    PublishUpstream(aNow, "not announced", aEffects);
    FlushQueue(aNow, Reason::UpstreamDown, aEffects);
  }
  StartNext(aNow, aEffects);
  NoteRegime(aNow, aEffects);
  if (aNow >= mNextUsage) {
    mNextUsage = aNow + ReportUsage(aNow, aEffects);
  }
  if (aNow >= mNextExpiry) {
    mNextExpiry = aNow + kExpiryInterval;
    mFilter.Expire(aNow);
    for (const uint64_t fingerprint : mCrashes->Expire(aNow)) {
      aEffects.mActions.emplace_back(
        AuditEntry{ .mKind = AuditKind::QuarantineEnd,
                    .mSubject = fmt::format("{:016x}", fingerprint),
                    .mCause = "time over" });
    }
  }
  if (mDraining && !mClosed && mExecutions.empty()) {
    mClosed = true;
    mKeys.Close(aNow, mUpstream.Last().mService);
  }
  mKeys.Tick(aNow, aEffects);
}

void
TargetLogic::NoteRegime(TimePoint aNow, Effects& aEffects)
{
  if (!mLimiter || mLimiter->Regime(aNow) == mRegime) {
    return;
  }
  const LimitRegime before = std::exchange(mRegime, mLimiter->Regime(aNow));
  // Probes upwards are part of the ordinary course and would fill the trail.
  if (before == LimitRegime::WarmUp || mRegime == LimitRegime::WarmUp ||
      mRegime == LimitRegime::ProbeDown) {
    aEffects.mActions.emplace_back(
      AuditEntry{ .mKind = AuditKind::LimitRegime,
                  .mSubject = std::string(ToName(mRegime)),
                  .mCause = fmt::format("limit={}", mLimiter->Limit(aNow)) });
  }
}

void
TargetLogic::DrainStarted(TimePoint aNow, Effects& aEffects)
{
  mDraining = true;
  mKeys.SetDraining();
  PublishUpstream(aNow, "drain", aEffects);
}

bool
TargetLogic::IsDrained() const
{
  return mDraining && mClosed && mKeys.IsHandedOver();
}

TargetLoad
TargetLogic::Load(TimePoint aNow) const
{
  return { .mInFlight = uint32_t(mRunning.size()),
           .mWaiting = uint32_t(mQueue->Size()),
           .mLimit = mLimiter ? mLimiter->Limit(aNow) : 0,
           .mLeaving = CheckUpstream(aNow, mUpstream.Last().mService) ==
                       Reason::Leaving };
}

QueueView
TargetLogic::Queue(TimePoint aNow) const
{
  return { .mDrainRate = DrainRate(aNow),
           .mExpectedRun = FromSeconds(mMeanRunSeconds),
           .mLines = mQueue->PartyQueueStates(aNow, mUsage) };
}

Execution*
TargetLogic::Find(ExecutionId aExecution)
{
  const auto it = mExecutions.find(aExecution);
  return it == mExecutions.end() ? nullptr : it->second.get();
}

void
TargetLogic::Step(const CallMessage& aCall,
                  const NodeRef& aPeer,
                  std::string_view aEvent,
                  std::string aDetail,
                  Effects& aEffects) const
{
  aEffects.mSteps.push_back({ .mRequest = aCall.mRequest,
                              .mRole = "target",
                              .mEvent = aEvent,
                              .mPeer = aPeer.mId.mValue,
                              .mDetail = std::move(aDetail) });
}

} // namespace amaranthgap
