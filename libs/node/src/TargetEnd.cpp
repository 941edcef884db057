#include <algorithm>

#include <fmt/format.h>

#include "base/Hash.h"
#include "node/TargetLogic.h"

// End of executions and state of the upstream (sections 8.7 and 8.10).

namespace amaranthgap {
namespace {

constexpr double kMeanRunWeight = 0.1;
// Reports go out as often as this budget allows: about each 300 ms to 5 peers
// with 6 shares, and each second to 9 peers with 20. A node may spend 9 KB/s on
// control in all.
constexpr double kUsageBytesPerSecond = 5400;
constexpr Duration kUsageInterval = milliseconds(200);
constexpr size_t kReportBytes = 200; ///< Envelope, TCP and IP headers.
constexpr size_t kShareBytes = 24;
constexpr Duration kContendedTime = seconds(2);
// The parties that attained most decide on the shares; the others are served
// first in any case. Keeps a report within about 0.6 KB.
constexpr ptrdiff_t kMaxShares = 20;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

} // namespace

// -- Replies ----------------------------------------------------------------

void
TargetLogic::SendReply(const ReplyAddress& aTo,
                       ReplyMessage aReply,
                       Effects& aEffects)
{
  aEffects.mActions.emplace_back(SendMessage{ .mTo = aTo.mNode,
                                              .mAddress = aTo.mAddress,
                                              .mMessage = std::move(aReply) });
}

std::string
TargetLogic::ReplaceKey(TimePoint aNow,
                        const CallMessage& aCall,
                        const Verdict& aVerdict)
{
  // A mismatch concerns only the other payload; the key stays valid.
  if (aCall.mKey.empty() || aVerdict.mOutcome != Outcome::NotRun ||
      aVerdict.mReason == Reason::KeyMismatch ||
      aVerdict.mReason == Reason::BadRequest) {
    return {};
  }
  if (const auto key = mKeys.Read(aCall.mKey);
      key && key->mNode == mOptions.mSelf) {
    mKeys.Burn(aNow, *key);
  }
  if (CheckUpstream(aNow, aCall.mService) != Reason::None) {
    return {};
  }
  return mKeys.Issue(aNow,
                     { .mParty = aCall.mParty,
                       .mService = aCall.mService,
                       .mRequestClass = aCall.mRequestClass });
}

void
TargetLogic::Refuse(TimePoint aNow,
                    const ReplyAddress& aTo,
                    const CallMessage& aCall,
                    const Verdict& aVerdict,
                    Effects& aEffects)
{
  SendReply(aTo,
            { .mCall = aTo.mCall,
              .mOutcome = aVerdict.mOutcome,
              .mReason = aVerdict.mReason,
              .mRetryAfterMs = uint32_t(ToMillis(aVerdict.mRetryAfter)),
              .mLoad = Load(aNow),
              .mPressure = aVerdict.mPressure,
              .mSuspect = aVerdict.mSuspect,
              .mIssuedKey = ReplaceKey(aNow, aCall, aVerdict) },
            aEffects);
  aEffects.Count("target_refused_", ToName(aVerdict.mReason));
  Step(
    aCall,
    aTo.mNode,
    "refused",
    fmt::format("{} {}", ToName(aVerdict.mOutcome), ToName(aVerdict.mReason)),
    aEffects);
}

void
TargetLogic::Reply(TimePoint aNow,
                   const Execution& aExecution,
                   const Verdict& aVerdict,
                   const HttpResponse& aHttp,
                   Effects& aEffects)
{
  if (aExecution.mWaiters.empty()) {
    return;
  }
  const std::string key = ReplaceKey(aNow, aExecution.mCall, aVerdict);
  // The fill of the queue now says more of the next calls than the fill that
  // this call met on its arrival.
  const double fill =
    mOptions.mPolicyOff
      ? 0
      : mQueue->FillRatio(aExecution.mCall.mImportance, DrainRate(aNow));
  const double pressure =
    std::max({ fill, aVerdict.mPressure, aExecution.mPressure });
  for (const ReplyAddress& to : aExecution.mWaiters) {
    SendReply(to,
              { .mCall = to.mCall,
                .mOutcome = aVerdict.mOutcome,
                .mReason = aVerdict.mReason,
                .mHttp = aHttp,
                .mRetryAfterMs = uint32_t(ToMillis(aVerdict.mRetryAfter)),
                .mLoad = Load(aNow),
                .mPressure = pressure,
                .mSuspect = aVerdict.mSuspect,
                .mTouchedOnce = aExecution.mTouchedOnce,
                .mIssuedKey = key },
              aEffects);
    Step(
      aExecution.mCall,
      to.mNode,
      "replied",
      fmt::format("{} {}", ToName(aVerdict.mOutcome), ToName(aVerdict.mReason)),
      aEffects);
  }
}

// -- Removal ----------------------------------------------------------------

void
TargetLogic::Forget(const Execution& aExecution)
{
  for (const ReplyAddress& to : aExecution.mWaiters) {
    mByCall.erase({ to.mNode, to.mCall });
  }
  mByDeadline.erase({ aExecution.mDeadline, aExecution.mId });
  mByContext.erase(aExecution.mContext);
  mRunning.erase(aExecution.mId);
}

void
TargetLogic::Remove(TimePoint aNow, ExecutionId aExecution, Effects& aEffects)
{
  const Execution& execution = *Find(aExecution);
  if (execution.mHadChildren) {
    aEffects.mEvents.emplace_back(ExecutionEnded{ aExecution });
  }
  Forget(execution);
  mExecutions.erase(aExecution);
  if (mActiveSuspect == aExecution) {
    mActiveSuspect = {};
    // The first one that gets a slot is the next to run; the others wait again.
    for (const ExecutionId next : std::exchange(mSuspectsWaiting, {})) {
      Enqueue(aNow, *Find(next), aEffects);
    }
  }
  StartNext(aNow, aEffects);
}

void
TargetLogic::NoteFinished(TimePoint aNow,
                          const Execution& aExecution,
                          bool aShed,
                          bool aAnswered)
{
  const Duration run = aNow - aExecution.mStarted;
  const Duration charged = FromSeconds(mMeanRunSeconds);
  if (run > charged) {
    mUsage.Charge(aNow,
                  aExecution.mCall.mParty,
                  aExecution.mCall.mImportance,
                  run - charged);
  }
  if (!aAnswered) {
    return;
  }
  mMeanRunSeconds =
    mMeanRunSeconds > 0
      ? mMeanRunSeconds + kMeanRunWeight * (ToSeconds(run) - mMeanRunSeconds)
      : ToSeconds(run);
  mLimiter->Finished(aNow,
                     { .mClass = Hash64(aExecution.mCall.mRequestClass),
                       .mStarted = aExecution.mStarted,
                       .mOwnTime = aExecution.OwnTime(aNow),
                       .mShed = aShed });
}

// -- Results of the upstream ------------------------------------------------

void
TargetLogic::UpstreamAnswered(TimePoint aNow,
                              ExecutionId aExecution,
                              const HttpResponse& aResponse,
                              Effects& aEffects)
{
  Execution* execution = Find(aExecution);
  if (execution == nullptr || !mRunning.contains(aExecution)) {
    aEffects.Count("dropped_upstream_result");
    return;
  }
  mUpstream.Answered(aExecution);
  const bool isShed = aResponse.mStatus == kTooManyRequests ||
                      aResponse.mStatus == kServiceUnavailable;
  NoteFinished(aNow, *execution, isShed, true);
  if (auto report =
        mCrashes->RecordCompletion(aNow, execution->mCall.mFingerprint)) {
    report->mService = mUpstream.Last().mService;
    SendToService(*report, aEffects);
  }
  if (execution->mIssued) {
    mKeys.Table().Finish(execution->mCall.mKey, Outcome::Answered, aResponse);
  }
  Reply(
    aNow, *execution, { .mOutcome = Outcome::Answered }, aResponse, aEffects);
  Remove(aNow, aExecution, aEffects);
}

void
TargetLogic::UpstreamFailed(TimePoint aNow,
                            ExecutionId aExecution,
                            UpstreamFailure aFailure,
                            Effects& aEffects)
{
  Execution* execution = Find(aExecution);
  if (execution == nullptr || !mRunning.contains(aExecution)) {
    aEffects.Count("dropped_upstream_result");
    return;
  }
  Verdict verdict{ .mOutcome = Outcome::MayHaveRun,
                   .mReason = Reason::UpstreamFailed };
  const bool isCancelled = execution->mStage == ExecutionStage::Ending;
  switch (aFailure) {
    case UpstreamFailure::NotConnected:
      verdict = { .mReason = Reason::UpstreamDown };
      mUpstream.NotConnected(aNow);
      mUpstream.Ended(aExecution);
      break;
    case UpstreamFailure::ConnectionLost:
    case UpstreamFailure::Incomplete:
      verdict.mSuspect = !isCancelled;
      if (!isCancelled && !execution->mCountedAtCrash) {
        mUpstream.Broken(
          aNow, aExecution, execution->mCall.mFingerprint, mRunning);
      } else {
        mUpstream.Ended(aExecution);
      }
      break;
    case UpstreamFailure::TimedOut:
      verdict.mReason = Reason::DeadlineExpired;
      mUpstream.Ended(aExecution);
      break;
    case UpstreamFailure::TooLarge:
      verdict.mReason = Reason::AnswerTooLarge;
      mUpstream.Answered(aExecution);
      break;
  }
  NoteFinished(aNow, *execution, false, false);
  if (execution->mIssued) {
    if (verdict.mOutcome == Outcome::NotRun) {
      mKeys.Table().Release(execution->mCall.mKey);
    } else {
      mKeys.Table().Finish(execution->mCall.mKey, verdict.mOutcome, {});
    }
  }
  Reply(aNow, *execution, verdict, {}, aEffects);
  // The slot is free before a crash is concluded, so that the execution is
  // counted only once, among the broken calls.
  mRunning.erase(aExecution);
  if (mUpstream.HasCrashed(aNow)) {
    Crashed(aNow, aEffects);
    mUpstream.SetCrashed();
    PublishUpstream(aNow, "crashed", aEffects);
    FlushQueue(aNow, Reason::UpstreamDown, aEffects);
  }
  Remove(aNow, aExecution, aEffects);
}

// -- Cancellation -----------------------------------------------------------

void
TargetLogic::Cancel(TimePoint aNow, Execution& aExecution, Effects& aEffects)
{
  const ExecutionId id = aExecution.mId;
  switch (aExecution.mStage) {
    case ExecutionStage::Queued:
      mQueue->Remove(id);
      Withdraw(aNow, id, { .mReason = Reason::CallerGone }, aEffects);
      break;
    case ExecutionStage::SuspectWaiting:
      std::erase(mSuspectsWaiting, id);
      Withdraw(aNow, id, { .mReason = Reason::CallerGone }, aEffects);
      break;
    case ExecutionStage::Running:
      aExecution.mStage = ExecutionStage::Ending;
      aEffects.mActions.emplace_back(CancelUpstream{ id });
      if (aExecution.mHadChildren) {
        aEffects.mEvents.emplace_back(ExecutionEnded{ id });
      }
      aEffects.Count("cancels");
      Step(aExecution.mCall, {}, "cancelled", {}, aEffects);
      break;
    case ExecutionStage::Ending:
      break;
  }
}

void
TargetLogic::Expire(TimePoint aNow, Execution& aExecution, Effects& aEffects)
{
  const ExecutionId id = aExecution.mId;
  switch (aExecution.mStage) {
    case ExecutionStage::Queued:
      mQueue->Remove(id);
      Withdraw(aNow, id, { .mReason = Reason::DeadlineExpired }, aEffects);
      break;
    case ExecutionStage::SuspectWaiting:
      std::erase(mSuspectsWaiting, id);
      Withdraw(aNow, id, { .mReason = Reason::DeadlineExpired }, aEffects);
      break;
    case ExecutionStage::Running:
      Reply(
        aNow,
        aExecution,
        { .mOutcome = Outcome::MayHaveRun, .mReason = Reason::DeadlineExpired },
        {},
        aEffects);
      for (const ReplyAddress& to : std::exchange(aExecution.mWaiters, {})) {
        mByCall.erase({ to.mNode, to.mCall });
      }
      Cancel(aNow, aExecution, aEffects);
      break;
    case ExecutionStage::Ending:
      break;
  }
}

// -- State of the upstream --------------------------------------------------

void
TargetLogic::UpstreamAnnounced(TimePoint aNow,
                               const Announcement& aAnnouncement,
                               Effects& aEffects)
{
  const UpstreamState before = mUpstream.State(aNow);
  const uint32_t slots = mUpstream.Last().mSlots;
  const bool isNewRun = mUpstream.Announced(aNow, aAnnouncement);
  if (isNewRun && before != UpstreamState::Unknown) {
    Crashed(aNow, aEffects);
  }
  if (isNewRun || slots != aAnnouncement.mSlots || !mLimiter) {
    mLimiter = std::make_unique<ConcurrencyLimiter>(ConcurrencyLimiter::Options{
      .mSlots = std::max(aAnnouncement.mSlots, 1U),
      .mMaxCalls = mOptions.mMaxUpstreamCalls,
      .mWarmUp = isNewRun ? aAnnouncement.mWarmUp : Duration{},
      .mStart = aNow });
  }
  if (isNewRun || before != mUpstream.State(aNow) ||
      slots != aAnnouncement.mSlots) {
    PublishUpstream(aNow, isNewRun ? "new run" : "announcement", aEffects);
  }
  UpdateGroup(aNow, aEffects);
  StartNext(aNow, aEffects);
}

void
TargetLogic::PublishUpstream(TimePoint aNow,
                             std::string aCause,
                             Effects& aEffects)
{
  const Announcement& last = mUpstream.Last();
  const bool isOpen = !mDraining && mUpstream.State(aNow) == UpstreamState::Up;
  aEffects.mEvents.emplace_back(
    UpstreamChanged{ .mService = isOpen ? last.mService : std::string{},
                     .mSlots = last.mSlots,
                     .mWarmUp = last.mWarmUp });
  aEffects.mActions.emplace_back(
    AuditEntry{ .mKind = AuditKind::UpstreamState,
                .mSubject = std::string(ToName(mUpstream.State(aNow))),
                .mCause = std::move(aCause) });
}

void
TargetLogic::Crashed(TimePoint aNow, Effects& aEffects)
{
  std::vector<uint64_t> fingerprints = mUpstream.TakeBroken(aNow);
  for (const ExecutionId id : mRunning) {
    Execution& execution = *Find(id);
    if (!execution.mCountedAtCrash) {
      execution.mCountedAtCrash = true;
      fingerprints.push_back(execution.mCall.mFingerprint);
    }
  }
  if (fingerprints.empty() || mOptions.mPolicyOff) {
    return;
  }
  CrashReport report = mCrashes->RecordCrash(aNow, fingerprints);
  report.mService = mUpstream.Last().mService;
  for (const uint64_t fingerprint : report.mQuarantined) {
    aEffects.mActions.emplace_back(
      AuditEntry{ .mKind = AuditKind::Quarantine,
                  .mSubject = fmt::format("{:016x}", fingerprint),
                  .mCause = "crashed the upstream as its only suspect" });
  }
  for (const uint64_t fingerprint : report.mSuspects) {
    aEffects.mActions.emplace_back(
      AuditEntry{ .mKind = AuditKind::Suspect,
                  .mSubject = fmt::format("{:016x}", fingerprint),
                  .mCause = "in flight at a crash" });
  }
  aEffects.Count("upstream_crashes");
  SendToService(report, aEffects);
}

void
TargetLogic::SendToService(const Message& aMessage, Effects& aEffects)
{
  for (const auto& [id, member] : mGroup.Nodes()) {
    aEffects.mActions.emplace_back(SendMessage{ .mTo = member.mNode,
                                                .mAddress = member.mPeerAddress,
                                                .mMessage = aMessage });
  }
}

void
TargetLogic::UpdateGroup(TimePoint aNow, Effects& aEffects)
{
  const std::string& service = mUpstream.Last().mService;
  if (!mMembers || service.empty()) {
    return;
  }
  const auto added = mGroup.Update(mOptions.mSelf.mId, service, *mMembers);
  if (added.empty()) {
    return;
  }
  CrashReport known = mCrashes->Snapshot(aNow);
  if (known.mSuspects.empty() && known.mQuarantined.empty()) {
    return;
  }
  known.mService = service;
  for (const MemberUpdate& member : added) {
    aEffects.mActions.emplace_back(SendMessage{ .mTo = member.mNode,
                                                .mAddress = member.mPeerAddress,
                                                .mMessage = known });
  }
}

void
TargetLogic::CrashReported(TimePoint aNow, const CrashReport& aReport)
{
  if (aReport.mService == mUpstream.Last().mService) {
    mCrashes->Apply(aNow, aReport);
  }
}

void
TargetLogic::UsageReported(TimePoint aNow,
                           const NodeRef& aFrom,
                           const UsageReport& aReport)
{
  if (aReport.mService == mUpstream.Last().mService) {
    mUsage.SetRemote(aNow, aFrom.mId, aReport.mShares);
  }
}

Duration
TargetLogic::ReportUsage(TimePoint aNow, Effects& aEffects)
{
  if (mOptions.mPolicyOff || mUpstream.State(aNow) == UpstreamState::Unknown) {
    return kUsageInterval;
  }
  // Shares matter only while calls compete for slots.
  if (aNow - mLastContended > kContendedTime) {
    return kUsageInterval;
  }
  auto shares = mUsage.LocalShares(aNow);
  if (std::ssize(shares) > kMaxShares) {
    std::partial_sort(shares.begin(),
                      shares.begin() + kMaxShares,
                      shares.end(),
                      [](const PartyShare& aLeft, const PartyShare& aRight) {
                        return aLeft.mAttainedSeconds > aRight.mAttainedSeconds;
                      });
    shares.resize(kMaxShares);
  }
  const size_t bytes =
    mGroup.Nodes().size() * (kReportBytes + kShareBytes * shares.size());
  if (!shares.empty()) {
    SendToService(UsageReport{ .mService = mUpstream.Last().mService,
                               .mShares = std::move(shares) },
                  aEffects);
  }
  return std::max(kUsageInterval,
                  FromSeconds(double(bytes) / kUsageBytesPerSecond));
}

} // namespace amaranthgap
