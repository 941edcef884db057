#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** Bounds retries to a share of first attempts for one service at one node.
 * Not safe for use by several threads. */
class RetryRatio
{
public:
  void FirstAttempt(double aRatio);
  /** @return whether a retry may be sent; takes the token. */
  bool TryTake();

private:
  static constexpr double kMaxTokens = 10;
  double mTokens = kMaxTokens;
};

} // namespace amaranthgap
