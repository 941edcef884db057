#pragma once

#include <cstdint>
#include <map>

#include "base/EnumNames.h"
#include "base/Time.h"

namespace amaranthgap {

enum class LimitRegime : uint8_t
{
  WarmUp,
  Steady,
  ProbeDown, ///< Half the limit for one window, to tell queueing from slowness.
  ProbeUp,   ///< A tenth more, kept when the own time holds.
};

template<>
struct EnumNames<LimitRegime>
{
  static constexpr std::array kNames{
    std::pair{ LimitRegime::WarmUp, std::string_view{ "warm-up" } },
    std::pair{ LimitRegime::Steady, std::string_view{ "steady" } },
    std::pair{ LimitRegime::ProbeDown, std::string_view{ "probe-down" } },
    std::pair{ LimitRegime::ProbeUp, std::string_view{ "probe-up" } },
  };
};

/** One finished call to the upstream. */
struct CallSample
{
  uint64_t mClass = 0; ///< Hash of the request class.
  TimePoint mStarted;
  Duration mOwnTime{}; ///< Latency less the time covered by child calls.
  bool mShed = false;  ///< The upstream itself refused for overload.
};

/** Adaptive limit of concurrent calls to one upstream; see section 8.1 of the
 * design page. Not safe for use by several threads. */
class ConcurrencyLimiter
{
public:
  struct Options
  {
    uint32_t mSlots = 1;     ///< As announced.
    uint32_t mMaximum = 256; ///< Upper bound besides four times the slots.
    Duration mWarmUp{};
    TimePoint mStart;
  };

  explicit ConcurrencyLimiter(const Options& aOptions);

  /** @return how many calls may be in flight now, at least 1. */
  [[nodiscard]] uint32_t Limit(TimePoint aNow) const;
  [[nodiscard]] LimitRegime Regime(TimePoint aNow) const;

  /** @param aInFlight calls in flight including the new one.
   * @param aWaiting whether other calls wait for a slot. */
  void Started(TimePoint aNow, uint32_t aInFlight, bool aWaiting);
  void Finished(TimePoint aNow, const CallSample& aSample);

  // The implementation's private state follows.
};

} // namespace amaranthgap
