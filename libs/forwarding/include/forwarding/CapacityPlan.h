#pragma once

#include <array>
#include <cstdint>

#include "base/Time.h"
#include "forwarding/TreeLoad.h"

namespace amaranthgap {

/** Divides the capacity of one upstream among the priorities of the requests
 * that reach it, and tells which part of each priority it can take. Answers a
 * demand above the capacity: replies carry the part back to the entry nodes,
 * which refuse the rest before any work is done for it.
 *
 * Each request says at which part its entry node admitted it. The demand
 * before any refusal is known from that, so that the part does not depend on
 * how far requests are cut already and settles without swinging. Not safe for
 * use by several threads. */
class CapacityPlan
{
public:
  /** Part of the requests of a priority that is admitted at least, so that no
   * kind of request is starved and the end of an overload is noticed. */
  static constexpr double kMinShare = 0.1;

  /** @param aLimit requests that may run at once. */
  void SetLimit(uint32_t aLimit) { mLimit = aLimit; }

  /** Notes that a request asks for a slot.
   * @param aShare at which its entry node admitted it. */
  void Arrived(TimePoint aNow, uint32_t aPriority, double aShare);
  /** Notes that a request got its slot after a wait. */
  void Started(TimePoint aNow, uint32_t aPriority, Duration aWait);
  /** Notes that a request was refused for lack of a slot. */
  void Refused(TimePoint aNow, uint32_t aPriority);
  /** Notes that a running request ended.
   * @param aRun how long it ran; zero when that tells nothing. */
  void Ended(TimePoint aNow, uint32_t aPriority, Duration aRun);

  /** @return what the upstream can take of a priority; the share is at least
   * kMinShare. */
  TreeLoad Load(TimePoint aNow, uint32_t aPriority);
  /** @return the slots that the requests of a priority need which arrive, after
   * all refusals. */
  double AdmittedDemand(TimePoint aNow, uint32_t aPriority);

private:
  static constexpr size_t kRanks = 8; ///< Less important ones share the last.
  /** Run time of requests of which none has ended. */
  static constexpr double kUnknownRunSeconds = 0.05;

  struct Rank
  {
    double mArrivals = 0;     ///< Since the last step, before any refusal.
    double mRate = 0;         ///< Arrivals a second, smoothed.
    double mAdmitted = 0;     ///< Arrivals as they come, since the last step,
    double mAdmittedRate = 0; ///< and a second, smoothed.
    double mRunSeconds = kUnknownRunSeconds;
    bool mHasRun = false; ///< Whether one has ended.
    double mWaitSum = 0;  ///< Seconds, since the last step.
    uint32_t mWaits = 0;
    TreeLoad mLoad;
  };

  void Advance(TimePoint aNow);
  void Step(double aSeconds);
  /** @return how much longer requests run now than their mean tells. */
  [[nodiscard]] double Slowdown() const;
  void AdjustUse();
  Rank& At(uint32_t aPriority);

  uint32_t mLimit = 0;
  uint32_t mRunning = 0;
  std::array<Rank, kRanks> mRanks;
  double mUse = 1; ///< Correction of the capacity, by the waits seen.
  TimePoint mStepStart{};
  TimePoint mLastEvent{};
  double mBusySeconds = 0; ///< Slot seconds since the last step.
  double mEndRuns = 0;  ///< Mean run seconds of requests that ended since then.
  double mBusyRate = 0; ///< Smoothed over steps: slots in use,
  double mEndRunRate = 0; ///< and slots that the requests ending need.
};

} // namespace amaranthgap
