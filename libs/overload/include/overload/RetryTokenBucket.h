#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** Bounds retries to a share of first attempts for one service at one node.
 * Not safe for use by several threads. */
class RetryTokenBucket
{
public:
  struct Options
  {
    double mInitialTokens = 10; ///< Tokens at the start.
    double mMaxTokens = 10;     ///< Tokens that can be saved up.
  };

  RetryTokenBucket()
    : RetryTokenBucket(Options{})
  {
  }
  explicit RetryTokenBucket(const Options& aOptions)
    : mMaxTokens(aOptions.mMaxTokens)
    , mTokens(aOptions.mInitialTokens)
  {
  }

  void AddFirstAttempt(double aRatio);
  /** @return whether a retry may be sent; takes the token. */
  bool TryTake();

private:
  double mMaxTokens;
  double mTokens;
};

} // namespace amaranthgap
