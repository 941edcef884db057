#pragma once

#include <atomic>

#include "base/Rng.h"
#include "node/Effects.h"
#include "node/EntryCall.h"
#include "node/EntryRoutes.h"
#include "node/Snapshots.h"
#include "overload/EntryThrottle.h"

namespace amaranthgap {

/** Facts of a live execution, which its child calls inherit. */
struct ParentContext
{
  ExecutionId mExecution;
  RequestId mRequest;
  NodeRef mRoot;
  std::string mCaller;
  std::string mParty;
  uint32_t mImportance = 0;
  uint32_t mDepth = 0;
  bool mIdempotent = true;
  TimePoint mDeadline;
};

/** Numbers that the entry shards of one node have in common. */
struct EntryShared
{
  /** Call ids rise over all shards, as DuplicateFilter requires. */
  std::atomic<uint64_t> mLastCall{ 0 };
  std::atomic<uint32_t> mExternalCalls{ 0 };
};

/** Entry side of a node for a shard of the services: checks requests, chooses
 * targets, asks for retry grants and idempotency keys, and gives each caller
 * exactly one answer. Not safe for use by several threads. */
class EntryLogic
{
public:
  struct Options
  {
    NodeRef mSelf;
    std::string mRegion;
    std::string mDataCentre;
    std::string mKeySecret;
    uint32_t mShard = 0;
    uint32_t mShards = 1;
    uint32_t mMaxExternalCalls = 512;
    uint64_t mSeed = 1;
    bool mPolicyOff = false;
    EntryShared* mShared = nullptr; ///< Outlives the shard.
  };

  explicit EntryLogic(Options aOptions);

  void SetSelf(const NodeRef& aSelf) { mOptions.mSelf = aSelf; }
  void SetManifest(TimePoint aNow, const ManifestPtr& aManifest);
  /** Ends calls at targets that are no longer there. */
  void SetMembers(TimePoint aNow,
                  const MemberListPtr& aMembers,
                  Effects& aEffects);

  // -- Callers --

  void CallArrived(TimePoint aNow, CallerCall aCall, Effects& aEffects);
  void ChildArrived(TimePoint aNow,
                    CallerCall aCall,
                    const ParentContext& aParent,
                    Effects& aEffects);
  void KeyRequested(TimePoint aNow,
                    const CallerKeyRequest& aRequest,
                    Effects& aEffects);
  void CallerGone(TimePoint aNow, CallerHandle aCaller, Effects& aEffects);
  /** Cancels the child calls of an execution that is over. */
  void ExecutionIsOver(TimePoint aNow,
                       ExecutionId aExecution,
                       Effects& aEffects);

  // -- Peers --

  void ReplyArrived(TimePoint aNow,
                    const NodeRef& aFrom,
                    ReplyMessage aReply,
                    Effects& aEffects);
  void GrantArrived(TimePoint aNow,
                    const NodeRef& aFrom,
                    const RetryGrant& aGrant,
                    Effects& aEffects);
  void KeyArrived(TimePoint aNow,
                  const NodeRef& aFrom,
                  const KeyIssued& aIssued,
                  Effects& aEffects);
  void PeerLost(TimePoint aNow,
                const NodeRef& aPeer,
                bool aNeverSent,
                Effects& aEffects);

  void DrainStarted() { mDraining = true; }
  void Tick(TimePoint aNow, Effects& aEffects);
  [[nodiscard]] size_t InFlight() const { return mCalls.Size(); }

private:
  // -- Arrival --
  [[nodiscard]] CallId NextId();
  void Refuse(TimePoint aNow,
              const CallerCall& aCall,
              Reason aReason,
              Effects& aEffects);
  [[nodiscard]] Reason CheckExternal(const CallerCall& aCall) const;
  [[nodiscard]] EntryCall MakeCall(TimePoint aNow, CallerCall aCall);
  void Begin(TimePoint aNow, EntryCall& aCall, Effects& aEffects);

  // -- Attempts --
  void FirstAttempt(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void SendCall(TimePoint aNow,
                EntryCall& aCall,
                const NodeRef& aTarget,
                const std::string& aAddress,
                Effects& aEffects);
  void AttemptEnded(TimePoint aNow,
                    EntryCall& aCall,
                    Outcome aOutcome,
                    Reason aReason,
                    Effects& aEffects);
  [[nodiscard]] bool MayRetry(TimePoint aNow, const EntryCall& aCall);
  void AskGrant(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void Retry(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void GiveUp(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void NoteReply(TimePoint aNow, EntryCall& aCall, const ReplyMessage& aReply);
  void TargetLost(TimePoint aNow,
                  EntryCall& aCall,
                  bool aNeverSent,
                  Effects& aEffects);
  /** Tells the target of the present attempt to stop it. */
  void CancelAttempt(TimePoint aNow, const EntryCall& aCall, Effects& aEffects);
  void Cancel(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void Woken(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void Expired(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void Finish(TimePoint aNow,
              EntryCall& aCall,
              AnswerCaller aAnswer,
              Effects& aEffects);

  // -- Keys --
  void BeginKeyed(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void BeginChildKeyed(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void SendKeyed(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void AskKey(TimePoint aNow,
              EntryCall& aCall,
              KeyPurpose aPurpose,
              Effects& aEffects);
  void KeyFailed(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void GotKey(TimePoint aNow,
              EntryCall& aCall,
              const std::string& aKey,
              Effects& aEffects);
  void WakeKeyWaiters(TimePoint aNow,
                      const EntryCall& aCall,
                      Effects& aEffects);
  void AskHolders(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void AskNextHolder(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  void HolderReplied(TimePoint aNow,
                     EntryCall& aCall,
                     ReplyMessage aReply,
                     Effects& aEffects);
  void KeyedEnded(TimePoint aNow, EntryCall& aCall, Effects& aEffects);
  [[nodiscard]] bool IsUnsureOfKey(const EntryCall& aCall);

  void Step(const EntryCall& aCall,
            std::string_view aEvent,
            std::string aDetail,
            Effects& aEffects) const;

  Options mOptions;
  Rng mRng;
  EntryCalls mCalls;
  EntryRoutes mRoutes;
  EntryThrottle mThrottle;
  ManifestPtr mManifest;
  MemberListPtr mMembers;
  TimePoint mNextExpiry{};
  bool mDraining = false;
};

} // namespace amaranthgap
