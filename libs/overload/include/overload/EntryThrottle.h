#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/Rng.h"
#include "base/Time.h"

namespace amaranthgap {

/** Stream of calls that is throttled on its own. */
struct ThrottleKey
{
  std::string mService;
  std::string mRequestClass;
  std::string mParty;
  uint32_t mImportance = 0;

  auto operator<=>(const ThrottleKey&) const = default;
};

/** What the reply to one admitted call says of the load below. */
struct ThrottleSignal
{
  bool mRefused = false; ///< Not run because of overload, at any hop.
  double mPressure = 0;  ///< As in ReplyMessage.
  TimePoint mSent{};     ///< When the call was admitted; zero when not known.
};

/** Refuses calls at the entry node while a service below is overloaded; see
 * section 8.3 of the design page. Not safe for use by several threads. */
class EntryThrottle
{
public:
  explicit EntryThrottle(uint64_t aSeed);

  /** Counts one arrival. @return whether it may go on. */
  bool Admit(TimePoint aNow, const ThrottleKey& aKey);
  void Replied(TimePoint aNow,
               const ThrottleKey& aKey,
               const ThrottleSignal& aSignal);

  /** @return demand over accepted calls, at least 1. */
  [[nodiscard]] double DemandRatio(TimePoint aNow,
                                   const ThrottleKey& aKey) const;

  /** Drops streams without arrivals for a minute. */
  void Expire(TimePoint aNow);

private:
  struct Stream
  {
    TimePoint mLastArrival;
    bool mThrottled = false;
    double mBase = 0; ///< Calls per second at the intended pressure.
    double mRate = 0; ///< Calls per second now.
    double mTokens = 0;
    TimePoint mTokenTime;
    uint32_t mCalm = 0; ///< Steps in a row without pressure.
    // Calls without a reply, and how many of them were sent before the last
    // cut; their refusals say nothing of the rate since.
    uint32_t mOutstanding = 0;
    uint32_t mStale = 0;
    TimePoint mCut;
    uint32_t mUnproven = 0; ///< Calls sent before the last growth.
    TimePoint mLastReply;
    // The step under way.
    TimePoint mBegin;
    Duration mLength{};
    uint32_t mArrived = 0;
    // Since the refusals were last judged.
    TimePoint mJudged;
    uint32_t mAdmitted = 0;
    uint32_t mAccepted = 0;
    uint32_t mRefused = 0;
    // Smoothed over about a second, in calls per second.
    double mDemand = 0;
    double mGoodput = 0;
    double mKnown = 0;  ///< Goodput when the queue was last in use.
    uint32_t mGood = 0; ///< Accepted within the step.
  };

  /** Pressure that all parties met with one class of a service. */
  struct View
  {
    double mPressure = 0;
    TimePoint mTime;
    TimePoint mNewestSent; ///< Latest call that replied.
    bool mIsCalm = false;  ///< The latest replies met no pressure.
    TimePoint mCalmSince;
    TimePoint mBegin;
    double mSum = 0;
    uint32_t mCount = 0;
  };

  using ViewKey = std::tuple<std::string, std::string, uint32_t>;

  Stream& Touch(TimePoint aNow, const ThrottleKey& aKey);
  void Step(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream);
  void JudgeRefusals(TimePoint aNow, Stream& aStream);
  static void GrowCalmly(Stream& aStream);
  void Adjust(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream);
  [[nodiscard]] Duration DrawLength();

  Rng mRng;
  std::map<ThrottleKey, Stream> mStreams;
  std::map<ViewKey, View> mViews;
};

} // namespace amaranthgap
