#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "forwarding/RateLimiter.h"

namespace amaranthgap {

/** Request for a slot of the upstream. */
struct SlotRequest
{
  ExecutionId mExecution;
  uint32_t mPriority = 0; ///< 0 is the highest priority.
  bool mIsNested = false; ///< Whether a running request made this call.
  TimePoint mDeadline;
  Duration mLatencyTarget = seconds(1); ///< Desired response time.
};

/** Limits the concurrent requests of the upstream beside a node, and their rate
 * while the upstream names a limit, and queues the excess. All requests to the
 * upstream pass through it, so it counts them itself instead of relying on
 * reports. Requests that cannot start in time are refused at once.
 *
 * The queue is ordered by priority, which calls inherit from the request that
 * made them, then nested before root requests, then by arrival. Refusing a
 * nested request wastes the work of its whole call tree, so it may wait longer;
 * a root request is refused early, while its caller has time to retry. Not
 * thread-safe. */
class UpstreamLimiter
{
public:
  struct Options
  {
    /** Maximum share of the slots in use. Some upstreams slow down when nearly
     * all of their slots are taken. */
    double mSlotShare = 0.95;
    uint32_t mQueueCapacity = 256;
  };

  struct OfferResult
  {
    bool mStarted = false;
    bool mQueued = false;
    /** Removed from the full queue to make room. */
    std::vector<ExecutionId> mEvicted;
  };

  explicit UpstreamLimiter(const Options& aOptions);

  /** Sets the number of slots; 0 while the upstream takes no work. */
  void SetSlots(uint32_t aSlots);

  /** @return the rate limit that the upstream names. */
  RateLimiter& Rate() { return mRate; }
  [[nodiscard]] const RateLimiter& Rate() const { return mRate; }

  OfferResult Offer(TimePoint aNow, const SlotRequest& aRequest);
  /** Records the end of a running request.
   * @param aRun run time; zero if it is not representative. */
  void Finished(Duration aRun);
  /** Removes the first queued request and counts it as running.
   * @return that request, or nothing if none is queued, no slot is free or the
   * rate limit is reached. */
  std::optional<ExecutionId> StartNextQueued(TimePoint aNow);
  /** Removes a request from the queue.
   * @return whether it was queued. */
  bool Remove(ExecutionId aExecution);
  /** Removes and returns the requests that have exceeded their maximum wait. */
  std::vector<ExecutionId> RemoveOverdue(TimePoint aNow);
  /** Removes and returns all queued requests. */
  std::vector<ExecutionId> RemoveAll();

  /** @return the maximum time that a request may wait for a slot. */
  [[nodiscard]] static Duration MaxWait(const SlotRequest& aRequest);

  [[nodiscard]] uint32_t Limit() const { return mLimit; }
  /** @return the number of requests that can run at once, which the rate limit
   * may keep below Limit(). */
  [[nodiscard]] uint32_t UsableSlots() const;
  [[nodiscard]] uint32_t Running() const { return mRunning; }
  [[nodiscard]] size_t Waiting() const { return mQueue.size(); }
  /** @return the expected wait before a new request of the given priority and
   * nesting starts. */
  [[nodiscard]] Duration EstimateWait(TimePoint aNow,
                                      uint32_t aPriority,
                                      bool aIsNested) const;

private:
  struct Entry
  {
    SlotRequest mRequest;
    TimePoint mStartBy;
    uint64_t mSequence = 0;

    [[nodiscard]] bool operator<(const Entry& aOther) const;
  };
  using Queue = std::set<Entry>;

  [[nodiscard]] Duration ExpectedWait(TimePoint aNow, size_t aAhead) const;
  Queue::iterator Erase(Queue::iterator aPosition);

  Options mOptions;
  RateLimiter mRate;
  uint32_t mLimit = 0;
  uint32_t mRunning = 0;
  double mMeanRunSeconds = 0.05; ///< Smoothed.
  uint64_t mNextSequence = 0;
  Queue mQueue;
  std::unordered_map<ExecutionId, Queue::iterator> mIndex;
  /** Queued requests by rank: priority, and whether it is a root request. */
  std::map<std::pair<uint32_t, bool>, size_t> mWaitingByRank;
};

} // namespace amaranthgap
