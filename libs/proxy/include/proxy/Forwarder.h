#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/Logger.h"
#include "base/MemoryAccount.h"
#include "base/Rng.h"
#include "forwarding/AllowanceLedger.h"
#include "forwarding/EntryAdmission.h"
#include "forwarding/RetryPolicy.h"
#include "forwarding/RouteTable.h"
#include "forwarding/TargetPicker.h"
#include "overload/RetryTokenBucket.h"
#include "proxy/Binding.h"
#include "proxy/CallerSide.h"

namespace amaranthgap {

/** Counts since the start of the process. */
struct ForwarderCounts
{
  uint64_t mRequests = 0;
  uint64_t mAnswered = 0;
  uint64_t mRefused = 0; ///< Not run.
  uint64_t mFailed = 0;  ///< May have run.
  uint64_t mThrottled = 0;
  uint64_t mQuarantined = 0; ///< Known to crash upstreams.
  uint64_t mRetries = 0;
  uint64_t mRedirects = 0;
  uint64_t mCancelled = 0;
  uint64_t mNoMemory = 0; ///< Refused because the process held too much.
  uint64_t mUnauthorized = 0;
  uint64_t mOverAllowance = 0;
};

/** Entry side of a node: finds the route of each request, chooses targets, and
 * gives each request exactly one answer. Not safe for use by several threads.
 */
class Forwarder
{
public:
  struct Options
  {
    std::string mService; ///< Of the upstream beside this node.
    HeaderNames mHeaders;
    TargetPicker::Options mPicker;
    uint64_t mSeed = 1;
    std::shared_ptr<MemoryAccount> mAccount; ///< Of the whole process.
  };

  /** What the entry side uses. */
  struct Outlets
  {
    std::function<void(RequestHandle, HttpResponse)> mAnswer;
    /** Sends an attempt to a node. @return a number for mCancel. */
    std::function<uint64_t(TimePoint,
                           const std::string&,
                           ForwardRequest,
                           std::function<void(ForwardReply)>)>
      mSend;
    std::function<void(TimePoint, const std::string&, uint64_t)> mCancel;
    /** @return the request that made this one, by the id of this one; null
     * unless that request runs on the upstream beside this node. */
    std::function<const ForwardRequest*(std::string_view)> mParent;
    /** @return the time for which such a request is refused because it crashes
     * the upstreams of its service; zero if it is not. */
    std::function<Duration(TimePoint, const ForwardRequest&)> mQuarantineLeft;
    /** Takes what the targets of a nested request can take, by the kind of the
     * request that made it. */
    std::function<void(TimePoint, const CallKind&, const TreeLoad&)> mLoadBelow;
  };

  Forwarder(Logger& aLogger, Options aOptions, Outlets aOutlets);
  ~Forwarder();

  void SetRoutes(TimePoint aNow, RouteTablePtr aRoutes);
  void SetService(const std::string& aService) { mOptions.mService = aService; }
  TargetPicker& Targets() { return mPicker; }
  AllowanceLedger& Allowances() { return mAllowances; }
  /** Takes the load that a node told of itself. */
  void LoadTold(TimePoint aNow,
                const std::string& aNode,
                const LoadReport& aReport);

  void RequestArrived(TimePoint aNow,
                      RequestHandle aHandle,
                      HttpRequest aRequest);
  void CallerGone(TimePoint aNow, RequestHandle aHandle);
  /** Answers what is out of time. */
  void Tick(TimePoint aNow);
  /** Refuses new requests from now on. */
  void StopWork() { mStopped = true; }
  /** Gives up what is in flight, as the process ends. */
  void EndAll(TimePoint aNow);

  [[nodiscard]] size_t InFlight() const { return mCalls.size(); }
  [[nodiscard]] const ForwarderCounts& Counts() const { return mCounts; }

private:
  struct Call;

  void Refuse(RequestHandle aHandle, int aStatus);
  /** Finds the customer of a first request by its key, and applies its
   * priority.
   * @return whether the request may be sent by its sender. */
  bool IdentifyCustomer(Call& aCall) const;
  /** @return whether the key of a request still belongs to its customer. */
  [[nodiscard]] bool IsKeyValid(const Call& aCall) const;
  /** Decides whether a first request goes on: by the allowance of its customer
   * and by load.
   * @return why it does not. */
  AttemptReason AdmitFirst(TimePoint aNow, Call& aCall);
  RetryTokenBucket& RetriesOf(const std::string& aService);
  /** Lets a call of a running request inherit what was decided for that. */
  static void InheritFrom(const ForwardRequest& aParent, Call& aCall);
  /** @return whether the request has what every request must have. */
  bool ReadCall(TimePoint aNow, Call& aCall, HttpRequest& aRequest);
  std::optional<TargetPicker::Choice> ChooseTarget(TimePoint aNow,
                                                   const Call& aCall);
  void Attempt(TimePoint aNow, Call& aCall);
  void AttemptEnded(TimePoint aNow, Call& aCall, ForwardReply aReply);
  void NoteReply(TimePoint aNow, const Call& aCall, const ForwardReply& aReply);
  void NoteNeed(TimePoint aNow, const Call& aCall, const ForwardReply& aReply);
  /** @return the seconds after which the caller of a refused request may come
   * back; nothing if it did not say how long it waits. */
  std::optional<double> ReturnTime(TimePoint aNow,
                                   const Call& aCall,
                                   AttemptReason aReason);
  void GiveUp(TimePoint aNow, Call& aCall, AttemptReason aReason);
  /** As GiveUp(), and cancels the attempt under way. */
  void Abandon(TimePoint aNow, Call& aCall, AttemptReason aReason);
  void Answer(Call& aCall, HttpResponse aResponse);
  void Remove(Call& aCall);
  void LogEnd(TimePoint aNow,
              const Call& aCall,
              AttemptReason aReason,
              int aStatus);

  Logger& mLogger;
  Options mOptions;
  Outlets mOutlets;
  Rng mRng;
  RouteTablePtr mRoutes;
  ServiceChooser mShares;
  TargetPicker mPicker;
  EntryAdmission mAdmission;
  AllowanceLedger mAllowances;
  std::map<std::string, RetryTokenBucket> mRetries; ///< By service.
  std::map<std::string, RequestProfile> mNeeds;     ///< Smoothed, by route.
  ForwarderCounts mCounts;
  bool mStopped = false;
  std::map<RequestHandle, std::unique_ptr<Call>> mCalls;
  std::set<std::pair<TimePoint, RequestHandle>> mByDeadline;
};

} // namespace amaranthgap
