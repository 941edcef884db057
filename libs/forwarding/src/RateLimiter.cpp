#include "forwarding/RateLimiter.h"

#include <algorithm>

namespace amaranthgap {

namespace {

// Requests that may start at once after a pause, in time at the rate limit.
constexpr double kBurstSeconds = 0.2;
// Lowest rate at which requests start. Without any, no answer would tell that
// the limit has ended.
constexpr double kProbesPerSecond = 0.5;
// Answers without a limit end it only after this time: answers may overtake
// each other.
constexpr Duration kHoldTime = milliseconds(500);

} // namespace

double
RateLimiter::Rate() const
{
  return std::max(*mPerSecond, kProbesPerSecond);
}

double
RateLimiter::TokensAt(TimePoint aNow) const
{
  const double most = std::max(1.0, Rate() * kBurstSeconds);
  const double earned = Rate() * std::max(0.0, ToSeconds(aNow - mTime));
  return std::min(most, mTokens + earned);
}

bool
RateLimiter::Answered(TimePoint aNow, std::optional<double> aPerSecond)
{
  if (!aPerSecond) {
    if (!mPerSecond || aNow - mNamedAt < kHoldTime) {
      return false;
    }
    Reset();
    return true;
  }
  mNamedAt = aNow;
  if (mPerSecond == aPerSecond) {
    return false;
  }
  mTokens = mPerSecond ? TokensAt(aNow) : 0;
  mTime = aNow;
  mPerSecond = aPerSecond;
  return true;
}

bool
RateLimiter::TryTake(TimePoint aNow)
{
  if (!mPerSecond) {
    return true;
  }
  mTokens = TokensAt(aNow);
  mTime = std::max(mTime, aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

Duration
RateLimiter::WaitFor(TimePoint aNow, size_t aAhead) const
{
  if (!mPerSecond) {
    return Duration::zero();
  }
  const double missing = double(aAhead + 1) - TokensAt(aNow);
  return FromSeconds(std::max(0.0, missing) / Rate());
}

} // namespace amaranthgap
