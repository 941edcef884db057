#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "forwarding/RateLimiter.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** What an answer of an upstream says of the upstream itself. */
struct AnswerNotice
{
  /** Rate of requests that it takes from all nodes together; no limit if empty.
   */
  std::optional<double> mRequestsPerSecond;
  bool mIsLeaving = false;
  std::string mUnusable; ///< Header that could not be read; empty if none.
};

/** Keeps what the upstream beside a node tells of itself: in its answers, and
 * before a restart of the node, as returned by peers. Keeps the rate limit of
 * the upstream up to date. Not thread-safe. */
class NoticeTracker
{
public:
  /** Sets the present run of the upstream.
   * @param aStartedMillis start of the run; 0 if unknown.
   * @param aIsLeaving whether it has announced that it leaves. */
  void SetRun(TimePoint aNow,
              RateLimiter& aRate,
              const std::string& aInstance,
              int64_t aStartedMillis,
              bool aIsLeaving);
  /** Takes what an answer of the present run says.
   * @param aHasRun whether the upstream ran the request.
   * @return whether it says something else than before. */
  bool Answered(TimePoint aNow,
                RateLimiter& aRate,
                const AnswerNotice& aNotice,
                bool aHasRun);
  /** Takes what a peer was told before this node started. Its rate limit holds
   * until an answer tells; of several, the lowest. */
  void Returned(TimePoint aNow,
                RateLimiter& aRate,
                const UpstreamNotice& aNotice);

  [[nodiscard]] const std::string& Instance() const { return mInstance; }
  [[nodiscard]] int64_t StartedMillis() const { return mStartedMillis; }
  /** @return what restricts the use of the upstream, if anything. */
  [[nodiscard]] std::optional<UpstreamNotice> Current(
    const RateLimiter& aRate) const;

private:
  void ApplyReturned(TimePoint aNow, RateLimiter& aRate);

  std::string mInstance;
  int64_t mStartedMillis = 0;
  bool mIsLeaving = false;
  bool mHasAnswered = false; ///< Whether an answer of this instance has told.
  AnswerNotice mLatest;
  std::optional<UpstreamNotice> mReturned; ///< Has a rate limit.
};

} // namespace amaranthgap
