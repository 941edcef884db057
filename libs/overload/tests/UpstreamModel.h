#pragma once

#include <cmath>
#include <functional>
#include <queue>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "overload/ConcurrencyLimiter.h"

namespace amaranthgap {

/** Distribution of service times around a given mean. */
enum class ServiceTimeDistribution : uint8_t
{
  Constant,
  LogNormal, ///< Sigma 0.5.
  Exponential,
  Bimodal, ///< One call in ten takes ten times as long as the others.
};

struct ModelRequestClass
{
  double mMeanSeconds = 0.02; ///< Mean service time.
  ServiceTimeDistribution mDistribution = ServiceTimeDistribution::LogNormal;
};

struct UpstreamModelOptions
{
  /** Calls that run at full speed; further calls share this capacity. */
  double mSlots = 25;
  std::vector<ModelRequestClass> mClasses;
  double mLoad = 2; ///< Demand over capacity.
  /** The upstream sheds calls that arrive while this many run; 0 disables
   * shedding. */
  uint32_t mShedThreshold = 0;
  uint32_t mMaxWaiting = 50; ///< Arrivals beyond it are discarded.
  // Factors as functions of the time in seconds; 1 when unset.
  std::function<double(double)> mServiceTimeFactor;
  std::function<double(double)> mCapacityFactor; ///< Applies to mSlots.
  std::function<double(double)> mLoadFactor;
};

/** Simulates an upstream with processor sharing and Poisson arrivals, behind a
 * concurrency limiter. */
class UpstreamModel
{
public:
  struct WindowStats
  {
    double mUtilisation = 0; ///< Share of the capacity that was used.
    double mMeanLimit = 0;
    double mMaxLimit = 0;
    double mShedShare = 0; ///< Share of the sent calls that were shed.
  };

  UpstreamModel(UpstreamModelOptions aOptions,
                const ConcurrencyLimiter::Options& aLimiter,
                uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mLimiter(aLimiter)
    , mRng(aSeed)
  {
    for (const auto& requestClass : mOptions.mClasses) {
      mMeanServiceSeconds +=
        requestClass.mMeanSeconds / double(mOptions.mClasses.size());
    }
    mNextArrival = DrawInterarrivalSeconds();
  }

  /** Simulates until aEnd, in seconds. @return statistics since the previous
   * call of this function. */
  WindowStats RunUntil(double aEnd)
  {
    double used = 0;
    double available = 0;
    double limitIntegral = 0;
    double maxLimit = 0;
    double sent = 0;
    double shed = 0;
    const double begin = mNow;
    while (mNow < aEnd) {
      const double slots =
        mOptions.mSlots * CurrentFactor(mOptions.mCapacityFactor);
      const double slowdown = CurrentFactor(mOptions.mServiceTimeFactor);
      const double inFlight = double(mRunning.size());
      const double rate =
        inFlight > 0 ? std::min(1.0, slots / inFlight) / slowdown : 0;
      // Steps of at most 20 ms track the factors that change over time.
      double step = std::min({ 0.02, aEnd - mNow, mNextArrival - mNow });
      if (rate > 0) {
        step =
          std::min(step, (mRunning.top().mVirtualEnd - mVirtualTime) / rate);
      }
      step = std::max(step, 0.0);
      const double limit = mLimiter.Limit(Now());
      limitIntegral += limit * step;
      maxLimit = std::max(maxLimit, limit);
      available += slots / slowdown * step;
      used += std::min(inFlight, slots) / slowdown * step;
      mNow += step;
      mVirtualTime += rate * step;
      while (!mRunning.empty() &&
             mRunning.top().mVirtualEnd <= mVirtualTime + 1e-9) {
        const RunningCall done = mRunning.top();
        mRunning.pop();
        mLimiter.Finished(Now(),
                          { .mClass = done.mClass,
                            .mStarted = done.mStarted,
                            .mOwnTime = Now() - done.mStarted });
      }
      if (mNow >= mNextArrival) {
        mNextArrival = mNow + DrawInterarrivalSeconds();
        mWaiting += mWaiting < mOptions.mMaxWaiting ? 1 : 0;
      }
      while (mWaiting > 0 && mRunning.size() < mLimiter.Limit(Now())) {
        --mWaiting;
        ++sent;
        mLimiter.Started(Now(), uint32_t(mRunning.size()) + 1, mWaiting > 0);
        if (mOptions.mShedThreshold > 0 &&
            mRunning.size() >= mOptions.mShedThreshold) {
          ++shed;
          mLimiter.Finished(
            Now(),
            { .mStarted = Now(), .mOwnTime = milliseconds(1), .mShed = true });
          continue;
        }
        const size_t index = mRng.Below(mOptions.mClasses.size());
        const double serviceSeconds =
          DrawServiceSeconds(mOptions.mClasses[index]);
        mRunning.push({ mVirtualTime + serviceSeconds, index, Now() });
      }
    }
    return { .mUtilisation = used / available,
             .mMeanLimit = limitIntegral / (mNow - begin),
             .mMaxLimit = maxLimit,
             .mShedShare = shed / std::max(1.0, sent) };
  }

  ConcurrencyLimiter& Limiter() { return mLimiter; }

private:
  struct RunningCall
  {
    double mVirtualEnd = 0; ///< Virtual time at which the call finishes.
    uint64_t mClass = 0;
    TimePoint mStarted;
    bool operator<(const RunningCall& aOther) const
    {
      return mVirtualEnd > aOther.mVirtualEnd;
    }
  };

  [[nodiscard]] TimePoint Now() const
  {
    return TimePoint{} + FromSeconds(mNow);
  }

  [[nodiscard]] double CurrentFactor(
    const std::function<double(double)>& aFactor) const
  {
    return aFactor ? aFactor(mNow) : 1.0;
  }

  double DrawInterarrivalSeconds()
  {
    const double rate = mOptions.mLoad * CurrentFactor(mOptions.mLoadFactor) *
                        mOptions.mSlots / mMeanServiceSeconds;
    return -std::log(1 - mRng.Uniform()) / rate;
  }

  double DrawServiceSeconds(const ModelRequestClass& aClass)
  {
    constexpr double kSigma = 0.5;
    switch (aClass.mDistribution) {
      case ServiceTimeDistribution::Constant:
        return aClass.mMeanSeconds;
      case ServiceTimeDistribution::LogNormal: {
        const double normal = std::sqrt(-2 * std::log(1 - mRng.Uniform())) *
                              std::cos(2 * 3.14159265358979 * mRng.Uniform());
        return aClass.mMeanSeconds *
               std::exp(kSigma * normal - kSigma * kSigma / 2);
      }
      case ServiceTimeDistribution::Exponential:
        return -aClass.mMeanSeconds * std::log(1 - mRng.Uniform());
      case ServiceTimeDistribution::Bimodal:
        return aClass.mMeanSeconds / 1.9 * (mRng.Uniform() < 0.1 ? 10 : 1);
    }
    return aClass.mMeanSeconds;
  }

  UpstreamModelOptions mOptions;
  ConcurrencyLimiter mLimiter;
  Rng mRng;
  double mMeanServiceSeconds = 0;
  double mNow = 0; ///< Seconds.
  /** Seconds of service that each running call has received. */
  double mVirtualTime = 0;
  double mNextArrival = 0; ///< Seconds.
  uint32_t mWaiting = 0;
  std::priority_queue<RunningCall> mRunning;
};

} // namespace amaranthgap
