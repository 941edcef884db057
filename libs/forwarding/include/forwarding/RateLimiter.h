#pragma once

#include <optional>

#include "base/Time.h"

namespace amaranthgap {

/** Token bucket for the rate limit that an upstream names in its answers. The
 * limit covers the requests of all nodes and holds for as long as answers name
 * it. Not thread-safe. */
class RateLimiter
{
public:
  /** Takes the limit named by an answer.
   * @param aPerSecond requests per second; empty if the answer names none.
   * @return whether the limit changed. */
  bool Answered(TimePoint aNow, std::optional<double> aPerSecond);
  /** Removes the limit: another upstream is in its place. */
  void Reset() { *this = {}; }

  /** Takes a token. @return whether a request may start. */
  bool TryTake(TimePoint aNow);
  /** @return the time until a request gets a token.
   * @param aAhead requests that get theirs before it. */
  [[nodiscard]] Duration WaitFor(TimePoint aNow, size_t aAhead) const;
  /** @return the limit in requests per second; empty if there is none. */
  [[nodiscard]] std::optional<double> PerSecond() const { return mPerSecond; }

private:
  /** @return the rate at which requests start. */
  [[nodiscard]] double Rate() const;
  [[nodiscard]] double TokensAt(TimePoint aNow) const;

  std::optional<double> mPerSecond;
  TimePoint mNamedAt{}; ///< Latest answer that names a limit.
  double mTokens = 0;
  TimePoint mTime{}; ///< Of mTokens.
};

} // namespace amaranthgap
