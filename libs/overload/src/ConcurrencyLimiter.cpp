#include "overload/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr double kRampFrom = 0.25;
constexpr double kMaxSlotsFactor = 4;

// A cohort covers each slot several times, so that its calls all run under the
// limit that is judged.
constexpr uint32_t kMinCohort = 48;
constexpr double kCohortPerSlot = 3;
// The slowest tenth of a cohort is not waited for.
constexpr double kCohortShare = 0.9;

constexpr double kDeepProbe = 0.5;
constexpr double kShallowProbe = 0.7;
constexpr double kFirstUpStep = 0.1;
constexpr double kLastUpStep = 0.4;

// Rise of the own time that calls for a probe: a quarter.
const double kRise = std::log(1.25);

constexpr Duration kDownPause = seconds(4);
constexpr Duration kUpPause = milliseconds(500);
constexpr Duration kShedPause = seconds(4);
constexpr Duration kLongPause = seconds(32);

constexpr uint32_t kLearnSamples = 8;
constexpr size_t kMaxClasses = 256;
constexpr double kReferenceGain = 0.01;

} // namespace

// -- Cohorts ----------------------------------------------------------------

double
ConcurrencyLimiter::Cohort::Mean() const
{
  return mSamples ? mSum / mSamples : 0.0;
}

double
ConcurrencyLimiter::Cohort::Variance() const
{
  if (mSamples < 2) {
    return 1;
  }
  const double mean = Mean();
  return std::max(0.0, mSquares / mSamples - mean * mean) / mSamples;
}

double
ConcurrencyLimiter::Cohort::MeanInFlight() const
{
  return mStarted ? mInFlight / mStarted : 0.0;
}

bool
ConcurrencyLimiter::Cohort::IsSaturated() const
{
  return mSaturated >= 0.8 * mStarted;
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
    std::min<double>(mOptions.mMaximum, kMaxSlotsFactor * mOptions.mSlots));
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
    mCohort.mBegin = aNow;
  }
  ++mCohort.mStarted;
  mCohort.mLastStart = aNow;
  mCohort.mInFlight += aInFlight;
  mCohort.mSaturated += aWaiting || aInFlight >= limit ? 1 : 0;
  mCohort.mWaited += aWaiting ? 1 : 0;
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
      ++mCohort.mSamples;
      mCohort.mSum += ratio;
      mCohort.mSquares += ratio * ratio;
      if (mRegime == LimitRegime::Steady) {
        reference.mLog += kReferenceGain * (ratio - mLevel);
      }
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
  mCohort.mWanted =
    uint32_t(std::max<double>(kMinCohort, std::ceil(kCohortPerSlot * aLimit)));
  // A probe that demand no longer fills is given up.
  const Duration expected =
    FromSeconds(mMeanOwn * (mCohort.mWanted / std::max(1.0, aLimit) + 2));
  mProbeDeadline = aNow + std::max<Duration>(milliseconds(50), 4 * expected);
}

void
ConcurrencyLimiter::CohortDone(TimePoint aNow)
{
  const Cohort cohort = mCohort;
  mCohortTime = aNow - cohort.mBegin;
  if (mRegime != LimitRegime::Steady) {
    mProbe = cohort;
    mJudge = mRegime;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
    return;
  }
  if (cohort.mSamples >= cohort.mWanted / 2) {
    mLevel = cohort.Mean();
    if (mJudge != LimitRegime::Steady) {
      JudgeProbe(aNow, cohort);
    }
    mChecked = std::min(mChecked, mLevel);
    ChooseProbe(aNow, cohort);
  } else {
    mJudge = LimitRegime::Steady;
    StartCohort(aNow, LimitRegime::Steady, mLimit);
  }
}

void
ConcurrencyLimiter::ChooseProbe(TimePoint aNow, const Cohort& aCohort)
{
  mBefore = aCohort;
  if (!aCohort.IsSaturated() || Ramp(aNow) < 1) {
    StartCohort(aNow, LimitRegime::Steady, mLimit);
    return;
  }
  const double risen = mLevel - mChecked - 2 * std::sqrt(aCohort.Variance());
  const bool isDeep = !mIsChecked || risen > kRise;
  if (mLimit > 1 && aNow >= mNextDown) {
    StartCohort(aNow,
                LimitRegime::ProbeDown,
                std::max(1.0, mLimit * (isDeep ? kDeepProbe : kShallowProbe)));
  } else if (mLimit > 1 && risen > kRise) {
    StartCohort(
      aNow, LimitRegime::ProbeDown, std::max(1.0, mLimit * kDeepProbe));
  } else if (aCohort.mWaited * 2 >= aCohort.mStarted && aNow >= mNextUp &&
             mLimit < Ceiling()) {
    const double limit =
      std::max(std::round(mLimit) + 1, mLimit * (1 + mUpStep));
    StartCohort(aNow, LimitRegime::ProbeUp, std::min(limit, Ceiling()));
  } else {
    StartCohort(aNow, LimitRegime::Steady, mLimit);
  }
}

void
ConcurrencyLimiter::JudgeProbe(TimePoint aNow, const Cohort& aAfter)
{
  const LimitRegime judged = mJudge;
  mJudge = LimitRegime::Steady;
  const double spread = 2 * std::sqrt(mBefore.Variance() + aAfter.Variance());
  const bool isSteady =
    std::abs(aAfter.Mean() - mBefore.Mean()) <= kRise + spread;
  const bool isFilled = mProbe.IsSaturated() && aAfter.IsSaturated() &&
                        mProbe.mSamples >= mProbe.mWanted / 2;
  if (!isSteady || !isFilled) {
    // The upstream or the demand changed meanwhile; the probe tells nothing.
    mChecked = isSteady ? mChecked : aAfter.Mean();
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
  const double drop = std::min(mBefore.Mean(), aAfter.Mean()) - mProbe.Mean();
  const double deviation =
    std::sqrt(mProbe.Variance() + (mBefore.Variance() + aAfter.Variance()) / 4);
  const double full =
    std::log(std::max(1.0, aAfter.MeanInFlight() / mProbe.MeanInFlight()));
  mIsChecked = true;
  if (drop > 2 * deviation && drop > 0.15 * full) {
    // The own time is proportional to the calls in flight above the upstream's
    // capacity and constant below it, so the drop leads to the capacity.
    SetLimit(
      std::max(mProbe.MeanInFlight(), aAfter.MeanInFlight() * std::exp(-drop)));
    mLevel = mProbe.Mean();
    mChecked = mLevel;
    mDownPause = kDownPause;
    mNextDown = drop > 0.8 * full ? aNow : aNow + mDownPause;
    mIsChecked = drop <= 0.8 * full;
    mNextUp = aNow + mUpPause;
  } else {
    mChecked = aAfter.Mean();
    // The probe costs a third of the capacity while it lasts; the pauses keep
    // that below two percent.
    const Duration least = 15 * mCohortTime;
    mDownPause = std::max(mDownPause, least);
    mNextDown = aNow + mDownPause;
    mDownPause = std::min(2 * mDownPause, std::max(kLongPause, 4 * least));
  }
}

void
ConcurrencyLimiter::JudgeUp(TimePoint aNow, const Cohort& aAfter)
{
  const double level = (mBefore.Mean() + aAfter.Mean()) / 2;
  const double deviation =
    std::sqrt(mProbe.Variance() + (mBefore.Variance() + aAfter.Variance()) / 4);
  const double low = aAfter.MeanInFlight();
  const double high = mProbe.MeanInFlight();
  if (high <= low) {
    mNextUp = aNow + mUpPause;
    return;
  }
  // As in JudgeDown. Both bounds are equally far, so that noise alone moves the
  // limit neither way; the deviation is held against an increase.
  const double estimate =
    high * std::exp(level - mProbe.Mean() - 0.25 * deviation);
  const double limit = std::clamp(estimate, low * low / high, high);
  SetLimit(limit);
  if (limit > low + 0.4 * (high - low)) {
    mUpStep = std::min(2 * mUpStep, kLastUpStep);
    mUpPause = kUpPause;
    mNextUp = aNow;
  } else {
    mUpStep = kFirstUpStep;
    mNextUp = aNow + std::max(mUpPause, 4 * mCohortTime);
    mUpPause = std::min<Duration>(2 * mUpPause, kDownPause / 2);
  }
}

void
ConcurrencyLimiter::Shed(TimePoint aNow)
{
  const bool wasProbe = IsProbing(aNow) && mRegime == LimitRegime::ProbeUp;
  if (!wasProbe && aNow < mNextShedCut) {
    return;
  }
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
