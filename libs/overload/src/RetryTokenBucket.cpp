#include "overload/RetryTokenBucket.h"

#include <algorithm>

namespace amaranthgap {

void
RetryTokenBucket::AddFirstAttempt(double aRatio)
{
  mTokens = std::min(mMaxTokens, mTokens + std::max(0.0, aRatio));
}

bool
RetryTokenBucket::TryTake()
{
  // Ten additions of 0.1 give slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (mTokens + kRounding < 1) {
    return false;
  }
  mTokens = std::max(0.0, mTokens - 1);
  return true;
}

} // namespace amaranthgap
