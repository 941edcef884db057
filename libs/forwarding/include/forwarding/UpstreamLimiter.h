#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"

namespace amaranthgap {

/** Request that asks for a slot of the upstream. */
struct SlotRequest
{
  ExecutionId mExecution;
  uint32_t mPriority = 0; ///< 0 is the most important.
  bool mIsNested = false; ///< Called by a request that already runs.
  TimePoint mDeadline;
  Duration mLatencyTarget = seconds(1); ///< In which an answer is wanted.
};

/** Admits requests to the one upstream beside a node. This is the only way to
 * that upstream, so that the number of running requests is known and not
 * reported. Answers the load of the upstream itself: it never gets more than
 * its slots take, and what cannot start in time is refused at once.
 *
 * Waiting requests start by priority, which calls inherit from the request
 * that made them, then nested before first, then by arrival. A nested request
 * that is refused loses the work of its whole tree, so it also may wait longer;
 * a first one is refused early, while its caller has time to come back. Not
 * safe for use by several threads. */
class UpstreamLimiter
{
public:
  struct Options
  {
    /** Part of the slots in use at most. Some upstreams slow down when nearly
     * all of their slots are taken. */
    double mSlotShare = 0.95;
    uint32_t mQueueCapacity = 256;
  };

  struct Verdict
  {
    bool mStarted = false;
    bool mQueued = false;
    std::vector<ExecutionId> mEvicted; ///< Displaced by the offered request.
  };

  explicit UpstreamLimiter(const Options& aOptions);

  /** Sets the slots of the upstream; 0 while it takes no work. */
  void SetSlots(uint32_t aSlots);

  Verdict Offer(TimePoint aNow, const SlotRequest& aRequest);
  /** Notes the end of a running request.
   * @param aRun how long it ran; zero when that tells nothing. */
  void Finished(Duration aRun);
  /** @return the next waiting request to start, now running. */
  std::optional<ExecutionId> StartNextQueued();
  /** @return whether the request was waiting. */
  bool Remove(ExecutionId aExecution);
  /** @return requests that have waited too long, now removed. */
  std::vector<ExecutionId> RemoveOverdue(TimePoint aNow);
  /** @return all waiting requests, now removed. */
  std::vector<ExecutionId> RemoveAll();

  /** @return how long a request may wait for a slot. */
  [[nodiscard]] static Duration MaxWait(const SlotRequest& aRequest);

  [[nodiscard]] uint32_t Limit() const { return mLimit; }
  [[nodiscard]] uint32_t Running() const { return mRunning; }
  [[nodiscard]] size_t Waiting() const { return mQueue.size(); }
  /** @return how long a request of that rank would wait for a slot. */
  [[nodiscard]] Duration EstimateWait(uint32_t aPriority, bool aIsNested) const;

private:
  struct Entry
  {
    SlotRequest mRequest;
    TimePoint mStartBy;
    uint64_t mNumber = 0;

    [[nodiscard]] bool operator<(const Entry& aOther) const;
  };
  using Queue = std::set<Entry>;

  [[nodiscard]] Duration ExpectedWait(size_t aAhead) const;
  Queue::iterator Erase(Queue::iterator aPlace);

  Options mOptions;
  uint32_t mLimit = 0;
  uint32_t mRunning = 0;
  double mMeanRunSeconds = 0.05; ///< Smoothed.
  uint64_t mNextNumber = 0;
  Queue mQueue;
  std::unordered_map<ExecutionId, Queue::iterator> mIndex;
  /** Waiting requests by rank: priority, and whether it is a first one. */
  std::map<std::pair<uint32_t, bool>, size_t> mWaitingByRank;
};

} // namespace amaranthgap
