#pragma once

#include "base/Time.h"

namespace amaranthgap {

/** What the targets that a request and its calls reach can take. */
struct TreeLoad
{
  /** Part of such requests that is to be admitted, in (0, 1]. */
  double mShare = 1;
  /** Demand of such requests and of more important ones, before any refusal,
   * as a part of the capacity of the busiest target. */
  double mDemand = 0;

  /** @return the tighter of two, as both have to be passed. */
  [[nodiscard]] static TreeLoad Tighter(const TreeLoad& aOne,
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
  /** @return what was told last, however old. */
  [[nodiscard]] const TreeLoad& Latest() const { return mValue; }
  /** @return when it was told last. */
  [[nodiscard]] TimePoint Time() const { return mTime; }

private:
  TreeLoad mValue;
  TimePoint mTime{};
};

} // namespace amaranthgap
