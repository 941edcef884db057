#include "overload/EntryThrottle.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr Duration kStep = milliseconds(80);
constexpr Duration kViewStep = milliseconds(40);
constexpr Duration kMaxViewStep = milliseconds(200);
constexpr Duration kForget = minutes(1);

// Refusals are judged over at least this many replies, or a second.
constexpr uint32_t kMinReplies = 4;
constexpr Duration kMaxJudged = seconds(1);
// A burst of refusals is judged at once.
constexpr uint32_t kBurst = 8;
constexpr Duration kMinJudged = milliseconds(10);

// The queue below is kept about half full, so that it neither runs empty nor
// overflows. A queue of 50 ms reacts to the rate within the time that a reply
// takes to return; a gain above 0.1 makes the rate swing with replies 250 ms
// old.
constexpr double kIntended = 0.42;
constexpr double kGain = 0.1;
constexpr double kBaseGain = 0.004;
// A queue that is almost empty cannot show how far the rate is below the
// capacity; after a cut the small gain took seconds to return to it.
constexpr double kNearlyEmpty = 0.12;
constexpr double kEmptyBaseGain = 0.032;
// A queue that is filling up is relieved before it overflows; refusals cut the
// rate by more than was needed.
constexpr double kNearlyFull = 0.6;
constexpr double kFullGain = 0.3;

// Below this pressure the queue is empty; after some steps the throttle opens.
constexpr double kEmpty = 0.02;
constexpr uint32_t kCalmSteps = 2;
constexpr double kFirstGrowth = 0.07;

constexpr double kMinRate = 0.1;
constexpr double kFloor = 0.95;

} // namespace

EntryThrottle::EntryThrottle(uint64_t aSeed)
  : mRng(aSeed)
{
}

bool
EntryThrottle::Admit(TimePoint aNow, const ThrottleKey& aKey)
{
  Stream& stream = Touch(aNow, aKey);
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
  View& view = mViews[{ aKey.mService, aKey.mRequestClass, aKey.mImportance }];
  // The reply to a long call tells of a queue that later calls may have found
  // empty.
  const bool hasTime = aSignal.mSent != TimePoint{};
  const bool isOld = hasTime && aSignal.mSent + kMaxViewStep < view.mNewestSent;
  view.mNewestSent = std::max(view.mNewestSent, aSignal.mSent);
  if (!isOld) {
    view.mSum += aSignal.mRefused ? 1 : std::clamp(aSignal.mPressure, 0.0, 1.0);
    ++view.mCount;
    view.mTime = aNow;
  }
  const Duration age = aNow - view.mBegin;
  if ((age >= kViewStep && view.mCount >= kMinReplies) ||
      (age >= kMaxViewStep && view.mCount > 0)) {
    const double mean = view.mSum / view.mCount;
    view.mPressure = (view.mPressure + mean) / 2;
    if (mean >= kEmpty) {
      view.mIsCalm = false;
    } else if (!view.mIsCalm) {
      view.mIsCalm = true;
      view.mCalmSince = aNow;
    }
    view.mBegin = aNow;
    view.mSum = 0;
    view.mCount = 0;
  }

  Stream& stream = it->second;
  stream.mLastReply = aNow;
  stream.mOutstanding -= stream.mOutstanding > 0 ? 1 : 0;
  stream.mUnproven -= stream.mUnproven > 0 ? 1 : 0;
  stream.mGood += aSignal.mRefused ? 0 : 1;
  const bool isStale =
    hasTime ? aSignal.mSent < stream.mCut : stream.mStale > 0;
  stream.mStale -= stream.mStale > 0 ? 1 : 0;
  if (isStale) {
    // Counts as goodput only.
  } else if (aSignal.mRefused) {
    ++stream.mRefused;
  } else {
    ++stream.mAccepted;
  }
  Touch(aNow, aKey);
}

EntryThrottle::Stream&
EntryThrottle::Touch(TimePoint aNow, const ThrottleKey& aKey)
{
  const auto [it, isNew] = mStreams.try_emplace(aKey);
  Stream& stream = it->second;
  if (isNew) {
    stream.mBegin = aNow;
    stream.mJudged = aNow;
    stream.mLastArrival = aNow;
    stream.mLastReply = aNow;
    stream.mLength = DrawLength();
    return stream;
  }
  const Duration age = aNow - stream.mJudged;
  const uint32_t replies = stream.mAccepted + stream.mRefused;
  if ((stream.mRefused >= kBurst && age >= kMinJudged) ||
      (age >= kStep && replies >= kMinReplies) || age >= kMaxJudged) {
    JudgeRefusals(aNow, stream);
  }
  if (aNow - stream.mBegin >= stream.mLength) {
    Step(aNow, aKey, stream);
  }
  return stream;
}

void
EntryThrottle::JudgeRefusals(TimePoint aNow, Stream& aStream)
{
  if (aStream.mRefused > 0) {
    const double length = ToSeconds(aNow - aStream.mJudged);
    // A few replies say little; the two added ones stand for the usual case.
    const double replies = aStream.mRefused + aStream.mAccepted;
    const double refused = aStream.mRefused / (replies + 2);
    if (!aStream.mThrottled) {
      aStream.mThrottled = true;
      const double sent =
        aStream.mDemand > 0
          ? std::min(aStream.mDemand, aStream.mAdmitted / length)
          : aStream.mAdmitted / length;
      aStream.mBase = std::max(sent * (1 - refused), aStream.mGoodput);
      aStream.mTokens = 0;
      aStream.mTokenTime = aNow;
    } else {
      // The rate at which calls are accepted is no overload, so that late
      // refusals cannot take the rate far below the capacity.
      aStream.mBase = std::min(
        aStream.mBase,
        std::max(aStream.mBase * (1 - refused), kFloor * aStream.mGoodput));
    }
    aStream.mRate = aStream.mBase;
    aStream.mCalm = 0;
    aStream.mStale = aStream.mOutstanding;
    aStream.mCut = aNow;
    aStream.mBase = std::max(aStream.mBase, kMinRate);
    aStream.mRate = std::min(aStream.mRate, aStream.mBase);
  }
  aStream.mJudged = aNow;
  aStream.mAdmitted = 0;
  aStream.mAccepted = 0;
  aStream.mRefused = 0;
}

void
EntryThrottle::Step(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream)
{
  const double length = ToSeconds(aNow - aStream.mBegin);
  const double arrived = aStream.mArrived / length;
  aStream.mDemand += (aStream.mDemand > 0 ? 1 - std::exp(-length) : 1) *
                     (arrived - aStream.mDemand);
  // Longer for streams of few calls, whose rate is not known sooner.
  const double memory =
    std::clamp(20 / std::max(aStream.mDemand, 0.1), 0.3, 8.0);
  aStream.mGoodput += (1 - std::exp(-length / memory)) *
                      (aStream.mGood / length - aStream.mGoodput);
  if (aNow - aStream.mLastReply > kMaxJudged) {
    // Replies that were lost do not hold the judgement for ever.
    aStream.mOutstanding = 0;
    aStream.mStale = 0;
    aStream.mUnproven = 0;
  }
  if (aStream.mThrottled) {
    Adjust(aNow, aKey, aStream);
  }
  aStream.mBegin = aNow;
  aStream.mLength = DrawLength();
  aStream.mArrived = 0;
  aStream.mGood = 0;
}

void
EntryThrottle::GrowCalmly(Stream& aStream)
{
  if (aStream.mUnproven > 0 || ++aStream.mCalm < kCalmSteps) {
    return;
  }
  // Near the capacity known last, small steps look for the queue; below and
  // above it the rate grows ever faster.
  double growth = kFirstGrowth;
  if (aStream.mBase < 0.9 * aStream.mKnown) {
    growth = 0.5;
  } else if (aStream.mBase > 1.1 * aStream.mKnown) {
    const uint32_t steps = std::min(aStream.mCalm - kCalmSteps, 5U);
    growth = std::min(1.0, kFirstGrowth * double(1U << steps));
  } else {
    aStream.mCalm = kCalmSteps;
  }
  aStream.mBase *= 1 + growth;
  // The next growth waits for the replies to the calls sent since this one.
  aStream.mUnproven = aStream.mOutstanding;
}

void
EntryThrottle::Adjust(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream)
{
  const View& view =
    mViews[{ aKey.mService, aKey.mRequestClass, aKey.mImportance }];
  // When nothing was heard for a while, the rate grows until a call tells.
  const Duration patience =
    FromSeconds(std::clamp(2 / aStream.mRate, 0.3, 1.0));
  const bool isSilent = aNow - view.mTime > patience;
  const double pressure = isSilent ? 0.0 : view.mPressure;
  if (!isSilent && !view.mIsCalm) {
    aStream.mCalm = 0;
    aStream.mUnproven = 0;
    aStream.mKnown = aStream.mBase;
    const double gain = pressure < kNearlyEmpty ? kEmptyBaseGain : kBaseGain;
    aStream.mBase *= 1 + gain * (kIntended - pressure);
  } else {
    // A stream of few calls makes up for the steps between them.
    const TimePoint since = isSilent ? view.mTime + patience : view.mCalmSince;
    const Duration calm = aNow - std::max(since, aStream.mBegin);
    for (int64_t i = std::clamp<int64_t>(calm / kStep, 1, 10); i > 0; --i) {
      GrowCalmly(aStream);
    }
  }
  const double demand =
    std::max(aStream.mDemand, aStream.mArrived / ToSeconds(kStep));
  if (aStream.mCalm >= kCalmSteps && aStream.mBase > 1.1 * demand) {
    aStream.mThrottled = false;
  }
  aStream.mBase = std::clamp(aStream.mBase, kMinRate, 1.5 * demand + 1);
  aStream.mRate =
    aStream.mBase * (1 + kGain * (kIntended - pressure) -
                     kFullGain * std::max(0.0, pressure - kNearlyFull));
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
    return aNow - aItem.second.mLastArrival >= kForget;
  });
  std::erase_if(mViews, [aNow](const auto& aItem) {
    return aNow - aItem.second.mTime >= kForget;
  });
}

Duration
EntryThrottle::DrawLength()
{
  // Drawn lengths keep the entry nodes from changing their rates together.
  return FromSeconds(ToSeconds(kStep) * mRng.Uniform(0.8, 1.2));
}

} // namespace amaranthgap
