#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "base/Time.h"
#include "forwarding/TreeLoad.h"

namespace amaranthgap {

/** Divides the capacity of one upstream among request priorities and computes
 * the share of each priority that it can serve. Replies carry this share to the
 * entry nodes, which refuse the excess before any work is done for it.
 *
 * Each request carries the share at which its entry node admitted it. The plan
 * derives the demand before refusals from it, so that the result does not
 * depend on the shares in force and does not oscillate. Not thread-safe. */
class CapacityPlan
{
public:
  /** Minimum admitted share of each priority. It prevents starvation, and the
   * remaining requests show when an overload ends. */
  static constexpr double kMinShare = 0.1;

  /** @param aLimit maximum number of concurrent requests; 0 while the upstream
   * takes no work. */
  void SetLimit(uint32_t aLimit) { mLimit = aLimit; }

  /** @param aPerSecond maximum rate of requests; empty for none. */
  void SetRateLimit(std::optional<double> aPerSecond)
  {
    mRateLimit = aPerSecond;
  }

  /** Records the arrival of a request that needs a slot.
   * @param aShare admission share applied by its entry node. */
  void Arrived(TimePoint aNow, uint32_t aPriority, double aShare);
  /** Records that a request got a slot.
   * @param aWait time it waited in the queue. */
  void Started(TimePoint aNow, uint32_t aPriority, Duration aWait);
  /** Records that a request was refused because no slot was free in time. */
  void Refused(TimePoint aNow, uint32_t aPriority);
  /** Records the end of a running request.
   * @param aRun run time; zero if it is not representative. */
  void Ended(TimePoint aNow, uint32_t aPriority, Duration aRun);

  /** @return the load of the upstream for a priority; its share is at least
   * kMinShare, and its failure ratio is not set. */
  TreeLoad Load(TimePoint aNow, uint32_t aPriority);
  /** @return the mean number of slots that the arriving requests of a priority
   * need, after refusals by the entry nodes. */
  double AdmittedDemand(TimePoint aNow, uint32_t aPriority);

private:
  /** Lower priorities share the last class. */
  static constexpr size_t kPriorityClasses = 8;
  /** Run time assumed until the first request of a priority ends. */
  static constexpr double kInitialRunSeconds = 0.05;

  struct PriorityState
  {
    double mArrivals = 0;     ///< Demand in this interval, before any refusal.
    double mRate = 0;         ///< Demand in requests per second, smoothed.
    double mAdmitted = 0;     ///< Arrivals in this interval, after refusals.
    double mAdmittedRate = 0; ///< Arrivals per second, smoothed.
    double mRunSeconds = kInitialRunSeconds;
    bool mHasRun = false; ///< Whether a run time has been recorded.
    double mWaitSum = 0;  ///< Seconds, in this interval.
    uint32_t mWaits = 0;
    TreeLoad mLoad;
  };

  /** Something that requests need, by priority: slots, or a part of a rate. */
  using Amounts = std::array<double, kPriorityClasses>;

  /** Divides a capacity among the priorities.
   * @param aWanted amount that each of them needs.
   * @return the load of each; the failure ratio is not set. */
  static std::array<TreeLoad, kPriorityClasses> Divide(const Amounts& aWanted,
                                                       double aCapacity);
  void Advance(TimePoint aNow);
  void Update(double aSeconds);
  /** @return the ratio of the current run time to the mean run time, at least
   * 1; 1 while the upstream is not saturated. */
  [[nodiscard]] double Slowdown() const;
  void AdjustCapacityFactor();
  PriorityState& StateOf(uint32_t aPriority);

  uint32_t mLimit = 0;
  std::optional<double> mRateLimit; ///< Requests per second.
  uint32_t mRunning = 0;
  std::array<PriorityState, kPriorityClasses> mStates;
  double mCapacityFactor = 1; ///< Correction by the queue waits.
  TimePoint mIntervalStart{};
  TimePoint mLastEvent{};
  double mSlotSeconds = 0; ///< Running requests integrated over this interval.
  /** Sum of the mean run times of the requests ended in this interval. */
  double mEndedRunSeconds = 0;
  double mMeanSlotsInUse = 0; ///< Smoothed.
  double mEndedRunRate = 0;   ///< mEndedRunSeconds per second, smoothed.
};

} // namespace amaranthgap
