#include "overload/EntryThrottle.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr Duration kControlInterval = milliseconds(80);
constexpr Duration kMinPressureInterval = milliseconds(40);
constexpr Duration kMaxPressureInterval = milliseconds(200);
constexpr Duration kIdleTimeout = minutes(1);

// Refusals are evaluated after this many replies, or after a second.
constexpr uint32_t kMinReplies = 4;
constexpr Duration kMaxEvaluationInterval = seconds(1);
// This many refusals are evaluated without waiting for a control interval.
constexpr uint32_t kBurstRefusals = 8;
constexpr Duration kMinEvaluationInterval = milliseconds(10);

// The queue of the called service is kept about half full, so that it neither
// runs empty nor overflows. A queue of 50 ms reacts to the rate within the time
// that a reply takes to return; with replies 250 ms old, a kRateGain above 0.1
// makes the rate oscillate.
constexpr double kTargetPressure = 0.42;
constexpr double kRateGain = 0.1;
constexpr double kBaseGain = 0.004;
// An almost empty queue does not show how far the rate is below the capacity.
// With kBaseGain the rate would need seconds to return to it after a cut.
constexpr double kLowPressure = 0.12;
constexpr double kLowPressureBaseGain = 0.032;
// Lowers the rate before the queue overflows, since refusals would cut the rate
// by more than necessary.
constexpr double kHighPressure = 0.6;
constexpr double kHighPressureGain = 0.3;

// Below this pressure the queue counts as empty. After some intervals without
// pressure the rate grows until the throttle is lifted.
constexpr double kNoPressure = 0.02;
constexpr uint32_t kMinPressureFreeIntervals = 2;
constexpr double kInitialGrowth = 0.07;

constexpr double kMinRate = 0.1; // Calls per second.
constexpr double kMinGoodputShare = 0.95;

} // namespace

EntryThrottle::EntryThrottle(uint64_t aSeed)
  : mRng(aSeed)
{
}

bool
EntryThrottle::Admit(TimePoint aNow, const ThrottleKey& aKey)
{
  Stream& stream = AdvanceStream(aNow, aKey);
  stream.mLastArrival = aNow;
  ++stream.mArrived;
  if (stream.mThrottled) {
    const double burst = 1 + stream.mRate * 0.02;
    stream.mTokens = std::min(
      burst,
      stream.mTokens + stream.mRate * ToSeconds(aNow - stream.mTokenTime));
    stream.mTokenTime = aNow;
    if (stream.mTokens < 1) {
      return false;
    }
    stream.mTokens -= 1;
  }
  ++stream.mAdmitted;
  ++stream.mOutstanding;
  return true;
}

void
EntryThrottle::Replied(TimePoint aNow,
                       const ThrottleKey& aKey,
                       const ThrottleSignal& aSignal)
{
  const auto it = mStreams.find(aKey);
  if (it == mStreams.end()) {
    return;
  }
  PressureEstimate& estimate =
    mPressureEstimates[{ aKey.mService, aKey.mRequestClass, aKey.mImportance }];
  // The reply to a long call reports on a queue that may have emptied since; it
  // is ignored when calls admitted much later have replied.
  const bool hasSendTime = aSignal.mSent != TimePoint{};
  const bool isOutdated =
    hasSendTime && aSignal.mSent + kMaxPressureInterval < estimate.mNewestSent;
  estimate.mNewestSent = std::max(estimate.mNewestSent, aSignal.mSent);
  if (!isOutdated) {
    estimate.mSum +=
      aSignal.mRefused ? 1 : std::clamp(aSignal.mPressure, 0.0, 1.0);
    ++estimate.mCount;
    estimate.mTime = aNow;
  }
  const Duration age = aNow - estimate.mIntervalStart;
  if ((age >= kMinPressureInterval && estimate.mCount >= kMinReplies) ||
      (age >= kMaxPressureInterval && estimate.mCount > 0)) {
    const double mean = estimate.mSum / estimate.mCount;
    estimate.mPressure = (estimate.mPressure + mean) / 2;
    if (mean >= kNoPressure) {
      estimate.mIsPressureFree = false;
    } else if (!estimate.mIsPressureFree) {
      estimate.mIsPressureFree = true;
      estimate.mPressureFreeSince = aNow;
    }
    estimate.mIntervalStart = aNow;
    estimate.mSum = 0;
    estimate.mCount = 0;
  }

  Stream& stream = it->second;
  stream.mLastReply = aNow;
  stream.mOutstanding -= stream.mOutstanding > 0 ? 1 : 0;
  stream.mOutstandingAtGrowth -= stream.mOutstandingAtGrowth > 0 ? 1 : 0;
  stream.mAcceptedInInterval += aSignal.mRefused ? 0 : 1;
  const bool isStale = hasSendTime ? aSignal.mSent < stream.mLastCut
                                   : stream.mStaleOutstanding > 0;
  stream.mStaleOutstanding -= stream.mStaleOutstanding > 0 ? 1 : 0;
  if (isStale) {
    // Counts towards the goodput only.
  } else if (aSignal.mRefused) {
    ++stream.mRefused;
  } else {
    ++stream.mAccepted;
  }
  AdvanceStream(aNow, aKey);
}

EntryThrottle::Stream&
EntryThrottle::AdvanceStream(TimePoint aNow, const ThrottleKey& aKey)
{
  const auto [it, isNew] = mStreams.try_emplace(aKey);
  Stream& stream = it->second;
  if (isNew) {
    stream.mIntervalStart = aNow;
    stream.mLastEvaluation = aNow;
    stream.mLastArrival = aNow;
    stream.mLastReply = aNow;
    stream.mIntervalLength = DrawIntervalLength();
    return stream;
  }
  const Duration age = aNow - stream.mLastEvaluation;
  const uint32_t replies = stream.mAccepted + stream.mRefused;
  if ((stream.mRefused >= kBurstRefusals && age >= kMinEvaluationInterval) ||
      (age >= kControlInterval && replies >= kMinReplies) ||
      age >= kMaxEvaluationInterval) {
    EvaluateRefusals(aNow, stream);
  }
  if (aNow - stream.mIntervalStart >= stream.mIntervalLength) {
    FinishInterval(aNow, aKey, stream);
  }
  return stream;
}

void
EntryThrottle::EvaluateRefusals(TimePoint aNow, Stream& aStream)
{
  if (aStream.mRefused > 0) {
    const double length = ToSeconds(aNow - aStream.mLastEvaluation);
    // Two accepted replies are added, since the share in a few replies is not
    // reliable.
    const double replies = aStream.mRefused + aStream.mAccepted;
    const double refusedShare = aStream.mRefused / (replies + 2);
    if (!aStream.mThrottled) {
      aStream.mThrottled = true;
      const double sentRate =
        aStream.mDemand > 0
          ? std::min(aStream.mDemand, aStream.mAdmitted / length)
          : aStream.mAdmitted / length;
      aStream.mBaseRate =
        std::max(sentRate * (1 - refusedShare), aStream.mGoodput);
      aStream.mTokens = 0;
      aStream.mTokenTime = aNow;
    } else {
      // The goodput does not overload the service. It bounds the cut, so that
      // late refusals do not lower the rate far below the capacity.
      aStream.mBaseRate =
        std::min(aStream.mBaseRate,
                 std::max(aStream.mBaseRate * (1 - refusedShare),
                          kMinGoodputShare * aStream.mGoodput));
    }
    aStream.mRate = aStream.mBaseRate;
    aStream.mPressureFreeIntervals = 0;
    aStream.mStaleOutstanding = aStream.mOutstanding;
    aStream.mLastCut = aNow;
    aStream.mBaseRate = std::max(aStream.mBaseRate, kMinRate);
    aStream.mRate = std::min(aStream.mRate, aStream.mBaseRate);
  }
  aStream.mLastEvaluation = aNow;
  aStream.mAdmitted = 0;
  aStream.mAccepted = 0;
  aStream.mRefused = 0;
}

void
EntryThrottle::FinishInterval(TimePoint aNow,
                              const ThrottleKey& aKey,
                              Stream& aStream)
{
  const double length = ToSeconds(aNow - aStream.mIntervalStart);
  const double arrived = aStream.mArrived / length;
  aStream.mDemand += (aStream.mDemand > 0 ? 1 - std::exp(-length) : 1) *
                     (arrived - aStream.mDemand);
  // Seconds; longer for streams of few calls, whose rate takes longer to
  // measure.
  const double timeConstant =
    std::clamp(20 / std::max(aStream.mDemand, 0.1), 0.3, 8.0);
  aStream.mGoodput += (1 - std::exp(-length / timeConstant)) *
                      (aStream.mAcceptedInInterval / length - aStream.mGoodput);
  if (aNow - aStream.mLastReply > kMaxEvaluationInterval) {
    // Lost replies must not block evaluation and growth for ever.
    aStream.mOutstanding = 0;
    aStream.mStaleOutstanding = 0;
    aStream.mOutstandingAtGrowth = 0;
  }
  if (aStream.mThrottled) {
    AdjustRate(aNow, aKey, aStream);
  }
  aStream.mIntervalStart = aNow;
  aStream.mIntervalLength = DrawIntervalLength();
  aStream.mArrived = 0;
  aStream.mAcceptedInInterval = 0;
}

void
EntryThrottle::GrowWithoutPressure(Stream& aStream)
{
  if (aStream.mOutstandingAtGrowth > 0 ||
      ++aStream.mPressureFreeIntervals < kMinPressureFreeIntervals) {
    return;
  }
  // Near the last known capacity the rate grows by small steps until there is
  // pressure. Well below it the steps are large; well above it they double.
  double growth = kInitialGrowth;
  if (aStream.mBaseRate < 0.9 * aStream.mKnownCapacity) {
    growth = 0.5;
  } else if (aStream.mBaseRate > 1.1 * aStream.mKnownCapacity) {
    const uint32_t intervals =
      std::min(aStream.mPressureFreeIntervals - kMinPressureFreeIntervals, 5U);
    growth = std::min(1.0, kInitialGrowth * double(1U << intervals));
  } else {
    aStream.mPressureFreeIntervals = kMinPressureFreeIntervals;
  }
  aStream.mBaseRate *= 1 + growth;
  // The next increase waits for the replies to the calls now outstanding.
  aStream.mOutstandingAtGrowth = aStream.mOutstanding;
}

void
EntryThrottle::AdjustRate(TimePoint aNow,
                          const ThrottleKey& aKey,
                          Stream& aStream)
{
  const PressureEstimate& estimate =
    mPressureEstimates[{ aKey.mService, aKey.mRequestClass, aKey.mImportance }];
  // Without recent replies the rate grows until a reply reports the pressure.
  const Duration maxSilence =
    FromSeconds(std::clamp(2 / aStream.mRate, 0.3, 1.0));
  const bool isSilent = aNow - estimate.mTime > maxSilence;
  const double pressure = isSilent ? 0.0 : estimate.mPressure;
  if (!isSilent && !estimate.mIsPressureFree) {
    aStream.mPressureFreeIntervals = 0;
    aStream.mOutstandingAtGrowth = 0;
    aStream.mKnownCapacity = aStream.mBaseRate;
    const double gain =
      pressure < kLowPressure ? kLowPressureBaseGain : kBaseGain;
    aStream.mBaseRate *= 1 + gain * (kTargetPressure - pressure);
  } else {
    // A stream of few calls ends its intervals late; it makes up for those
    // missed, 10 at most.
    const TimePoint since =
      isSilent ? estimate.mTime + maxSilence : estimate.mPressureFreeSince;
    const Duration pressureFreeTime =
      aNow - std::max(since, aStream.mIntervalStart);
    for (int64_t i =
           std::clamp<int64_t>(pressureFreeTime / kControlInterval, 1, 10);
         i > 0;
         --i) {
      GrowWithoutPressure(aStream);
    }
  }
  const double demand =
    std::max(aStream.mDemand, aStream.mArrived / ToSeconds(kControlInterval));
  if (aStream.mPressureFreeIntervals >= kMinPressureFreeIntervals &&
      aStream.mBaseRate > 1.1 * demand) {
    aStream.mThrottled = false;
  }
  aStream.mBaseRate = std::clamp(aStream.mBaseRate, kMinRate, 1.5 * demand + 1);
  aStream.mRate = aStream.mBaseRate *
                  (1 + kRateGain * (kTargetPressure - pressure) -
                   kHighPressureGain * std::max(0.0, pressure - kHighPressure));
}

double
EntryThrottle::DemandRatio(TimePoint /*aNow*/, const ThrottleKey& aKey) const
{
  constexpr double kMaxRatio = 1000;
  const auto it = mStreams.find(aKey);
  if (it == mStreams.end() || it->second.mDemand <= 0) {
    return 1;
  }
  const Stream& stream = it->second;
  return std::clamp(
    stream.mDemand / std::max(stream.mGoodput, kMinRate), 1.0, kMaxRatio);
}

void
EntryThrottle::Expire(TimePoint aNow)
{
  std::erase_if(mStreams, [aNow](const auto& aItem) {
    return aNow - aItem.second.mLastArrival >= kIdleTimeout;
  });
  std::erase_if(mPressureEstimates, [aNow](const auto& aItem) {
    return aNow - aItem.second.mTime >= kIdleTimeout;
  });
}

Duration
EntryThrottle::DrawIntervalLength()
{
  // Random lengths keep the entry nodes from changing their rates in step.
  return FromSeconds(ToSeconds(kControlInterval) * mRng.Uniform(0.8, 1.2));
}

} // namespace amaranthgap
