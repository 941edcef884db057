#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** Load of the targets that a request and the calls below it reach. */
struct TreeLoad
{
  /** Minimum share that counts as full admission, and maximum failure ratio
   * that counts as normal. */
  static constexpr double kFullShare = 0.98;
  static constexpr double kBaselineFailureRatio = 0.03;

  /** Share of these requests to admit, in (0, 1]. */
  double mShare = 1;
  /** Demand of these requests and of those with higher priority before any
   * refusal, relative to the capacity of the busiest target. */
  double mDemand = 0;
  /** Share of the admitted requests that failed. */
  double mFailureRatio = 0;

  /** @return the share of these requests that is admitted and succeeds. */
  [[nodiscard]] double ServedShare() const
  {
    return mShare * (1 - mFailureRatio);
  }

  /** @return whether the load deviates from what other nodes assume by default.
   */
  [[nodiscard]] bool NeedsReport() const
  {
    return mShare < kFullShare || mFailureRatio > kBaselineFailureRatio;
  }

  /** @return the lower share and the higher demand and failure ratio of two
   * loads, for a request that needs the targets of both. */
  [[nodiscard]] static TreeLoad MostRestrictive(const TreeLoad& aOne,
                                                const TreeLoad& aOther);
};

/** Exponentially smoothed TreeLoad from replies. Follows changes within a few
 * hundred milliseconds, and decays to the default load if updates stop. Not
 * thread-safe. */
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
