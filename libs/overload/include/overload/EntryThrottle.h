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
    double mRate = 0; ///< Calls per second, only while throttled.
    double mTokens = 0;
    TimePoint mTokenTime;
    TimePoint mHoldUntil; ///< Refusals until then are of calls sent before.
    TimePoint mLastReply;
    // The interval under way.
    TimePoint mBegin;
    Duration mLength{};
    uint32_t mArrived = 0;
    uint32_t mAdmitted = 0;
    uint32_t mAccepted = 0;
    uint32_t mRefused = 0;
    double mPressure = 0; ///< Sum over the replies.
    // Smoothed over about a second, in calls per second.
    double mDemand = 0;
    double mGoodput = 0;
  };

  /** What all parties heard of one class of a service. */
  struct View
  {
    TimePoint mPressed;
    TimePoint mRelaxed;
  };

  using ViewKey = std::tuple<std::string, std::string, uint32_t>;

  Stream& Touch(TimePoint aNow, const ThrottleKey& aKey);
  void CloseInterval(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream);
  void Cut(TimePoint aNow, Stream& aStream, double aSeconds);
  void Grow(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream);
  [[nodiscard]] Duration DrawLength();

  Rng mRng;
  std::map<ThrottleKey, Stream> mStreams;
  std::map<ViewKey, View> mViews;
};

} // namespace amaranthgap
