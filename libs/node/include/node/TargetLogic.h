#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/Rng.h"
#include "node/DuplicateFilter.h"
#include "node/Effects.h"
#include "node/Execution.h"
#include "node/KeyRegistry.h"
#include "node/ServiceGroup.h"
#include "node/Snapshots.h"
#include "node/UpstreamWatch.h"
#include "overload/AdmissionQueue.h"
#include "overload/ConcurrencyLimiter.h"
#include "overload/PartyUsage.h"
#include "quarantine/CrashCorrelator.h"

namespace amaranthgap {

/** State of the queue of a target. */
struct QueueView
{
  double mDrainRate = 0; ///< Calls per second; 0 when unknown.
  Duration mExpectedRun{};
  std::vector<PartyQueueState> mLines;
};

/** Target side of a node: admits calls to the upstream beside it, follows
 * their executions, and answers for its idempotency keys.
 * Not safe for use by several threads. */
class TargetLogic
{
public:
  struct Options
  {
    NodeRef mSelf;
    std::string mKeySecret;
    uint32_t mMaxUpstreamCalls = 256;
    uint64_t mSeed = 1;
    bool mPolicyOff = false;
  };

  explicit TargetLogic(Options aOptions);

  void SetSelf(const NodeRef& aSelf);
  void SetManifest(TimePoint aNow, const ManifestPtr& aManifest);
  void SetMembers(TimePoint aNow,
                  const MemberListPtr& aMembers,
                  Effects& aEffects);

  // -- Peers --

  void PeerCall(TimePoint aNow,
                const NodeRef& aFrom,
                const std::string& aAddress,
                CallMessage aCall,
                Effects& aEffects);
  void PeerCancel(TimePoint aNow,
                  const NodeRef& aFrom,
                  const CancelCall& aCancel,
                  Effects& aEffects);
  void KeyRequested(TimePoint aNow,
                    const NodeRef& aFrom,
                    const std::string& aAddress,
                    const KeyRequest& aRequest,
                    Effects& aEffects);
  void TransferArrived(TimePoint aNow,
                       const NodeRef& aFrom,
                       const std::string& aAddress,
                       const ClosingRecordTransfer& aTransfer,
                       Effects& aEffects);
  void CrashReported(TimePoint aNow, const CrashReport& aReport);
  void UsageReported(TimePoint aNow,
                     const NodeRef& aFrom,
                     const UsageReport& aReport);
  void PeerLost(TimePoint aNow, const NodeRef& aPeer, Effects& aEffects);

  // -- Upstream --

  void UpstreamAnnounced(TimePoint aNow,
                         const Announcement& aAnnouncement,
                         Effects& aEffects);
  void UpstreamAnswered(TimePoint aNow,
                        ExecutionId aExecution,
                        const HttpResponse& aResponse,
                        Effects& aEffects);
  void UpstreamFailed(TimePoint aNow,
                      ExecutionId aExecution,
                      UpstreamFailure aFailure,
                      Effects& aEffects);

  // -- Child calls --

  /** @return the execution that a context names, or nothing when it is not
   * running. */
  std::optional<ParentContext> ChildStarted(TimePoint aNow,
                                            const std::string& aContext,
                                            CallerHandle aChild);
  void ChildEnded(TimePoint aNow, const ChildOutcome& aOutcome);
  [[nodiscard]] bool IsRunning(ExecutionId aExecution) const;

  // -- Time and shutdown --

  void Tick(TimePoint aNow, Effects& aEffects);
  void DrainStarted(TimePoint aNow, Effects& aEffects);
  /** @return whether nothing runs or waits any more after DrainStarted and the
   * closing records are with their holders. */
  [[nodiscard]] bool IsDrained() const;

  [[nodiscard]] TargetLoad Load(TimePoint aNow) const;
  [[nodiscard]] QueueView Queue(TimePoint aNow) const;
  [[nodiscard]] const UpstreamWatch& Upstream() const { return mUpstream; }

private:
  /** How a call is refused or ended. */
  struct Verdict
  {
    Outcome mOutcome = Outcome::NotRun;
    Reason mReason = Reason::None;
    bool mSuspect = false;
    double mPressure = 0;
    Duration mRetryAfter{};
  };

  // -- Checks --
  void Refuse(TimePoint aNow,
              const ReplyAddress& aTo,
              const CallMessage& aCall,
              const Verdict& aVerdict,
              Effects& aEffects);
  /** @return whether the call was answered or joined by its key. */
  bool ServedByKey(TimePoint aNow,
                   const ReplyAddress& aTo,
                   const CallMessage& aCall,
                   std::optional<IssuedKey>& aIssued,
                   Effects& aEffects);
  void AnswerFromRecord(TimePoint aNow,
                        const ReplyAddress& aTo,
                        const CallMessage& aCall,
                        const IssuedKey& aIssued,
                        Effects& aEffects);
  /** Settles the key of a call that is answered as not run.
   * @return a fresh key, or an empty text when none is issued now. */
  std::string ReplaceKey(TimePoint aNow,
                         const CallMessage& aCall,
                         const Verdict& aVerdict);
  [[nodiscard]] Reason CheckUpstream(TimePoint aNow,
                                     const std::string& aService) const;
  [[nodiscard]] Verdict CheckCall(TimePoint aNow, const CallMessage& aCall);
  [[nodiscard]] bool IsDesignated(uint64_t aFingerprint) const;
  [[nodiscard]] bool IsFenced(const NodeRef& aNode) const;

  // -- Admission --
  void Admit(TimePoint aNow, Execution& aExecution, Effects& aEffects);
  void Enqueue(TimePoint aNow, Execution& aExecution, Effects& aEffects);
  void StartNext(TimePoint aNow, Effects& aEffects);
  /** @return whether the execution was started; else it waits or was refused.
   */
  bool TryStart(TimePoint aNow, Execution& aExecution, Effects& aEffects);
  void Start(TimePoint aNow, Execution& aExecution, Effects& aEffects);
  void Withdraw(TimePoint aNow,
                ExecutionId aExecution,
                const Verdict& aVerdict,
                Effects& aEffects);
  void FlushQueue(TimePoint aNow, Reason aReason, Effects& aEffects);
  [[nodiscard]] double DrainRate(TimePoint aNow) const;

  // -- End --
  void Cancel(TimePoint aNow, Execution& aExecution, Effects& aEffects);
  void Expire(TimePoint aNow, Execution& aExecution, Effects& aEffects);
  void Reply(TimePoint aNow,
             const Execution& aExecution,
             const Verdict& aVerdict,
             const HttpResponse& aHttp,
             Effects& aEffects);
  void SendReply(const ReplyAddress& aTo,
                 ReplyMessage aReply,
                 Effects& aEffects);
  void Remove(TimePoint aNow, ExecutionId aExecution, Effects& aEffects);
  void NoteFinished(TimePoint aNow,
                    const Execution& aExecution,
                    bool aShed,
                    bool aAnswered);
  void Forget(const Execution& aExecution);

  // -- Crashes --
  void Crashed(TimePoint aNow, Effects& aEffects);
  void SendToService(const Message& aMessage, Effects& aEffects);
  /** Brings the service group up to date, and tells nodes that are new in it
   * which requests are suspect or in quarantine. */
  void UpdateGroup(TimePoint aNow, Effects& aEffects);
  void PublishUpstream(TimePoint aNow, std::string aCause, Effects& aEffects);
  void NoteRegime(TimePoint aNow, Effects& aEffects);
  /** @return how long to wait until the next report. */
  Duration ReportUsage(TimePoint aNow, Effects& aEffects);

  Execution* Find(ExecutionId aExecution);
  void Step(const CallMessage& aCall,
            const NodeRef& aPeer,
            std::string_view aEvent,
            std::string aDetail,
            Effects& aEffects) const;

  Options mOptions;
  Rng mRng;
  ManifestPtr mManifest;
  MemberListPtr mMembers;
  ServiceGroup mGroup;
  DuplicateFilter mFilter;
  UpstreamWatch mUpstream;
  std::unique_ptr<ConcurrencyLimiter> mLimiter;
  std::unique_ptr<AdmissionQueue> mQueue;
  Duration mTargetDelay = milliseconds(50);
  PartyUsage mUsage;
  std::unique_ptr<CrashCorrelator> mCrashes;
  KeyRegistry mKeys;

  std::unordered_map<ExecutionId, std::unique_ptr<Execution>> mExecutions;
  std::unordered_map<std::string, ExecutionId> mByContext;
  std::map<std::pair<NodeRef, CallId>, ExecutionId> mByCall;
  std::set<std::pair<TimePoint, ExecutionId>> mByDeadline;
  std::set<ExecutionId> mRunning; ///< Holding a slot.
  std::deque<ExecutionId> mSuspectsWaiting;
  ExecutionId mActiveSuspect;
  uint64_t mLastExecution = 0;
  double mMeanRunSeconds = 0; ///< Of finished calls; 0 when unknown.
  LimitRegime mRegime = LimitRegime::WarmUp;
  TimePoint mNextUsage{};
  TimePoint mLastContended{}; ///< When a call last had to wait for a slot.
  TimePoint mNextExpiry{};
  bool mDraining = false;
  bool mClosed = false;
};

} // namespace amaranthgap
