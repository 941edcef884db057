#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** Token bucket that limits the bytes which one node sends over the links to
 * other regions. Not thread-safe. */
class LinkBudget
{
public:
  void SetRate(TimePoint aNow, double aBytesPerSecond);
  /** Takes the bytes from the bucket.
   * @return false, without taking any, if they do not fit. */
  bool TryTake(TimePoint aNow, double aBytes);
  /** Takes the bytes by which a call exceeded its expected size, without limit;
   * a negative number returns bytes. */
  void AddUsage(TimePoint aNow, double aBytes);

private:
  void Refill(TimePoint aNow);

  double mRate = 0; ///< In bytes per second.
  /** In bytes; negative after a call larger than the bucket. */
  double mTokens = 0;
  TimePoint mTime; ///< Of the last refill.
};

} // namespace amaranthgap
