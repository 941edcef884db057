#include "overload/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr double kWarmUpStart = 0.25;
constexpr double kMaxSlotsFactor = 4;

// A cohort has more calls than slots, so that its calls run beside calls under
// the same limit.
constexpr uint32_t kMinCohortCalls = 20;
constexpr double kCohortCallsPerSlot = 1.5;
// Noisy cohorts grow up to this factor, or until the standard deviation of the
// mean is at most kMaxDeviation.
constexpr uint32_t kMaxCohortGrowth = 2;
constexpr double kMaxDeviation = 0.06;
// Lower bound of the standard deviation of a mean log ratio.
constexpr double kMinDeviation = 0.01;
// The own times of concurrent calls are correlated, so that their mean varies
// more than that of independent calls.
constexpr double kCorrelationFactor = 2;
// A cohort ends without its slowest calls, since only its middle half counts.
constexpr double kFinishedShare = 0.8;

constexpr double kSaturatedShare = 0.7;
// When the limit is right, a down probe loses the rest of the throughput while
// it lasts. At half the limit, a slow upstream would lose seconds of it.
constexpr double kDownProbeFactor = 0.7;
// Half of the drop of the log ratio in a down probe when there is a queue.
const double kDownProbeQueueDrop = -std::log(kDownProbeFactor) / 2;
constexpr double kInitialUpStep = 0.1;
constexpr double kMaxUpStep = 1;

// Rise of the log own time that triggers a down probe: a quarter.
const double kSignificantRise = std::log(1.25);

constexpr Duration kDownProbePause = seconds(4);
constexpr Duration kUpProbePause = milliseconds(500);
constexpr Duration kShedPause = seconds(4);
constexpr Duration kMaxPause = seconds(32);

constexpr uint32_t kMinReferenceSamples = 8;
constexpr size_t kMaxClasses = 256;
constexpr double kReferenceGain = 0.1;

} // namespace

// -- Cohorts ----------------------------------------------------------------

void
ConcurrencyLimiter::Cohort::Summarize()
{
  if (mLogRatios.size() < 4) {
    return;
  }
  // Mean of the middle half, since a few calls that take many times as long as
  // the others would hide the effect of a probe.
  std::vector<double> logs = mLogRatios;
  std::sort(logs.begin(), logs.end());
  const size_t cut = logs.size() / 4;
  const double low = logs[cut];
  const double high = logs[logs.size() - 1 - cut];
  double middle = 0;
  double sum = 0;
  double squares = 0;
  for (size_t i = 0; i < logs.size(); ++i) {
    const double bounded = std::clamp(logs[i], low, high);
    sum += bounded;
    squares += bounded * bounded;
    middle += i >= cut && i < logs.size() - cut ? logs[i] : 0.0;
  }
  const double count = double(logs.size());
  const double kept = count - 2.0 * double(cut);
  const double spread = squares / count - sum / count * (sum / count);
  mMean = middle / kept;
  mVariance = std::max(kMinDeviation * kMinDeviation,
                       kCorrelationFactor * spread * count / (kept * kept));
}

bool
ConcurrencyLimiter::Cohort::IsSaturated() const
{
  return mStartedAtLimit >= kSaturatedShare * mStarted;
}

// -- Limit ------------------------------------------------------------------

ConcurrencyLimiter::ConcurrencyLimiter(const Options& aOptions)
  : mOptions(aOptions)
  , mUpStep(kInitialUpStep)
  , mDownProbePause(kDownProbePause)
  , mUpProbePause(kUpProbePause)
{
  mOptions.mSlots = std::max<uint32_t>(1, mOptions.mSlots);
  SetLimit(mOptions.mSlots);
  mNextDownProbe = mOptions.mStart;
  mNextUpProbe = mOptions.mStart;
  StartCohort(mOptions.mStart, LimitRegime::Steady, mLimit);
}

double
ConcurrencyLimiter::MaxLimit() const
{
  return std::max(
    1.0,
    std::min<double>(mOptions.mMaxCalls, kMaxSlotsFactor * mOptions.mSlots));
}

double
ConcurrencyLimiter::WarmUpFactor(TimePoint aNow) const
{
  const Duration age = aNow - mOptions.mStart;
  if (age >= mOptions.mWarmUp) {
    return 1;
  }
  const double done =
    std::max(0.0, ToSeconds(age) / ToSeconds(mOptions.mWarmUp));
  return kWarmUpStart + (1 - kWarmUpStart) * done;
}

bool
ConcurrencyLimiter::IsProbing(TimePoint aNow) const
{
  return (mRegime == LimitRegime::ProbeDown ||
          mRegime == LimitRegime::ProbeUp) &&
         aNow < mProbeDeadline;
}

uint32_t
ConcurrencyLimiter::Limit(TimePoint aNow) const
{
  const double limit =
    IsProbing(aNow) ? mProbeLimit : mLimit * WarmUpFactor(aNow);
  return uint32_t(std::clamp(std::round(limit), 1.0, MaxLimit()));
}

LimitRegime
ConcurrencyLimiter::Regime(TimePoint aNow) const
{
  if (WarmUpFactor(aNow) < 1) {
    return LimitRegime::WarmUp;
  }
  return IsProbing(aNow) ? mRegime : LimitRegime::Steady;
}

void
ConcurrencyLimiter::SetLimit(double aLimit)
{
  mLimit = std::clamp(aLimit, 1.0, MaxLimit());
  mDropSum = 0;
  mDropWeight = 0;
  mSlopeSum = 0;
  mSlopeWeight = 0;
}

// -- Events -----------------------------------------------------------------

void
ConcurrencyLimiter::Started(TimePoint aNow, uint32_t aInFlight, bool aWaiting)
{
  const uint32_t limit = Limit(aNow);
  // After the limit was lowered, earlier calls still exceed it.
  if (mCohort.mStarted >= mCohort.mTargetCalls || aInFlight > limit) {
    return;
  }
  if (mCohort.mStarted == 0) {
    // After the limit was raised, arrivals must fill it first.
    if (aInFlight < limit && aNow < mCohort.mFillDeadline) {
      return;
    }
    mCohort.mFirstStart = aNow;
  }
  ++mCohort.mStarted;
  mCohort.mLastStart = aNow;
  mCohort.mStartedAtLimit += aWaiting || aInFlight >= limit ? 1 : 0;
  mCohort.mStartedWithWaiting += aWaiting ? 1 : 0;
  // A down probe costs throughput when there is no queue; then it is kept short
  // and repeated if needed.
  const bool isCostly = mRegime == LimitRegime::ProbeDown && mFoundNoQueue &&
                        mDropSum <= kDownProbeQueueDrop * mDropWeight;
  if (mCohort.mStarted == mCohort.mTargetCalls && !isCostly &&
      mCohort.mTargetCalls < kMaxCohortGrowth * mCohort.mMinCalls) {
    mCohort.Summarize();
    if (mCohort.mVariance * double(mCohort.mLogRatios.size()) >
        kMaxDeviation * kMaxDeviation * mCohort.mTargetCalls) {
      mCohort.mTargetCalls += mCohort.mMinCalls / 2;
    }
  }
}

void
ConcurrencyLimiter::Finished(TimePoint aNow, const CallSample& aSample)
{
  if (aSample.mShed) {
    HandleShed(aNow);
  }
  if ((mRegime == LimitRegime::ProbeDown || mRegime == LimitRegime::ProbeUp) &&
      aNow >= mProbeDeadline) {
    mPendingProbe = LimitRegime::Steady;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
  }
  if (!aSample.mShed) {
    constexpr double kGain = 0.05;
    const double ownSeconds = std::max(1e-6, ToSeconds(aSample.mOwnTime));
    mMeanOwnSeconds +=
      (mMeanOwnSeconds == 0 ? 1 : kGain) * (ownSeconds - mMeanOwnSeconds);

    if (mReferences.size() >= kMaxClasses &&
        !mReferences.contains(aSample.mClass)) {
      mReferences.clear();
    }
    auto& reference = mReferences[aSample.mClass];
    const double log = std::log(ownSeconds);
    const bool isCounted = mCohort.mStarted > 0 &&
                           aSample.mStarted >= mCohort.mFirstStart &&
                           aSample.mStarted <= mCohort.mLastStart;
    if (reference.mSamples < kMinReferenceSamples) {
      ++reference.mSamples;
      reference.mMeanLog +=
        (log - mMeanLogRatio - reference.mMeanLog) / reference.mSamples;
    } else if (isCounted) {
      const double ratio = log - reference.mMeanLog;
      mCohort.mLogRatios.push_back(ratio);
      ++reference.mCohortSamples;
      reference.mCohortLogRatioSum += ratio;
    }
    mCohort.mFinished += isCounted ? 1 : 0;
  }
  if (mCohort.mStarted >= mCohort.mTargetCalls &&
      mCohort.mFinished >= kFinishedShare * mCohort.mTargetCalls) {
    FinishCohort(aNow);
  }
}

// -- Probes -----------------------------------------------------------------

void
ConcurrencyLimiter::StartCohort(TimePoint aNow,
                                LimitRegime aRegime,
                                double aLimit)
{
  mRegime = aRegime;
  mProbeLimit = aLimit;
  mCohort = {};
  mCohort.mLimit = std::round(aLimit);
  mCohort.mMinCalls = uint32_t(
    std::max<double>(kMinCohortCalls, std::ceil(kCohortCallsPerSlot * aLimit)));
  mCohort.mTargetCalls = mCohort.mMinCalls;
  mCohort.mFillDeadline = aNow + FromSeconds(mMeanOwnSeconds);
  for (auto& [id, reference] : mReferences) {
    reference.mCohortSamples = 0;
    reference.mCohortLogRatioSum = 0;
  }
  // A probe ends without result if the demand no longer fills its limit.
  const Duration expected = FromSeconds(
    mMeanOwnSeconds * (mCohort.mTargetCalls / std::max(1.0, aLimit) + 2));
  mProbeDeadline = aNow + std::max<Duration>(milliseconds(50), 4 * expected);
}

void
ConcurrencyLimiter::FinishCohort(TimePoint aNow)
{
  mCohort.Summarize();
  const Cohort cohort = std::move(mCohort);
  mCohortDuration = aNow - cohort.mFirstStart;
  if (mRegime != LimitRegime::Steady) {
    mProbeCohort = cohort;
    mPendingProbe = mRegime;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
    return;
  }
  if (cohort.mLogRatios.size() >= cohort.mTargetCalls / 2) {
    mMeanLogRatio = cohort.mMean;
    UpdateReferences();
    if (mPendingProbe != LimitRegime::Steady) {
      EvaluateProbe(aNow, cohort);
    }
    ChooseProbe(aNow, cohort);
  } else {
    mPendingProbe = LimitRegime::Steady;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
  }
}

void
ConcurrencyLimiter::UpdateReferences()
{
  // Only differences between the classes are corrected. A change common to all
  // classes stays in the mean log ratio, which the probes measure.
  double sum = 0;
  uint32_t samples = 0;
  for (const auto& [id, reference] : mReferences) {
    if (reference.mCohortSamples >= kMinReferenceSamples) {
      sum += reference.mCohortLogRatioSum;
      samples += reference.mCohortSamples;
    }
  }
  for (auto& [id, reference] : mReferences) {
    if (reference.mCohortSamples >= kMinReferenceSamples) {
      reference.mMeanLog += kReferenceGain * (reference.mCohortLogRatioSum /
                                                reference.mCohortSamples -
                                              sum / samples);
    }
  }
}

void
ConcurrencyLimiter::ChooseProbe(TimePoint aNow, const Cohort& aCohort)
{
  // A rise counts only if the mean is close to that of the previous cohort;
  // otherwise the upstream changed in the meantime.
  const bool isStable =
    std::abs(aCohort.mMean - mCohortBeforeProbe.mMean) <=
    kSignificantRise +
      2 * std::sqrt(aCohort.mVariance + mCohortBeforeProbe.mVariance);
  mCohortBeforeProbe = aCohort;
  // A probe is compared only with a saturated cohort under the same limit.
  if (!aCohort.IsSaturated() || WarmUpFactor(aNow) < 1 ||
      aCohort.mLimit != std::round(mLimit)) {
    StartCohort(aNow, LimitRegime::Steady, mLimit);
    return;
  }
  const double deviation = std::sqrt(aCohort.mVariance);
  const double change = mMeanLogRatio - mBaselineLogRatio;
  if (change < -kSignificantRise - 2 * deviation) {
    // The upstream has become faster and may have more capacity.
    mBaselineLogRatio = mMeanLogRatio;
    mIsBounded = false;
    mNextUpProbe = aNow;
    mUpStep = std::max(mUpStep, 0.4);
  }
  const bool hasRisen = change > kSignificantRise + 2 * deviation && isStable &&
                        aNow >= mNextRiseCheck;
  const bool hasWaiting = aCohort.mStartedWithWaiting * 2 >= aCohort.mStarted;
  if (mLimit > 1 && (hasRisen || (mIsBounded && aNow >= mNextDownProbe))) {
    StartCohort(
      aNow, LimitRegime::ProbeDown, std::max(1.0, mLimit * kDownProbeFactor));
  } else if (hasWaiting && aNow >= mNextUpProbe) {
    // The step must be large enough for its effect to exceed the noise.
    const double step = std::max(mUpStep, std::min(4 * deviation, 0.5));
    double limit = std::max(std::round(mLimit) + 1, mLimit * (1 + step));
    const bool isNearShed = aNow < mShedLimitExpiry && mShedLimit > mLimit;
    if (isNearShed) {
      limit = std::max(std::round(mLimit) + 1,
                       std::min(limit, (mLimit + mShedLimit) / 2));
    }
    limit = std::min(limit, MaxLimit());
    if (isNearShed || limit > mLimit * (1 + step / 2)) {
      StartCohort(aNow, LimitRegime::ProbeUp, limit);
    } else {
      mIsBounded = true;
      StartCohort(aNow, LimitRegime::Steady, mLimit);
    }
  } else {
    StartCohort(aNow, LimitRegime::Steady, mLimit);
  }
}

void
ConcurrencyLimiter::EvaluateProbe(TimePoint aNow, const Cohort& aCohortAfter)
{
  const LimitRegime probeRegime = mPendingProbe;
  mPendingProbe = LimitRegime::Steady;
  const double spread =
    2 * std::sqrt(mCohortBeforeProbe.mVariance + aCohortAfter.mVariance);
  const bool isSteady =
    std::abs(aCohortAfter.mMean - mCohortBeforeProbe.mMean) <=
    kSignificantRise + spread;
  const bool isFilled =
    mProbeCohort.IsSaturated() && aCohortAfter.IsSaturated() &&
    mProbeCohort.mLogRatios.size() >= mProbeCohort.mTargetCalls / 2;
  if (!isSteady || !isFilled) {
    // The upstream or the demand changed during the probe; it has no result.
    mBaselineLogRatio = isSteady ? mBaselineLogRatio : aCohortAfter.mMean;
    mNextDownProbe = std::max(mNextDownProbe, aNow + mCohortDuration * 4);
    return;
  }
  if (probeRegime == LimitRegime::ProbeDown) {
    EvaluateDownProbe(aNow, aCohortAfter);
  } else {
    EvaluateUpProbe(aNow, aCohortAfter);
  }
}

void
ConcurrencyLimiter::EvaluateDownProbe(TimePoint aNow,
                                      const Cohort& aCohortAfter)
{
  const double variance =
    mProbeCohort.mVariance +
    (mCohortBeforeProbe.mVariance + aCohortAfter.mVariance) / 4;
  mDropSum +=
    ((mCohortBeforeProbe.mMean + aCohortAfter.mMean) / 2 - mProbeCohort.mMean) /
    variance;
  mDropWeight += 1 / variance;
  const double drop = mDropSum / mDropWeight;
  const double deviation = 1 / std::sqrt(mDropWeight);
  const double fullDrop = std::log(aCohortAfter.mLimit / mProbeCohort.mLimit);
  // The own time is proportional to the calls in flight above the upstream's
  // capacity and constant below it, so the capacity follows from the drop. The
  // deviation is added, since a limit that is too low costs throughput and one
  // that is too high only latency.
  const double capacity = std::max(
    mProbeCohort.mLimit, aCohortAfter.mLimit * std::exp(deviation - drop));
  const bool isQueue = drop > 2.5 * deviation && drop > 0.15 * fullDrop;
  if (isQueue && std::round(capacity) < aCohortAfter.mLimit) {
    SetLimit(capacity);
    mBaselineLogRatio = mProbeCohort.mMean;
    mDownProbePause = kDownProbePause;
    mNextDownProbe = drop > 0.8 * fullDrop ? aNow : aNow + mDownProbePause;
    mNextRiseCheck = mNextDownProbe;
    mNextUpProbe = aNow + mUpProbePause;
  } else if (isQueue || drop + deviation < 0.5 * fullDrop) {
    // The limit is right: there is no queue, or one too short to lower the
    // limit. The own time is that of the upstream itself.
    mBaselineLogRatio = aCohortAfter.mMean;
    mFoundNoQueue = true;
    mDropSum = 0;
    mDropWeight = 0;
    // The probe costs a third of the capacity while it lasts; a pause of at
    // least 15 cohorts keeps the total cost below two percent.
    const Duration least = 15 * mCohortDuration;
    mDownProbePause = std::max(mDownProbePause, least);
    mNextDownProbe = aNow + mDownProbePause;
    mDownProbePause =
      std::min(2 * mDownProbePause, std::max(kMaxPause, 4 * least));
  } else {
    // Not decided yet. If a queue is likely, the next probe follows soon, since
    // it costs no throughput.
    const bool isLikely = drop > 0.5 * fullDrop;
    mFoundNoQueue = mFoundNoQueue || !isLikely;
    mNextDownProbe = aNow + (isLikely ? 2 : 10) * mCohortDuration;
    mNextRiseCheck = mNextDownProbe;
  }
}

void
ConcurrencyLimiter::EvaluateUpProbe(TimePoint aNow, const Cohort& aCohortAfter)
{
  const double low = aCohortAfter.mLimit;
  const double high = mProbeCohort.mLimit;
  if (high <= low) {
    mNextUpProbe = aNow + mUpProbePause;
    return;
  }
  const double variance =
    mProbeCohort.mVariance +
    (mCohortBeforeProbe.mVariance + aCohortAfter.mVariance) / 4;
  const double rise =
    mProbeCohort.mMean - (mCohortBeforeProbe.mMean + aCohortAfter.mMean) / 2;
  const double step = std::log(high / low);
  constexpr double kDecay = 0.8;
  mSlopeSum = kDecay * mSlopeSum + step * rise / variance;
  mSlopeWeight = kDecay * mSlopeWeight + step * step / variance;
  // The capacity follows from the rise as in EvaluateDownProbe. A part of the
  // deviation is subtracted, since only a later probe would take back the
  // increase. The latest probe alone detects that the capacity has grown;
  // several probes pooled detect a small reserve.
  const double deviation = std::sqrt(variance);
  const double latest = high * std::exp(-rise - 0.25 * deviation);
  const double pooledDeviation = step / std::sqrt(mSlopeWeight);
  const double pooled =
    high * std::exp(-mSlopeSum / mSlopeWeight * step - pooledDeviation);
  if (latest > low + 0.4 * (high - low) || pooled > 1.02 * low) {
    SetLimit(std::min(std::max(latest, pooled), high));
    mUpStep = std::min(2 * mUpStep, kMaxUpStep);
    mUpProbePause = kUpProbePause;
    mNextUpProbe = aNow;
    mIsBounded = false;
  } else {
    mUpStep = kInitialUpStep;
    mNextUpProbe = aNow + std::max(mUpProbePause, 4 * mCohortDuration);
    mUpProbePause = std::min<Duration>(2 * mUpProbePause, kDownProbePause);
    mIsBounded = true;
  }
}

void
ConcurrencyLimiter::HandleShed(TimePoint aNow)
{
  const bool wasProbe = IsProbing(aNow) && mRegime == LimitRegime::ProbeUp;
  if (!wasProbe && aNow < mNextShedCut) {
    return;
  }
  // The next up probes go only halfway towards the limit that was refused.
  mShedLimit = wasProbe ? mProbeLimit : mLimit;
  mShedLimitExpiry = aNow + kMaxPause;
  if (!wasProbe) {
    constexpr double kShedFactor = 0.9;
    SetLimit(mLimit * kShedFactor);
  }
  mNextShedCut = aNow + std::max<Duration>(milliseconds(20),
                                           FromSeconds(2 * mMeanOwnSeconds));
  mNextUpProbe = aNow + kShedPause;
  mUpStep = kInitialUpStep;
  mPendingProbe = LimitRegime::Steady;
  StartCohort(aNow, LimitRegime::Steady, mLimit);
}

} // namespace amaranthgap
