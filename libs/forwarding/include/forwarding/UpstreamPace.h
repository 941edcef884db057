#pragma once

#include <cstdint>

#include "base/Time.h"

namespace amaranthgap {

/** Limits the requests that run at once at an upstream that has just started or
 * recovered, and raises the limit as its answers come in time.
 *
 * Load: entry nodes send an upstream that is back as much as any other one,
 * while it is several times slower than usual; what runs there is late, and
 * what waits there as well. A fixed time of caution leaves a fast one idle. The
 * measure is what callers need: a request is in time if it ran within most of
 * its latency target. Each one in time adds a slot, which doubles the limit
 * about once in a run time; a late one takes a part away, at most once in a run
 * time. Not thread-safe. */
class UpstreamPace
{
public:
  /** Begins to pace.
   * @param aSlots of the upstream. */
  void Start(TimePoint aNow, uint32_t aSlots);
  /** Takes the end of a request that ran.
   * @param aRun time that it ran.
   * @param aLatencyTarget of the request.
   * @param aIsGood whether it was answered without a failure. */
  void Ended(TimePoint aNow,
             Duration aRun,
             Duration aLatencyTarget,
             bool aIsGood);
  /** Ends the pace when it has lasted for long. */
  void Tick(TimePoint aNow);

  [[nodiscard]] bool IsPacing() const { return mIsPacing; }
  /** @return the slots of aSlots that may be used. */
  [[nodiscard]] uint32_t SlotsOf(uint32_t aSlots) const;

private:
  bool mIsPacing = false;
  double mLimit = 0; ///< Requests that may run at once.
  uint32_t mSlots = 0;
  TimePoint mStarted{};
  TimePoint mReduced{}; ///< When the limit was last reduced.
};

} // namespace amaranthgap
