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
  ProbeDown, ///< 0.7 of the limit for a while, to tell queueing from slowness.
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
    uint32_t mSlots = 1;      ///< As announced.
    uint32_t mMaxCalls = 256; ///< Upper bound besides four times the slots.
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

private:
  /** Calls that started one after the other under the same limit. */
  struct Cohort
  {
    uint32_t mLeast = 0;
    uint32_t mWanted = 0;
    uint32_t mStarted = 0;
    uint32_t mFinished = 0;
    uint32_t mSaturated = 0; ///< Started with the limit fully used.
    uint32_t mWaited = 0;    ///< Started while others waited.
    double mLimit = 1;
    TimePoint mFillUntil; ///< Starts before the limit is reached do not count.
    TimePoint mBegin;
    TimePoint mLastStart;
    std::vector<double> mLogs; ///< Own time over the reference of its class.
    double mMean = 0;          ///< As of Summarize.
    double mVariance = 1;      ///< Of the mean.

    void Summarize();
    [[nodiscard]] bool IsSaturated() const;
  };

  struct ClassReference
  {
    double mLog = 0;
    uint32_t mSamples = 0;
    // Deviation from the reference within the cohort under way.
    uint32_t mCohortSamples = 0;
    double mCohortSum = 0;
  };

  [[nodiscard]] double Ceiling() const;
  [[nodiscard]] double Ramp(TimePoint aNow) const;
  [[nodiscard]] bool IsProbing(TimePoint aNow) const;
  void StartCohort(TimePoint aNow, LimitRegime aRegime, double aLimit);
  void CohortDone(TimePoint aNow);
  void UpdateReferences();
  void JudgeProbe(TimePoint aNow, const Cohort& aAfter);
  void JudgeDown(TimePoint aNow, const Cohort& aAfter);
  void JudgeUp(TimePoint aNow, const Cohort& aAfter);
  void ChooseProbe(TimePoint aNow, const Cohort& aCohort);
  void Shed(TimePoint aNow);
  void SetLimit(double aLimit);

  Options mOptions;
  double mLimit = 1;
  LimitRegime mRegime = LimitRegime::Steady;
  double mProbeLimit = 1;
  TimePoint mProbeDeadline;
  Cohort mCohort;
  Cohort mBefore; ///< The cohort before the probe.
  Cohort mProbe;
  LimitRegime mJudge = LimitRegime::Steady; ///< Probe that waits for judgement.
  std::unordered_map<uint64_t, ClassReference> mReferences;
  double mLevel = 0;   ///< Mean logarithm over the references, latest cohort.
  double mChecked = 0; ///< Level at which the limit was found right.
  double mMeanOwn = 0; ///< Seconds.
  double mUpStep = 0;
  bool mIsBounded = false; ///< The last step up was rejected.
  TimePoint mNextDown;
  TimePoint mNextRiseCheck;
  bool mIsVerified = false; ///< A probe downwards saw no sign of a queue.
  // Drops seen by the probes under the present limit, weighted by precision.
  double mDropSum = 0;
  double mDropWeight = 0;
  // Slope of the own time over the limit, both as logarithms, as seen by the
  // latest probes upwards.
  double mSlopeSum = 0;
  double mSlopeWeight = 0;
  TimePoint mNextUp;
  TimePoint mNextShedCut;
  double mShedAt = 0; ///< Limit at which the upstream last refused calls.
  TimePoint mShedUntil;
  Duration mDownPause{};
  Duration mUpPause{};
  Duration mCohortTime{};
};

} // namespace amaranthgap
