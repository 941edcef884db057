#include "overload/EntryThrottle.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr Duration kInterval = milliseconds(100);
constexpr Duration kForget = minutes(1);

// An interval of a slow stream is extended until it has seen this many replies,
// but no longer than a second.
constexpr uint32_t kMinReplies = 4;
constexpr Duration kMaxInterval = seconds(1);
constexpr Duration kStale = 2 * kMaxInterval;

// A burst of refusals ends the interval early.
constexpr uint32_t kBurst = 8;
constexpr Duration kMinInterval = milliseconds(10);

// Below this fill the queues below have room; the throttle opens.
constexpr double kRelaxed = 0.25;
constexpr double kHalfFull = 0.5;
constexpr double kNearlyFull = 0.9;

constexpr double kMinRate = 0.1;
constexpr double kLargeShare = 0.2;

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
  if (aSignal.mRefused || aSignal.mPressure >= kRelaxed) {
    view.mPressed = aNow;
  } else {
    view.mRelaxed = aNow;
  }
  Stream& stream = it->second;
  stream.mLastReply = aNow;
  if (aSignal.mRefused) {
    ++stream.mRefused;
  } else {
    ++stream.mAccepted;
  }
  stream.mPressure += std::clamp(aSignal.mPressure, 0.0, 1.0);
  Touch(aNow, aKey);
}

EntryThrottle::Stream&
EntryThrottle::Touch(TimePoint aNow, const ThrottleKey& aKey)
{
  const auto [it, isNew] = mStreams.try_emplace(aKey);
  Stream& stream = it->second;
  if (isNew) {
    stream.mBegin = aNow;
    stream.mLastArrival = aNow;
    stream.mLength = DrawLength();
    return stream;
  }
  const Duration age = aNow - stream.mBegin;
  const uint32_t replies = stream.mAccepted + stream.mRefused;
  const bool burst = stream.mRefused >= kBurst && age >= kMinInterval &&
                     aNow >= stream.mHoldUntil;
  if (burst ||
      (age >= stream.mLength &&
       (replies >= kMinReplies || replies == 0 || age >= kMaxInterval))) {
    CloseInterval(aNow, aKey, stream);
  }
  return stream;
}

void
EntryThrottle::CloseInterval(TimePoint aNow,
                             const ThrottleKey& aKey,
                             Stream& aStream)
{
  const double length = ToSeconds(aNow - aStream.mBegin);
  const double gain = 1 - std::exp(-length);
  aStream.mDemand += gain * (aStream.mArrived / length - aStream.mDemand);
  aStream.mGoodput += gain * (aStream.mAccepted / length - aStream.mGoodput);
  // Refusals before a long pause of the stream say nothing of the load now.
  if (aStream.mRefused > 0 && aNow - aStream.mBegin < kStale) {
    Cut(aNow, aStream, length);
  } else if (aStream.mThrottled) {
    Grow(aNow, aKey, aStream);
  }
  aStream.mBegin = aNow;
  aStream.mLength = DrawLength();
  aStream.mArrived = 0;
  aStream.mAdmitted = 0;
  aStream.mAccepted = 0;
  aStream.mRefused = 0;
  aStream.mPressure = 0;
}

void
EntryThrottle::Cut(TimePoint aNow, Stream& aStream, double aSeconds)
{
  const double refused =
    double(aStream.mRefused) / (aStream.mRefused + aStream.mAccepted);
  const double accepted = aStream.mAccepted / aSeconds;
  if (!aStream.mThrottled) {
    aStream.mThrottled = true;
    aStream.mRate =
      std::max(aStream.mAdmitted / aSeconds * (1 - refused), accepted);
    aStream.mTokens = 0;
    aStream.mTokenTime = aNow;
    aStream.mHoldUntil = aNow + kInterval;
  } else if (aNow < aStream.mHoldUntil) {
    return;
  } else if (refused > kLargeShare) {
    aStream.mRate = std::min(aStream.mRate,
                             std::max(aStream.mRate * (1 - refused), accepted));
    aStream.mHoldUntil = aNow + kInterval;
  } else {
    // Half of the excess: the replies lag by about an interval, and the whole
    // of it would make the rate swing.
    aStream.mRate *= 1 - refused / 2;
  }
  aStream.mRate = std::max(aStream.mRate, kMinRate);
}

void
EntryThrottle::Grow(TimePoint aNow, const ThrottleKey& aKey, Stream& aStream)
{
  // The replies of an interval that a pause has stretched are as old as the
  // pause is long.
  const bool isStale = aNow - aStream.mBegin >= kStale;
  const uint32_t replies = isStale ? 0 : aStream.mAccepted;
  const View& view =
    mViews[{ aKey.mService, aKey.mRequestClass, aKey.mImportance }];
  double pressure = 1;
  if (replies > 0) {
    pressure = aStream.mPressure / replies;
  } else if (view.mRelaxed > view.mPressed) {
    pressure = 0;
  } else {
    // Nothing was heard for a while: the rate grows until a call tells.
    const Duration patience =
      FromSeconds(std::clamp(2 / aStream.mRate, 0.3, 1.0));
    pressure =
      aNow - std::max(aStream.mLastReply, view.mPressed) > patience ? 0 : 1;
  }
  if (pressure < kRelaxed) {
    // A slow stream closes an interval only with its next call, after several
    // doublings.
    const double intervals =
      ToSeconds(aNow - aStream.mBegin) / ToSeconds(kInterval);
    aStream.mRate *= std::exp2(std::clamp(intervals, 1.0, 10.0));
  } else if (pressure < kHalfFull) {
    aStream.mRate *= 1.03;
  } else if (pressure < kNearlyFull) {
    aStream.mRate *= 1.01;
  } else if (replies > 0) {
    aStream.mRate *= 1.004;
  }
  const double demand =
    std::max(aStream.mDemand, aStream.mArrived / ToSeconds(kInterval));
  if (pressure < kRelaxed && aStream.mRate > 2 * demand) {
    aStream.mThrottled = false;
  }
  aStream.mRate = std::min(aStream.mRate, 4 * demand + 1);
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
    return aNow - std::max(aItem.second.mPressed, aItem.second.mRelaxed) >=
           kForget;
  });
}

Duration
EntryThrottle::DrawLength()
{
  // Drawn lengths keep the entry nodes from changing their rates together.
  return FromSeconds(ToSeconds(kInterval) * mRng.Uniform(0.8, 1.2));
}

} // namespace amaranthgap
