#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** Share of the links to other regions that one node may use, as a token
 * bucket of bytes. Not safe for use by several threads. */
class LinkBudget
{
public:
  void SetRate(TimePoint aNow, double aBytesPerSecond);
  /** @return whether the bytes fit; takes them when they do. */
  bool TryTake(TimePoint aNow, double aBytes);
  /** Books the difference between expected and real size afterwards. */
  void AddUsage(TimePoint aNow, double aBytes);

private:
  void Refill(TimePoint aNow);

  double mRate = 0;
  double mTokens = 0; ///< Negative after an answer larger than the bucket.
  TimePoint mTime;
};

} // namespace amaranthgap
