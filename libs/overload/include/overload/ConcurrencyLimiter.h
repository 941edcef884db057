#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/EnumNames.h"
#include "base/Time.h"

namespace amaranthgap {

enum class LimitRegime : uint8_t
{
  WarmUp,
  Steady,
  ProbeDown, ///< 0.7 of the limit, to tell queueing from a slow upstream.
  ProbeUp,   ///< A higher limit, kept if the own time does not rise.
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

/** A finished call to the upstream. */
struct CallSample
{
  uint64_t mClass = 0; ///< Hash of the request class.
  TimePoint mStarted;
  Duration mOwnTime{}; ///< Latency without the time spent in child calls.
  bool mShed = false;  ///< The upstream refused the call for overload.
};

/** Adaptive limit of concurrent calls to one upstream; see section 8.1 of the
 * design page. Not thread-safe. */
class ConcurrencyLimiter
{
public:
  struct Options
  {
    uint32_t mSlots = 1;      ///< Initial limit, as the upstream announces it.
    uint32_t mMaxCalls = 256; ///< The limit is also at most 4 times the slots.
    Duration mWarmUp{};       ///< Time until the full limit applies.
    TimePoint mStart;
  };

  explicit ConcurrencyLimiter(const Options& aOptions);

  /** @return the maximum number of calls in flight, at least 1. */
  [[nodiscard]] uint32_t Limit(TimePoint aNow) const;
  [[nodiscard]] LimitRegime Regime(TimePoint aNow) const;

  /** Records the start of a call.
   * @param aInFlight calls in flight including the new one.
   * @param aWaiting whether other calls wait for a slot. */
  void Started(TimePoint aNow, uint32_t aInFlight, bool aWaiting);
  /** Records the end of a call and adjusts the limit. */
  void Finished(TimePoint aNow, const CallSample& aSample);

private:
  /** Consecutive calls that started under the same limit. */
  struct Cohort
  {
    uint32_t mMinCalls = 0;
    uint32_t mTargetCalls = 0; ///< Grows while the mean is imprecise.
    uint32_t mStarted = 0;
    uint32_t mFinished = 0;
    uint32_t mStartedAtLimit = 0;     ///< Limit fully used or calls waiting.
    uint32_t mStartedWithWaiting = 0; ///< While other calls waited.
    double mLimit = 1;
    // Until then, calls do not count before the limit is reached.
    TimePoint mFillDeadline;
    TimePoint mFirstStart;
    TimePoint mLastStart;
    // Logarithms of the own time over the reference of the request class.
    std::vector<double> mLogRatios;
    double mMean = 0;     ///< Of mLogRatios; set by Summarize.
    double mVariance = 1; ///< Of the mean; set by Summarize.

    void Summarize();
    [[nodiscard]] bool IsSaturated() const;
  };

  /** Typical own time of a request class. */
  struct ClassReference
  {
    double mMeanLog = 0; ///< Mean logarithm of the own time in seconds.
    uint32_t mSamples = 0;
    // Log ratios of the current cohort.
    uint32_t mCohortSamples = 0;
    double mCohortLogRatioSum = 0;
  };

  [[nodiscard]] double MaxLimit() const;
  /** @return the share of the limit in use, 1 after the warm-up. */
  [[nodiscard]] double WarmUpFactor(TimePoint aNow) const;
  [[nodiscard]] bool IsProbing(TimePoint aNow) const;
  void StartCohort(TimePoint aNow, LimitRegime aRegime, double aLimit);
  void FinishCohort(TimePoint aNow);
  void UpdateReferences();
  void EvaluateProbe(TimePoint aNow, const Cohort& aCohortAfter);
  void EvaluateDownProbe(TimePoint aNow, const Cohort& aCohortAfter);
  void EvaluateUpProbe(TimePoint aNow, const Cohort& aCohortAfter);
  void ChooseProbe(TimePoint aNow, const Cohort& aCohort);
  /** Lowers the limit after the upstream has refused a call for overload. */
  void HandleShed(TimePoint aNow);
  /** Sets the limit and discards the probe results for the previous one. */
  void SetLimit(double aLimit);

  Options mOptions;
  double mLimit = 1;
  LimitRegime mRegime = LimitRegime::Steady;
  double mProbeLimit = 1;
  TimePoint mProbeDeadline;
  Cohort mCohort;
  Cohort mCohortBeforeProbe; ///< Last cohort under the regular limit.
  Cohort mProbeCohort;
  // Probe to be evaluated after the current cohort; Steady if none.
  LimitRegime mPendingProbe = LimitRegime::Steady;
  std::unordered_map<uint64_t, ClassReference> mReferences;
  double mMeanLogRatio = 0;     ///< Mean of the latest regular cohort.
  double mBaselineLogRatio = 0; ///< Mean when a probe last checked the limit.
  double mMeanOwnSeconds = 0;   ///< Moving average of the own time.
  double mUpStep = 0;           ///< Share of the limit added by an up probe.
  bool mIsBounded = false; ///< The last increase was rejected or too small.
  TimePoint mNextDownProbe;
  TimePoint mNextRiseCheck;
  bool mFoundNoQueue = false; ///< Result of a down probe at some limit.
  // Drops of the log ratio in the down probes from the current limit, weighted
  // by inverse variance.
  double mDropSum = 0;
  double mDropWeight = 0;
  // Regression slope of the log own time over the log limit, from the latest up
  // probes.
  double mSlopeSum = 0;
  double mSlopeWeight = 0;
  TimePoint mNextUpProbe;
  TimePoint mNextShedCut;
  double mShedLimit = 0; ///< Limit at the last refusal by the upstream.
  TimePoint mShedLimitExpiry;
  Duration mDownProbePause{};
  Duration mUpProbePause{};
  Duration mCohortDuration{};
};

} // namespace amaranthgap
