#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** Token bucket that limits retries to a ratio of the first attempts, for one
 * service at one node. Not thread-safe. */
class RetryTokenBucket
{
public:
  struct Options
  {
    double mInitialTokens = 10; ///< A retry takes one token.
    double mMaxTokens = 10;     ///< Capacity of the bucket.
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

  /** Adds the tokens of one first attempt. @param aRatio retries per first
   * attempt. */
  void AddFirstAttempt(double aRatio);
  /** Takes a token if there is one. @return whether a retry may be sent. */
  bool TryTake();

private:
  double mMaxTokens;
  double mTokens;
};

} // namespace amaranthgap
