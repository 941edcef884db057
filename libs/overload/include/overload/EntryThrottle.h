#pragma once

#include <cstdint>
#include <string>

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
};

} // namespace amaranthgap
