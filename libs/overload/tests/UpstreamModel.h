#pragma once

#include <cmath>
#include <functional>
#include <queue>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "overload/ConcurrencyLimiter.h"

namespace amaranthgap {

/** Service times of the model, in seconds. */
enum class Shape : uint8_t
{
  Constant,
  LogNormal, ///< Sigma 0.5.
  Exponential,
  Bimodal, ///< One call in ten takes ten times as long as the others.
};

struct ModelClass
{
  double mSeconds = 0.02; ///< Mean service time.
  Shape mShape = Shape::LogNormal;
};

struct ModelOptions
{
  double mSlots = 25; ///< True capacity; more calls share it.
  std::vector<ModelClass> mClasses;
  double mLoad = 2;        ///< Demand over capacity.
  uint32_t mShedAbove = 0; ///< The upstream refuses further calls; 0 is never.
  uint32_t mMaxWaiting = 50;
  std::function<double(double)> mSlowdown; ///< Of the service, over seconds.
  std::function<double(double)> mCapacity; ///< Factor on the slots.
  std::function<double(double)> mDemand;   ///< Factor on the load.
};

/** Upstream with processor sharing behind a limiter, with Poisson arrivals. */
class UpstreamModel
{
public:
  struct Window
  {
    double mUse = 0; ///< Share of the capacity that was used.
    double mMeanLimit = 0;
    double mMaxLimit = 0;
    double mShedShare = 0; ///< Of the calls sent to the upstream.
  };

  UpstreamModel(ModelOptions aOptions,
                const ConcurrencyLimiter::Options& aLimiter,
                uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mLimiter(aLimiter)
    , mRng(aSeed)
  {
    for (const auto& one : mOptions.mClasses) {
      mMeanWork += one.mSeconds / double(mOptions.mClasses.size());
    }
    mNextArrival = DrawInterval();
  }

  /** Runs until the given second. @return what happened since the last call. */
  Window RunUntil(double aEnd)
  {
    double used = 0;
    double possible = 0;
    double limitTime = 0;
    double maxLimit = 0;
    double sent = 0;
    double shed = 0;
    const double begin = mNow;
    while (mNow < aEnd) {
      const double slots = mOptions.mSlots * At(mOptions.mCapacity);
      const double slow = At(mOptions.mSlowdown);
      const double n = double(mRunning.size());
      const double rate = n > 0 ? std::min(1.0, slots / n) / slow : 0;
      // Short steps follow the changes of slowdown and capacity over time.
      double step = std::min({ 0.02, aEnd - mNow, mNextArrival - mNow });
      if (rate > 0) {
        step = std::min(step, (mRunning.top().mEnd - mVirtual) / rate);
      }
      step = std::max(step, 0.0);
      const double limit = mLimiter.Limit(Now());
      limitTime += limit * step;
      maxLimit = std::max(maxLimit, limit);
      possible += slots / slow * step;
      used += std::min(n, slots) / slow * step;
      mNow += step;
      mVirtual += rate * step;
      while (!mRunning.empty() && mRunning.top().mEnd <= mVirtual + 1e-9) {
        const Running done = mRunning.top();
        mRunning.pop();
        mLimiter.Finished(Now(),
                          { .mClass = done.mClass,
                            .mStarted = done.mStarted,
                            .mOwnTime = Now() - done.mStarted });
      }
      if (mNow >= mNextArrival) {
        mNextArrival = mNow + DrawInterval();
        mWaiting += mWaiting < mOptions.mMaxWaiting ? 1 : 0;
      }
      while (mWaiting > 0 && mRunning.size() < mLimiter.Limit(Now())) {
        --mWaiting;
        ++sent;
        mLimiter.Started(Now(), uint32_t(mRunning.size()) + 1, mWaiting > 0);
        if (mOptions.mShedAbove > 0 && mRunning.size() >= mOptions.mShedAbove) {
          ++shed;
          mLimiter.Finished(
            Now(),
            { .mStarted = Now(), .mOwnTime = milliseconds(1), .mShed = true });
          continue;
        }
        const size_t index = mRng.Below(mOptions.mClasses.size());
        const double work = DrawWork(mOptions.mClasses[index]);
        mRunning.push({ mVirtual + work, index, Now() });
      }
    }
    return { .mUse = used / possible,
             .mMeanLimit = limitTime / (mNow - begin),
             .mMaxLimit = maxLimit,
             .mShedShare = shed / std::max(1.0, sent) };
  }

  ConcurrencyLimiter& Limiter() { return mLimiter; }

private:
  struct Running
  {
    double mEnd = 0; ///< In virtual time.
    uint64_t mClass = 0;
    TimePoint mStarted;
    bool operator<(const Running& aOther) const { return mEnd > aOther.mEnd; }
  };

  [[nodiscard]] TimePoint Now() const
  {
    return TimePoint{} + FromSeconds(mNow);
  }

  [[nodiscard]] double At(const std::function<double(double)>& aFactor) const
  {
    return aFactor ? aFactor(mNow) : 1.0;
  }

  double DrawInterval()
  {
    const double rate =
      mOptions.mLoad * At(mOptions.mDemand) * mOptions.mSlots / mMeanWork;
    return -std::log(1 - mRng.Uniform()) / rate;
  }

  double DrawWork(const ModelClass& aClass)
  {
    constexpr double kSigma = 0.5;
    switch (aClass.mShape) {
      case Shape::Constant:
        return aClass.mSeconds;
      case Shape::LogNormal: {
        const double normal = std::sqrt(-2 * std::log(1 - mRng.Uniform())) *
                              std::cos(2 * 3.14159265358979 * mRng.Uniform());
        return aClass.mSeconds *
               std::exp(kSigma * normal - kSigma * kSigma / 2);
      }
      case Shape::Exponential:
        return -aClass.mSeconds * std::log(1 - mRng.Uniform());
      case Shape::Bimodal:
        return aClass.mSeconds / 1.9 * (mRng.Uniform() < 0.1 ? 10 : 1);
    }
    return aClass.mSeconds;
  }

  ModelOptions mOptions;
  ConcurrencyLimiter mLimiter;
  Rng mRng;
  double mMeanWork = 0;
  double mNow = 0;
  double mVirtual = 0;
  double mNextArrival = 0;
  uint32_t mWaiting = 0;
  std::priority_queue<Running> mRunning;
};

} // namespace amaranthgap
