#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** What the targets that a request and its calls reach can take. */
struct TreeLoad
{
  /** Share from which on everything is admitted, and failures as they happen
   * everywhere. */
  static constexpr double kFullShare = 0.98;
  static constexpr double kBaselineFailureRatio = 0.03;

  /** Part of such requests that is to be admitted, in (0, 1]. */
  double mShare = 1;
  /** Demand of such requests and of more important ones, before any refusal,
   * as a part of the capacity of the busiest target. */
  double mDemand = 0;
  /** Part of such requests that failed there after they were admitted. */
  double mFailureRatio = 0;

  /** @return the part of such requests that is admitted and served. */
  [[nodiscard]] double Value() const { return mShare * (1 - mFailureRatio); }

  /** @return whether others have to know it, as it is not what they assume. */
  [[nodiscard]] bool NeedsReport() const
  {
    return mShare < kFullShare || mFailureRatio > kBaselineFailureRatio;
  }

  /** @return the tighter of two, as both have to be passed. */
  [[nodiscard]] static TreeLoad MostRestrictive(const TreeLoad& aOne,
                                                const TreeLoad& aOther);
};

/** TreeLoad as replies tell it, smoothed. Follows them within a few hundred
 * milliseconds, and forgets them when none come any more. Not safe for use by
 * several threads. */
class SmoothedLoad
{
public:
  void Note(TimePoint aNow, const TreeLoad& aLoad);
  [[nodiscard]] TreeLoad Value(TimePoint aNow) const;

private:
  TreeLoad mValue;
  TimePoint mTime{};
};

} // namespace amaranthgap
