#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "idempotency/IssuedKey.h"
#include "node/Snapshots.h"
#include "overload/EntryThrottle.h"

namespace amaranthgap {

/** What a call waits for at its entry node. */
enum class EntryStage : uint8_t
{
  Calling,
  AskingGrant,
  AskingKey,
  AskingHolder, ///< A holder of the closing record of the key's incarnation.
  WaitingKey,   ///< Another child call with the same key asks for it.
};

/** What an issued key is asked for. */
enum class KeyPurpose : uint8_t
{
  Answer,   ///< To be attached to a refusal as not run.
  Prefetch, ///< The caller asked for it ahead of time.
  Child,    ///< For a child call, which goes on with it.
};

/** One call at its entry node. */
struct EntryCall
{
  CallerHandle mCaller;
  bool mIsChild = false;
  ExecutionId mParent;
  RequestId mRequest;
  NodeRef mRoot;
  std::string mCallerName;
  std::string mParty;
  std::string mService;
  std::string mRequestClass;
  uint32_t mImportance = 0;
  uint32_t mDepth = 1;
  bool mIdempotent = true;
  TimePoint mArrived;
  TimePoint mDeadline;
  std::string mChildKey; ///< As the upstream sent it.
  std::string mKey;      ///< Issued key.
  std::optional<IssuedKey> mIssued;
  uint64_t mFingerprint = 0;
  HttpRequest mHttp;
  ManifestPtr mManifest; ///< In force when the call arrived.

  CallId mId; ///< Of the present attempt.
  EntryStage mStage = EntryStage::Calling;
  KeyPurpose mPurpose = KeyPurpose::Answer;
  TimePoint mWake; ///< Deadline, or end of the present stage.
  NodeRef mTarget;
  std::string mTargetAddress;
  std::set<NodeId> mTried;
  uint32_t mAttempts = 0;
  uint32_t mKeyTries = 0;
  std::vector<MemberUpdate> mHolders; ///< Still to be asked, best one last.

  bool mMayHaveRun = false; ///< An earlier attempt may have run.
  bool mTargetEnding = false;
  bool mSuspect = false;
  bool mTouchedOnce = false;
  double mPressure = 0;
  Outcome mLastOutcome = Outcome::NotRun;
  Reason mLastReason = Reason::None;
  uint32_t mRetryAfterMs = 0;
  std::string mFreshKey; ///< In place of mKey, which did not run.

  [[nodiscard]] ThrottleKey Throttle() const
  {
    return { mService, mRequestClass, mParty, mImportance };
  }
};

/** Calls of one entry shard with their indices.
 * Not safe for use by several threads. */
class EntryCalls
{
public:
  /** Key of a child call as the upstream sent it, and the key issued for it. */
  struct ChildKey
  {
    std::string mIssued; ///< Empty while it is asked for.
    bool mSent = false;
    std::vector<CallId> mWaiting;
  };

  EntryCall& Add(EntryCall aCall);
  [[nodiscard]] EntryCall* Find(CallId aId);
  [[nodiscard]] EntryCall* FindByCaller(CallerHandle aCaller);
  /** Gives a call the id of its next attempt. The reference stays valid. */
  void Rename(EntryCall& aCall, CallId aId);
  void SetWake(EntryCall& aCall, TimePoint aWake);
  EntryCall Remove(CallId aId);

  /** @return calls whose wake time has come. */
  [[nodiscard]] std::vector<CallId> Due(TimePoint aNow) const;
  [[nodiscard]] std::vector<CallId> Ids() const;
  [[nodiscard]] std::vector<CallId> ChildrenOf(ExecutionId aParent) const;
  [[nodiscard]] size_t Size() const { return mCalls.size(); }

  ChildKey& KeyOf(const EntryCall& aCall);
  void ForgetKey(const EntryCall& aCall);
  void ForgetFamily(ExecutionId aParent) { mFamilies.erase(aParent); }

private:
  /** Child calls of one execution. */
  struct Family
  {
    std::set<CallerHandle> mCalls;
    std::map<std::string, ChildKey> mKeys;
  };

  std::unordered_map<CallId, std::unique_ptr<EntryCall>> mCalls;
  std::unordered_map<CallerHandle, CallId> mByCaller;
  std::set<std::pair<TimePoint, CallId>> mByWake;
  std::unordered_map<ExecutionId, Family> mFamilies;
};

} // namespace amaranthgap
