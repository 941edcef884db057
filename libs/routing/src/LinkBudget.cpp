#include "routing/LinkBudget.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

// Bytes of this much time may go out in one burst.
constexpr double kBurstSeconds = 0.1;

} // namespace

void
LinkBudget::SetRate(TimePoint aNow, double aBytesPerSecond)
{
  const double rate =
    std::isfinite(aBytesPerSecond) ? std::max(0.0, aBytesPerSecond) : 0.0;
  if (mRate == 0 && mTokens >= 0) {
    mTokens = rate * kBurstSeconds;
    mTime = aNow;
  } else {
    Refill(aNow);
  }
  mRate = rate;
  mTokens = std::min(mTokens, mRate * kBurstSeconds);
}

bool
LinkBudget::TryTake(TimePoint aNow, double aBytes)
{
  Refill(aNow);
  // An answer larger than the bucket goes out when the bucket is full and
  // leaves a debt; otherwise it could never be sent.
  const double bytes = std::max(0.0, aBytes);
  if (mRate <= 0 || mTokens < std::min(bytes, mRate * kBurstSeconds)) {
    return false;
  }
  mTokens -= bytes;
  return true;
}

void
LinkBudget::AddUsage(TimePoint aNow, double aBytes)
{
  Refill(aNow);
  mTokens = std::min(mTokens - aBytes, mRate * kBurstSeconds);
}

void
LinkBudget::Refill(TimePoint aNow)
{
  if (aNow > mTime) {
    mTokens = std::min(mTokens + mRate * ToSeconds(aNow - mTime),
                       mRate * kBurstSeconds);
    mTime = aNow;
  }
}

} // namespace amaranthgap
