#pragma once

#include "base/Rng.h"
#include "base/Time.h"

namespace amaranthgap {

/** Paces the calls of one task to a store that may be unavailable: at once
 * after a success, with exponential backoff after failures. Not thread-safe. */
class CallPacer
{
public:
  explicit CallPacer(uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  [[nodiscard]] bool MayStart(TimePoint aNow) const
  {
    return !mIsInFlight && aNow >= mNextStart;
  }
  void Started() { mIsInFlight = true; }
  /** @param aPause until the next call. */
  void Succeeded(TimePoint aNow, Duration aPause = Duration::zero());
  void Failed(TimePoint aNow);
  [[nodiscard]] bool IsFailing() const { return mBackoff > Duration::zero(); }

private:
  Rng mRng;
  bool mIsInFlight = false;
  TimePoint mNextStart{};
  Duration mBackoff{};
};

} // namespace amaranthgap
