#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "overload/PartyUsage.h"

namespace amaranthgap {

/** A call that waits for a slot of the upstream. */
struct WaitingCall
{
  ExecutionId mExecution;
  uint32_t mImportance = 0;
  std::string mParty;
  uint32_t mDepth = 0;
  TimePoint mArrived;
  TimePoint mDeadline;
};

/** Upstream time and waiting calls of one party at one importance level. */
struct PartyQueueState
{
  uint32_t mImportance = 0;
  std::string mParty;
  size_t mCalls = 0;           ///< Waiting; 0 for a party that was only served.
  double mAttainedSeconds = 0; ///< Including calls in progress.
  double mExpectedSeconds = 0; ///< Expected run time of the waiting calls.
  TimePoint mLatestStart; ///< Later, no waiting call can meet its deadline.
};

/** Calls waiting for the upstream, ordered by importance, then by the party
 * with the least attained upstream time, then by depth (deeper first), then by
 * arrival. Not thread-safe. */
class AdmissionQueue
{
public:
  struct Options
  {
    size_t mCapacity = 512;
    Duration mTargetDelay = milliseconds(50);
  };

  /** Result of offering a call. */
  struct OfferResult
  {
    bool mQueued = false;
    std::vector<ExecutionId> mEvicted; ///< Removed to make room.
  };

  explicit AdmissionQueue(const Options& aOptions);

  /** Queues the call unless it is expected to miss its deadline or ranks last
   * in a full queue.
   * @param aDrainRate calls per second that leave the queue; 0 if unknown.
   * @param aExpectedRunTime of the call; zero if unknown. */
  OfferResult Offer(TimePoint aNow,
                    WaitingCall aCall,
                    const PartyUsage& aUsage,
                    double aDrainRate,
                    Duration aExpectedRunTime);

  /** Removes the next call to run.
   * @return the call, or none if no waiting call can meet its deadline. */
  std::optional<ExecutionId> Take(TimePoint aNow, const PartyUsage& aUsage);

  /** @return whether the call was in the queue. */
  bool Remove(ExecutionId aExecution);

  /** Removes the calls whose deadline can no longer be met.
   * @param aExpectedRunTime used for calls without an expected run time.
   * @return the removed calls. */
  std::vector<ExecutionId> RemoveExpired(TimePoint aNow,
                                         Duration aExpectedRunTime);

  [[nodiscard]] size_t Size() const;

  /** @return the state that determines the order, for each party at the
   * importance levels with waiting calls. */
  [[nodiscard]] std::vector<PartyQueueState> PartyQueueStates(
    TimePoint aNow,
    const PartyUsage& aUsage) const;

  /** @return waiting calls of at least this importance over the calls that the
   * queue may hold; at 1 and above, a new call would be refused. */
  [[nodiscard]] double FillRatio(uint32_t aImportance, double aDrainRate) const;

private:
  struct Entry
  {
    WaitingCall mCall;
    Duration mExpectedRunTime{}; ///< Zero when unknown.
    uint64_t mSequence = 0;
  };

  /** Orders the calls of one party: deeper first, then by arrival. */
  struct RunsBefore
  {
    bool operator()(const Entry& aOne, const Entry& aOther) const
    {
      return aOne.mCall.mDepth != aOther.mCall.mDepth
               ? aOne.mCall.mDepth > aOther.mCall.mDepth
               : aOne.mSequence < aOther.mSequence;
    }
  };

  using Key = std::pair<uint32_t, std::string>; ///< Importance and party.
  using PartyQueue = std::set<Entry, RunsBefore>;

  struct Level
  {
    // By party; none is empty.
    std::map<std::string, PartyQueue> mPartyQueues;
    size_t mSize = 0;
  };

  /** Charge for a call that was taken and has not reached its expected end. */
  struct TakenCall
  {
    Key mKey;
    double mSeconds = 0;
  };

  /** @return attained upstream time, including mTakenCalls. */
  [[nodiscard]] double AttainedSeconds(TimePoint aNow,
                                       const Key& aKey,
                                       const PartyUsage& aUsage) const;
  /** @return how many calls the queue may hold at this drain rate. */
  [[nodiscard]] size_t MaxCalls(double aDrainRate) const;
  /** @return how many waiting calls would run before this one. */
  [[nodiscard]] size_t CountAhead(TimePoint aNow,
                                  const Entry& aEntry,
                                  const PartyUsage& aUsage) const;
  [[nodiscard]] bool CannotMeetDeadline(TimePoint aNow,
                                        const Entry& aEntry) const;
  [[nodiscard]] ExecutionId LastInOrder(TimePoint aNow,
                                        const PartyUsage& aUsage) const;
  void ExpireTakenCalls(TimePoint aNow);

  Options mOptions;
  std::map<uint32_t, Level, std::greater<>> mLevels; ///< By importance.
  std::unordered_map<ExecutionId, std::pair<Key, PartyQueue::const_iterator>>
    mIndex;
  std::multimap<TimePoint, TakenCall> mTakenCalls; ///< By expected end.
  std::map<Key, double> mTakenSeconds;             ///< Sums of mTakenCalls.
  double mMeanRunSeconds = 0; ///< Moving average of the offered calls.
  uint64_t mNextSequence = 0;
  TimePoint mLastTake;
};

} // namespace amaranthgap
