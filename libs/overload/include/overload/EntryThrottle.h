#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/Rng.h"
#include "base/Time.h"

namespace amaranthgap {

/** Identifies a stream of calls that has its own throttle rate. */
struct ThrottleKey
{
  std::string mService;
  std::string mRequestClass;
  std::string mParty;
  uint32_t mImportance = 0;

  auto operator<=>(const ThrottleKey&) const = default;
};

/** Load of the called service as reported by the reply to an admitted call. */
struct ThrottleSignal
{
  bool mRefused = false; ///< Refused for overload at any hop.
  double mPressure = 0;  ///< From 0 to 1, as in ReplyMessage.
  TimePoint mSent{};     ///< Time of admission; zero when unknown.
};

/** Refuses calls at the entry node while a called service is overloaded; see
 * section 8.3 of the design page. Not thread-safe. */
class EntryThrottle
{
public:
  explicit EntryThrottle(uint64_t aSeed);

  /** Counts the arrival of a call. @return whether the call is admitted. */
  bool Admit(TimePoint aNow, const ThrottleKey& aKey);
  /** Records the reply to an admitted call. */
  void Replied(TimePoint aNow,
               const ThrottleKey& aKey,
               const ThrottleSignal& aSignal);

  /** @return demand over accepted calls, at least 1. */
  [[nodiscard]] double DemandRatio(TimePoint aNow,
                                   const ThrottleKey& aKey) const;

  /** Removes streams and pressure estimates without calls for a minute. */
  void Expire(TimePoint aNow);

private:
  struct Stream
  {
    TimePoint mLastArrival;
    bool mThrottled = false;
    double mBaseRate = 0; ///< Calls per second at kTargetPressure.
    double mRate = 0;     ///< Current calls per second.
    double mTokens = 0;
    TimePoint mTokenTime;
    uint32_t mPressureFreeIntervals = 0; ///< In a row.
    // Calls without a reply, and how many of them were admitted before the last
    // rate cut. Refusals of the latter do not concern the current rate.
    uint32_t mOutstanding = 0;
    uint32_t mStaleOutstanding = 0;
    TimePoint mLastCut;
    // Calls without a reply that were admitted before the last increase.
    uint32_t mOutstandingAtGrowth = 0;
    TimePoint mLastReply;
    // Current control interval.
    TimePoint mIntervalStart;
    Duration mIntervalLength{};
    uint32_t mArrived = 0;
    // Since the last evaluation of refusals; without replies to calls admitted
    // before the last cut.
    TimePoint mLastEvaluation;
    uint32_t mAdmitted = 0;
    uint32_t mAccepted = 0;
    uint32_t mRefused = 0;
    // Moving averages in calls per second, over 1 s for the demand and 0.3 to
    // 8 s for the goodput.
    double mDemand = 0;
    double mGoodput = 0;
    double mKnownCapacity = 0; ///< Base rate when there last was pressure.
    uint32_t mAcceptedInInterval = 0;
  };

  /** Pressure at one request class of a service, over all parties. */
  struct PressureEstimate
  {
    double mPressure = 0;
    TimePoint mTime;
    TimePoint mNewestSent;        ///< Latest admission of a replied call.
    bool mIsPressureFree = false; ///< In the last interval.
    TimePoint mPressureFreeSince;
    TimePoint mIntervalStart;
    double mSum = 0;
    uint32_t mCount = 0;
  };

  /** Service, request class and importance. */
  using PressureKey = std::tuple<std::string, std::string, uint32_t>;

  /** Finds or creates the stream. Evaluates its refusals and ends its control
   * interval when these are due. */
  Stream& AdvanceStream(TimePoint aNow, const ThrottleKey& aKey);
  void FinishInterval(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream);
  void EvaluateRefusals(TimePoint aNow, Stream& aStream);
  /** Increases the base rate after some intervals without pressure. */
  static void GrowWithoutPressure(Stream& aStream);
  void AdjustRate(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream);
  [[nodiscard]] Duration DrawIntervalLength();

  Rng mRng;
  std::map<ThrottleKey, Stream> mStreams;
  std::map<PressureKey, PressureEstimate> mPressureEstimates;
};

} // namespace amaranthgap
