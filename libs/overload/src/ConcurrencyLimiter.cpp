#include "overload/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr double kRampFrom = 0.25;
constexpr double kMaxSlotsFactor = 4;

// A cohort covers each slot several times, so that its calls all run under the
// limit that is judged.
constexpr uint32_t kMinCohort = 20;
constexpr double kCohortPerSlot = 1.5;
// Noisy cohorts grow up to this factor, or until the mean is this precise.
constexpr uint32_t kMaxFactor = 2;
constexpr double kMaxDeviation = 0.06;
// A logarithm of own times is not known better than this.
constexpr double kMinDeviation = 0.01;
// Calls that run side by side are slow together; their mean varies more than
// that of independent ones.
constexpr double kCorrelation = 2;
// The slowest calls of a cohort are not waited for; only its middle counts.
constexpr double kCohortShare = 0.8;

// The probe costs the rest of the throughput while it lasts, when the limit is
// right. At half the limit, a slowed upstream would lose seconds of it.
constexpr double kSaturated = 0.7;
constexpr double kDownProbe = 0.7;
// Half of the drop that such a probe sees when there is a queue.
const double kDownProbeQueue = -std::log(kDownProbe) / 2;
constexpr double kFirstUpStep = 0.1;
constexpr double kLastUpStep = 1;

// Rise of the own time that calls for a probe: a quarter.
const double kRise = std::log(1.25);

constexpr Duration kDownPause = seconds(4);
constexpr Duration kUpPause = milliseconds(500);
constexpr Duration kShedPause = seconds(4);
constexpr Duration kLongPause = seconds(32);

constexpr uint32_t kLearnSamples = 8;
constexpr size_t kMaxClasses = 256;
constexpr double kReferenceGain = 0.1;

} // namespace

// -- Cohorts ----------------------------------------------------------------

void
ConcurrencyLimiter::Cohort::Summarize()
{
  if (mLogs.size() < 4) {
    return;
  }
  // Mean of the middle half: a few calls that take many times as long as the
  // others would hide the effect of a probe.
  std::vector<double> logs = mLogs;
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
                       kCorrelation * spread * count / (kept * kept));
}

bool
ConcurrencyLimiter::Cohort::IsSaturated() const
{
  return mSaturated >= kSaturated * mStarted;
}

// -- Limit ------------------------------------------------------------------

ConcurrencyLimiter::ConcurrencyLimiter(const Options& aOptions)
  : mOptions(aOptions)
  , mUpStep(kFirstUpStep)
  , mDownPause(kDownPause)
  , mUpPause(kUpPause)
{
  mOptions.mSlots = std::max<uint32_t>(1, mOptions.mSlots);
  SetLimit(mOptions.mSlots);
  mNextDown = mOptions.mStart;
  mNextUp = mOptions.mStart;
  StartCohort(mOptions.mStart, LimitRegime::Steady, mLimit);
}

double
ConcurrencyLimiter::Ceiling() const
{
  return std::max(
    1.0,
    std::min<double>(mOptions.mMaxCalls, kMaxSlotsFactor * mOptions.mSlots));
}

double
ConcurrencyLimiter::Ramp(TimePoint aNow) const
{
  const Duration age = aNow - mOptions.mStart;
  if (age >= mOptions.mWarmUp) {
    return 1;
  }
  const double done =
    std::max(0.0, ToSeconds(age) / ToSeconds(mOptions.mWarmUp));
  return kRampFrom + (1 - kRampFrom) * done;
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
  const double limit = IsProbing(aNow) ? mProbeLimit : mLimit * Ramp(aNow);
  return uint32_t(std::clamp(std::round(limit), 1.0, Ceiling()));
}

LimitRegime
ConcurrencyLimiter::Regime(TimePoint aNow) const
{
  if (Ramp(aNow) < 1) {
    return LimitRegime::WarmUp;
  }
  return IsProbing(aNow) ? mRegime : LimitRegime::Steady;
}

void
ConcurrencyLimiter::SetLimit(double aLimit)
{
  mLimit = std::clamp(aLimit, 1.0, Ceiling());
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
  // After the limit was lowered, calls of before still run.
  if (mCohort.mStarted >= mCohort.mWanted || aInFlight > limit) {
    return;
  }
  if (mCohort.mStarted == 0) {
    // After the limit was raised, arrivals have to fill it first.
    if (aInFlight < limit && aNow < mCohort.mFillUntil) {
      return;
    }
    mCohort.mBegin = aNow;
  }
  ++mCohort.mStarted;
  mCohort.mLastStart = aNow;
  mCohort.mSaturated += aWaiting || aInFlight >= limit ? 1 : 0;
  mCohort.mWaited += aWaiting ? 1 : 0;
  // A probe downwards costs throughput when the limit is right; then a short
  // one is rather repeated.
  const bool isCostly = mRegime == LimitRegime::ProbeDown && mIsVerified &&
                        mDropSum <= kDownProbeQueue * mDropWeight;
  if (mCohort.mStarted == mCohort.mWanted && !isCostly &&
      mCohort.mWanted < kMaxFactor * mCohort.mLeast) {
    mCohort.Summarize();
    if (mCohort.mVariance * double(mCohort.mLogs.size()) >
        kMaxDeviation * kMaxDeviation * mCohort.mWanted) {
      mCohort.mWanted += mCohort.mLeast / 2;
    }
  }
}

void
ConcurrencyLimiter::Finished(TimePoint aNow, const CallSample& aSample)
{
  if (aSample.mShed) {
    Shed(aNow);
  }
  if ((mRegime == LimitRegime::ProbeDown || mRegime == LimitRegime::ProbeUp) &&
      aNow >= mProbeDeadline) {
    mJudge = LimitRegime::Steady;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
  }
  if (!aSample.mShed) {
    constexpr double kGain = 0.05;
    const double own = std::max(1e-6, ToSeconds(aSample.mOwnTime));
    mMeanOwn += (mMeanOwn == 0 ? 1 : kGain) * (own - mMeanOwn);

    if (mReferences.size() >= kMaxClasses &&
        !mReferences.contains(aSample.mClass)) {
      mReferences.clear();
    }
    auto& reference = mReferences[aSample.mClass];
    const double log = std::log(own);
    const bool counts = mCohort.mStarted > 0 &&
                        aSample.mStarted >= mCohort.mBegin &&
                        aSample.mStarted <= mCohort.mLastStart;
    if (reference.mSamples < kLearnSamples) {
      ++reference.mSamples;
      reference.mLog += (log - mLevel - reference.mLog) / reference.mSamples;
    } else if (counts) {
      const double ratio = log - reference.mLog;
      mCohort.mLogs.push_back(ratio);
      ++reference.mCohortSamples;
      reference.mCohortSum += ratio;
    }
    mCohort.mFinished += counts ? 1 : 0;
  }
  if (mCohort.mStarted >= mCohort.mWanted &&
      mCohort.mFinished >= kCohortShare * mCohort.mWanted) {
    CohortDone(aNow);
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
  mCohort.mLeast =
    uint32_t(std::max<double>(kMinCohort, std::ceil(kCohortPerSlot * aLimit)));
  mCohort.mWanted = mCohort.mLeast;
  mCohort.mFillUntil = aNow + FromSeconds(mMeanOwn);
  for (auto& [id, reference] : mReferences) {
    reference.mCohortSamples = 0;
    reference.mCohortSum = 0;
  }
  // A probe that demand no longer fills is given up.
  const Duration expected =
    FromSeconds(mMeanOwn * (mCohort.mWanted / std::max(1.0, aLimit) + 2));
  mProbeDeadline = aNow + std::max<Duration>(milliseconds(50), 4 * expected);
}

void
ConcurrencyLimiter::CohortDone(TimePoint aNow)
{
  mCohort.Summarize();
  const Cohort cohort = std::move(mCohort);
  mCohortTime = aNow - cohort.mBegin;
  if (mRegime != LimitRegime::Steady) {
    mProbe = cohort;
    mJudge = mRegime;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
    return;
  }
  if (cohort.mLogs.size() >= cohort.mWanted / 2) {
    mLevel = cohort.mMean;
    UpdateReferences();
    if (mJudge != LimitRegime::Steady) {
      JudgeProbe(aNow, cohort);
    }
    ChooseProbe(aNow, cohort);
  } else {
    mJudge = LimitRegime::Steady;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
  }
}

void
ConcurrencyLimiter::UpdateReferences()
{
  // Only the differences between the classes are corrected: a change that all
  // classes have in common is the level that the probes look for.
  double sum = 0;
  uint32_t samples = 0;
  for (const auto& [id, reference] : mReferences) {
    if (reference.mCohortSamples >= kLearnSamples) {
      sum += reference.mCohortSum;
      samples += reference.mCohortSamples;
    }
  }
  for (auto& [id, reference] : mReferences) {
    if (reference.mCohortSamples >= kLearnSamples) {
      reference.mLog +=
        kReferenceGain *
        (reference.mCohortSum / reference.mCohortSamples - sum / samples);
    }
  }
}

void
ConcurrencyLimiter::ChooseProbe(TimePoint aNow, const Cohort& aCohort)
{
  // A cohort in which the upstream changed is no measure either.
  const bool isStable =
    std::abs(aCohort.mMean - mBefore.mMean) <=
    kRise + 2 * std::sqrt(aCohort.mVariance + mBefore.mVariance);
  mBefore = aCohort;
  // A cohort of another limit is no measure for a probe.
  if (!aCohort.IsSaturated() || Ramp(aNow) < 1 ||
      aCohort.mLimit != std::round(mLimit)) {
    StartCohort(aNow, LimitRegime::Steady, mLimit);
    return;
  }
  const double deviation = std::sqrt(aCohort.mVariance);
  const double change = mLevel - mChecked;
  if (change < -kRise - 2 * deviation) {
    // The upstream recovered, so that it may take more.
    mChecked = mLevel;
    mIsBounded = false;
    mNextUp = aNow;
    mUpStep = std::max(mUpStep, 0.4);
  }
  const bool hasRisen =
    change > kRise + 2 * deviation && isStable && aNow >= mNextRiseCheck;
  const bool isWanted = aCohort.mWaited * 2 >= aCohort.mStarted;
  if (mLimit > 1 && (hasRisen || (mIsBounded && aNow >= mNextDown))) {
    StartCohort(
      aNow, LimitRegime::ProbeDown, std::max(1.0, mLimit * kDownProbe));
  } else if (isWanted && aNow >= mNextUp) {
    // Noise must not hide the effect of the step.
    const double step = std::max(mUpStep, std::min(4 * deviation, 0.5));
    double limit = std::max(std::round(mLimit) + 1, mLimit * (1 + step));
    const bool isNearShed = aNow < mShedUntil && mShedAt > mLimit;
    if (isNearShed) {
      limit = std::max(std::round(mLimit) + 1,
                       std::min(limit, (mLimit + mShedAt) / 2));
    }
    limit = std::min(limit, Ceiling());
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
ConcurrencyLimiter::JudgeProbe(TimePoint aNow, const Cohort& aAfter)
{
  const LimitRegime judged = mJudge;
  mJudge = LimitRegime::Steady;
  const double spread = 2 * std::sqrt(mBefore.mVariance + aAfter.mVariance);
  const bool isSteady =
    std::abs(aAfter.mMean - mBefore.mMean) <= kRise + spread;
  const bool isFilled = mProbe.IsSaturated() && aAfter.IsSaturated() &&
                        mProbe.mLogs.size() >= mProbe.mWanted / 2;
  if (!isSteady || !isFilled) {
    // The upstream or the demand changed meanwhile; the probe tells nothing.
    mChecked = isSteady ? mChecked : aAfter.mMean;
    mNextDown = std::max(mNextDown, aNow + mCohortTime * 4);
    return;
  }
  if (judged == LimitRegime::ProbeDown) {
    JudgeDown(aNow, aAfter);
  } else {
    JudgeUp(aNow, aAfter);
  }
}

void
ConcurrencyLimiter::JudgeDown(TimePoint aNow, const Cohort& aAfter)
{
  const double variance =
    mProbe.mVariance + (mBefore.mVariance + aAfter.mVariance) / 4;
  mDropSum += ((mBefore.mMean + aAfter.mMean) / 2 - mProbe.mMean) / variance;
  mDropWeight += 1 / variance;
  const double drop = mDropSum / mDropWeight;
  const double deviation = 1 / std::sqrt(mDropWeight);
  const double full = std::log(aAfter.mLimit / mProbe.mLimit);
  // The own time is proportional to the calls in flight above the upstream's
  // capacity and constant below it, so the drop leads to the capacity. A limit
  // that is too low costs throughput, one too high only time.
  const double capacity =
    std::max(mProbe.mLimit, aAfter.mLimit * std::exp(deviation - drop));
  const bool isQueue = drop > 2.5 * deviation && drop > 0.15 * full;
  if (isQueue && std::round(capacity) < aAfter.mLimit) {
    SetLimit(capacity);
    mChecked = mProbe.mMean;
    mDownPause = kDownPause;
    mNextDown = drop > 0.8 * full ? aNow : aNow + mDownPause;
    mNextRiseCheck = mNextDown;
    mNextUp = aNow + mUpPause;
  } else if (isQueue || drop + deviation < 0.5 * full) {
    // The limit is right, and the upstream is as fast as it is.
    mChecked = aAfter.mMean;
    mIsVerified = true;
    mDropSum = 0;
    mDropWeight = 0;
    // The probe costs a third of the capacity while it lasts; the pauses keep
    // that below two percent.
    const Duration least = 15 * mCohortTime;
    mDownPause = std::max(mDownPause, least);
    mNextDown = aNow + mDownPause;
    mDownPause = std::min(2 * mDownPause, std::max(kLongPause, 4 * least));
  } else {
    // If there is a queue, as it seems, the next probe costs nothing.
    const bool isLikely = drop > 0.5 * full;
    mIsVerified = mIsVerified || !isLikely;
    mNextDown = aNow + (isLikely ? 2 : 10) * mCohortTime;
    mNextRiseCheck = mNextDown;
  }
}

void
ConcurrencyLimiter::JudgeUp(TimePoint aNow, const Cohort& aAfter)
{
  const double low = aAfter.mLimit;
  const double high = mProbe.mLimit;
  if (high <= low) {
    mNextUp = aNow + mUpPause;
    return;
  }
  const double variance =
    mProbe.mVariance + (mBefore.mVariance + aAfter.mVariance) / 4;
  const double rise = mProbe.mMean - (mBefore.mMean + aAfter.mMean) / 2;
  const double step = std::log(high / low);
  constexpr double kMemory = 0.8;
  mSlopeSum = kMemory * mSlopeSum + step * rise / variance;
  mSlopeWeight = kMemory * mSlopeWeight + step * step / variance;
  // As in JudgeDown. A part of the deviation is held against the increase,
  // since nothing but a later probe would take it back. Several probes together
  // find a small reserve, a single one finds that the capacity has grown.
  const double deviation = std::sqrt(variance);
  const double latest = high * std::exp(-rise - 0.25 * deviation);
  const double pooledDeviation = step / std::sqrt(mSlopeWeight);
  const double pooled =
    high * std::exp(-mSlopeSum / mSlopeWeight * step - pooledDeviation);
  if (latest > low + 0.4 * (high - low) || pooled > 1.02 * low) {
    SetLimit(std::min(std::max(latest, pooled), high));
    mUpStep = std::min(2 * mUpStep, kLastUpStep);
    mUpPause = kUpPause;
    mNextUp = aNow;
    mIsBounded = false;
  } else {
    mUpStep = kFirstUpStep;
    mNextUp = aNow + std::max(mUpPause, 4 * mCohortTime);
    mUpPause = std::min<Duration>(2 * mUpPause, kDownPause);
    mIsBounded = true;
  }
}

void
ConcurrencyLimiter::Shed(TimePoint aNow)
{
  const bool wasProbe = IsProbing(aNow) && mRegime == LimitRegime::ProbeUp;
  if (!wasProbe && aNow < mNextShedCut) {
    return;
  }
  // The next probes go half of the way, since the last one went too far.
  mShedAt = wasProbe ? mProbeLimit : mLimit;
  mShedUntil = aNow + kLongPause;
  if (!wasProbe) {
    constexpr double kShedFactor = 0.9;
    SetLimit(mLimit * kShedFactor);
  }
  mNextShedCut =
    aNow + std::max<Duration>(milliseconds(20), FromSeconds(2 * mMeanOwn));
  mNextUp = aNow + kShedPause;
  mUpStep = kFirstUpStep;
  mJudge = LimitRegime::Steady;
  StartCohort(aNow, LimitRegime::Steady, mLimit);
}

} // namespace amaranthgap
