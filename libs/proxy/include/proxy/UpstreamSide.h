#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Logger.h"
#include "base/MemoryAccount.h"
#include "forwarding/CallKindStats.h"
#include "forwarding/CapacityPlan.h"
#include "forwarding/NoticeTracker.h"
#include "forwarding/TreeLoad.h"
#include "forwarding/UpstreamLimiter.h"
#include "forwarding/UpstreamPace.h"
#include "http/ClientConnection.h"
#include "net/EventLoop.h"
#include "proxy/Binding.h"
#include "proxy/CrashDetector.h"
#include "proxy/CrashExchange.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** The way to the one upstream beside a node: admits attempts at its gate,
 * runs them over a pool of connections, and judges the responses. Not safe for
 * use by several threads. */
class UpstreamSide
{
public:
  struct Options
  {
    std::string mAddress;
    HeaderNames mHeaders;
    std::function<AnswerNotice(const HttpHeaders&)> mReadNotice;
    std::shared_ptr<MemoryAccount> mAccount; ///< Of the whole process.
    /** Whether an upstream that has just started or recovered is paced. */
    bool mPacesStart = false;
  };

  using Done = std::function<void(ForwardReply)>;

  /** @param aCrashes outlives this object. */
  UpstreamSide(EventLoop& aLoop,
               Logger& aLogger,
               CrashExchange& aCrashes,
               Options aOptions);
  ~UpstreamSide();

  /** Takes over the newest report.
   * @param aTakesWork false once the upstream is leaving. */
  void SetReport(TimePoint aNow,
                 const UpstreamReport& aReport,
                 bool aTakesWork);
  /** Takes what the upstream told another node before this one started. */
  void ReturnNotice(TimePoint aNow, const UpstreamNotice& aNotice);
  /** Refuses new attempts from now on; those under way go on. */
  void StopWork();

  /** Runs one attempt; aDone is called once, never from within this call.
   * @return a number for Cancel. */
  ExecutionId Run(TimePoint aNow, ForwardRequest aRequest, Done aDone);
  /** The caller is gone; aDone is not called. An attempt that must not run
   * twice goes on once it was sent. */
  void Cancel(TimePoint aNow, ExecutionId aExecution);
  /** Ends what is overdue. */
  void Tick(TimePoint aNow);

  /** @return the request under way with that id, or null. */
  [[nodiscard]] const ForwardRequest* Find(const std::string& aRequestId) const;
  /** Notes what the targets of a call can take.
   * @param aParent the request that made the call. */
  void NoteLoadBelow(TimePoint aNow,
                     const CallKind& aParent,
                     const TreeLoad& aLoad);

  /** @return the kinds of first requests whose load others have to know. */
  LoadReport Report(TimePoint aNow);

  [[nodiscard]] bool TakesWork() const { return mTakesWork && !mIsDown; }
  [[nodiscard]] uint32_t Limit() const { return mGate.Limit(); }
  [[nodiscard]] const std::string& Service() const { return mService; }
  [[nodiscard]] const std::string& Instance() const
  {
    return mNotices.Instance();
  }
  /** @return what the upstream told that restricts its use, if anything. */
  [[nodiscard]] std::optional<UpstreamNotice> Notice() const
  {
    return mNotices.Current(mGate.Rate());
  }
  [[nodiscard]] size_t InFlight() const { return mAttempts.size(); }
  /** @return the load of the gate, for a reply to an attempt that was not read.
   */
  [[nodiscard]] GateLoad GateState() const;
  /** @return the bytes of memory that incomplete responses take. */
  [[nodiscard]] size_t ResponseBytes() const;
  /** @return the highest value of ResponseBytes() so far. */
  [[nodiscard]] size_t PeakResponseBytes() const { return mPeakResponseBytes; }
  /** @return the attempts that were sent to the upstream so far. */
  [[nodiscard]] uint64_t SentCount() const { return mSentCount; }
  /** @return the rate limit that the upstream names, in requests per second. */
  [[nodiscard]] std::optional<double> RateLimit() const
  {
    return mGate.Rate().PerSecond();
  }
  /** Called when an answer says that the upstream leaves. Takes the instance
   * and the start of its run. */
  void OnLeaving(std::function<void(const std::string&, int64_t)> aCallback)
  {
    mOnLeaving = std::move(aCallback);
  }
  /** Called when TakesWork() or the instance changes. */
  void OnChange(std::function<void()> aCallback)
  {
    mOnChange = std::move(aCallback);
  }

private:
  struct Attempt;

  /** What the end of a run tells of the upstream. */
  enum class RunEnd : uint8_t
  {
    Good,
    Failed,  ///< It was answered by a failure, or too late.
    Nothing, ///< Its caller left, or nothing is known of it.
  };

  void Start(TimePoint aNow, Attempt& aAttempt);
  void StartNext(TimePoint aNow);
  /** Ends the longest incomplete responses when all together take too much
   * memory. Called as they grow: an upstream on the same host sends more than a
   * host has between two ticks. */
  void LimitResponses(TimePoint aNow);
  /** @return the most memory that all incomplete responses may take. */
  [[nodiscard]] size_t MaxResponseBytes() const;
  void Answered(ExecutionId aExecution,
                ExchangeEnd aEnd,
                ReceivedResponse aResponse);
  [[nodiscard]] static RunEnd EndOf(const ForwardReply& aReply);
  /** Takes what an answer says of the upstream itself.
   * @param aHasRun whether the upstream ran the request. */
  void NoteAnswer(TimePoint aNow, const AnswerNotice& aNotice, bool aHasRun);
  void Refuse(ExecutionId aExecution, AttemptReason aReason);
  /** @return whether a request was admitted for the run that now takes work. */
  [[nodiscard]] bool IsForCurrentRun(const ForwardRequest& aRequest) const;
  /** Refuses what waits at the gate. */
  void RefuseWaiting(AttemptReason aReason);
  /** Ends what was admitted for a run that has been replaced. What was not sent
   * to it, as it waits at the gate or for a connection, has not run. */
  void EndAttempts(TimePoint aNow);
  void Finish(ExecutionId aExecution, ForwardReply aReply);
  void SetDown(const char* aReason);
  /** Applies the slots of the upstream and its pace to the gate. */
  void ApplySlots();
  /** Begins to pace an upstream that is back. */
  void StartPace(TimePoint aNow, Duration aColdRemaining);
  /** Ends a pace that has lasted for long. */
  void TickPace(TimePoint aNow);
  /** Logs and announces the end of a pace. */
  void PaceEnded(TimePoint aNow);
  /** Notes a run that ended without an answer. */
  void NoteLostRun(TimePoint aNow, const Attempt& aAttempt);
  [[nodiscard]] static CrashedRun CrashedRunOf(TimePoint aNow,
                                               const Attempt& aAttempt);
  /** @return what was in flight when the upstream crashed. */
  std::vector<CrashedRun> TakeCrashedRuns(TimePoint aNow, CrashSign aSign);
  void Crashed(TimePoint aNow, CrashSign aSign);
  /** @return why a request must not run now because of earlier crashes. */
  [[nodiscard]] AttemptReason ReasonToHold(TimePoint aNow,
                                           const Attempt& aAttempt) const;
  /** @return why a trial of a suspect must not run now. */
  [[nodiscard]] AttemptReason ReasonToHoldTrial(const Attempt& aAttempt) const;
  std::unique_ptr<ClientConnection> TakeConnection(TimePoint aNow);
  /** Logs what the upstream cannot take, once a second. */
  void LogOverload(TimePoint aNow);
  /** Logs what is sent to an upstream with a rate limit, once a second. */
  void LogRate(TimePoint aNow);
  /** Notes that a running attempt holds its slot no more. */
  void FreeSlot(TimePoint aNow, Attempt& aAttempt, RunEnd aEnd);
  /** @return what the upstream and those below it can take of a kind. */
  [[nodiscard]] TreeLoad LoadOf(TimePoint aNow, const CallKind& aKind);
  /** @return the load as such a request meets it. */
  [[nodiscard]] GateLoad Load(TimePoint aNow, const ForwardRequest& aRequest);

  EventLoop& mLoop;
  Logger& mLogger;
  CrashExchange& mCrashes;
  Options mOptions;
  UpstreamLimiter mGate;
  CapacityPlan mPlan;
  UpstreamPace mPace;
  std::string mService;
  NoticeTracker mNotices;
  MemoryAccount::Share mResponses; ///< Incomplete ones.
  CrashDetector mCrashDetector;
  uint32_t mTrialCount = 0; ///< Running attempts on probation.
  bool mTakesWork = false;
  bool mIsDown = false; ///< Seen by its connections, until its next report.
  bool mStopped = false;
  uint32_t mSlots = 0;
  TimePoint mOverloadLogged{};
  uint64_t mSentCount = 0;
  size_t mPeakResponseBytes = 0;
  TimePoint mRateLogged{};
  uint64_t mSentAtRateLog = 0;
  uint64_t mLastId = 0;
  std::unordered_map<ExecutionId, std::unique_ptr<Attempt>> mAttempts;
  std::multimap<TimePoint, ExecutionId> mByDeadline;
  std::unordered_map<std::string, ExecutionId> mByRequest;
  std::vector<std::unique_ptr<ClientConnection>> mIdle;
  std::map<CallKind, SmoothedLoad> mLoadsBelow; ///< Of the calls they make.
  CallKindStats mKinds;
  std::set<CallKind> mFirstKinds; ///< Those that callers send, not upstreams.
  std::function<void(const std::string&, int64_t)> mOnLeaving;
  std::function<void()> mOnChange;
};

} // namespace amaranthgap
