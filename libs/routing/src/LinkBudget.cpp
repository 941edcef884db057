#include "routing/LinkBudget.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

// Capacity of the bucket, as the time in which it fills up.
constexpr double kMaxBurstSeconds = 0.1;

} // namespace

void
LinkBudget::SetRate(TimePoint aNow, double aBytesPerSecond)
{
  const double rate =
    std::isfinite(aBytesPerSecond) ? std::max(0.0, aBytesPerSecond) : 0.0;
  if (mRate == 0 && mTokens >= 0) {
    mTokens = rate * kMaxBurstSeconds;
    mTime = aNow;
  } else {
    Refill(aNow);
  }
  mRate = rate;
  mTokens = std::min(mTokens, mRate * kMaxBurstSeconds);
}

bool
LinkBudget::TryTake(TimePoint aNow, double aBytes)
{
  Refill(aNow);
  // A call larger than the bucket is allowed when the bucket is full, and makes
  // the balance negative; otherwise it could never be sent.
  const double bytes = std::max(0.0, aBytes);
  if (mRate <= 0 || mTokens < std::min(bytes, mRate * kMaxBurstSeconds)) {
    return false;
  }
  mTokens -= bytes;
  return true;
}

void
LinkBudget::AddUsage(TimePoint aNow, double aBytes)
{
  Refill(aNow);
  mTokens = std::min(mTokens - aBytes, mRate * kMaxBurstSeconds);
}

void
LinkBudget::Refill(TimePoint aNow)
{
  if (aNow > mTime) {
    mTokens = std::min(mTokens + mRate * ToSeconds(aNow - mTime),
                       mRate * kMaxBurstSeconds);
    mTime = aNow;
  }
}

} // namespace amaranthgap
