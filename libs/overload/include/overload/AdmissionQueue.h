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

/** Call that waits for a slot of the upstream. */
struct WaitingCall
{
  ExecutionId mExecution;
  uint32_t mImportance = 0;
  std::string mParty;
  uint32_t mDepth = 0;
  TimePoint mArrived;
  TimePoint mDeadline;
};

/** Calls of one party that wait at one importance level. */
struct PartyQueueState
{
  uint32_t mImportance = 0;
  std::string mParty;
  size_t mCalls = 0; ///< 0 for a party that was served but has none waiting.
  double mAttainedSeconds =
    0; ///< Seconds of upstream time, calls under way included.
  double mExpectedSeconds = 0; ///< Seconds that the waiting calls will take.
  TimePoint mLatestStart;      ///< After it, none can meet its deadline.
};

/** Calls waiting for the upstream, ordered by importance, then by the party
 * with the least attained service, then by depth (deeper first), then by
 * arrival. Not safe for use by several threads. */
class AdmissionQueue
{
public:
  struct Options
  {
    size_t mCapacity = 512;
    Duration mTargetDelay = milliseconds(50);
  };

  /** What became of an offered call. */
  struct OfferResult
  {
    bool mQueued = false;
    std::vector<ExecutionId> mEvicted; ///< Displaced by the offered call.
  };

  explicit AdmissionQueue(const Options& aOptions);

  /** @param aDrainRate calls per second that leave the queue; 0 if unknown.
   * @param aExpectedRun how long the call itself is expected to run. */
  OfferResult Offer(TimePoint aNow,
                    WaitingCall aCall,
                    const PartyUsage& aUsage,
                    double aDrainRate,
                    Duration aExpectedRun);

  /** @return the next call to run; the queue forgets it. */
  std::optional<ExecutionId> Take(TimePoint aNow, const PartyUsage& aUsage);

  /** @return whether the call was waiting. */
  bool Remove(ExecutionId aExecution);

  /** @return calls whose deadline can no longer be met, now removed. */
  std::vector<ExecutionId> RemoveExpired(TimePoint aNow, Duration aExpectedRun);

  [[nodiscard]] size_t Size() const;

  /** @return what decides on the order, for the levels with waiting calls. */
  [[nodiscard]] std::vector<PartyQueueState> PartyQueueStates(
    TimePoint aNow,
    const PartyUsage& aUsage) const;

  /** @return expected wait of a call of this importance over the target delay;
   * 1 and above means that it would be refused. */
  [[nodiscard]] double FillRatio(uint32_t aImportance, double aDrainRate) const;

private:
  struct Entry
  {
    WaitingCall mCall;
    Duration mRun{}; ///< Expected; zero when unknown.
    uint64_t mNumber = 0;
  };

  /** Deeper first, then by arrival. */
  struct Before
  {
    bool operator()(const Entry& aOne, const Entry& aOther) const
    {
      return aOne.mCall.mDepth != aOther.mCall.mDepth
               ? aOne.mCall.mDepth > aOther.mCall.mDepth
               : aOne.mNumber < aOther.mNumber;
    }
  };

  using Key = std::pair<uint32_t, std::string>; ///< Importance and party.
  using Line = std::set<Entry, Before>;

  struct Level
  {
    std::map<std::string, Line> mLines; ///< By party; none is empty.
    size_t mSize = 0;
  };

  struct Taken
  {
    Key mKey;
    double mSeconds = 0;
  };

  [[nodiscard]] double AttainedSeconds(TimePoint aNow,
                                       const Key& aKey,
                                       const PartyUsage& aUsage) const;
  [[nodiscard]] size_t Bound(double aDrainRate) const;
  [[nodiscard]] size_t Ahead(TimePoint aNow,
                             const Entry& aEntry,
                             const PartyUsage& aUsage) const;
  [[nodiscard]] bool IsHopeless(TimePoint aNow, const Entry& aEntry) const;
  [[nodiscard]] ExecutionId LastInOrder(TimePoint aNow,
                                        const PartyUsage& aUsage) const;
  void ForgetTaken(TimePoint aNow);

  Options mOptions;
  std::map<uint32_t, Level, std::greater<>> mLevels; ///< By importance.
  std::unordered_map<ExecutionId, std::pair<Key, Line::const_iterator>> mIndex;
  std::multimap<TimePoint, Taken> mTaken; ///< By expected end.
  std::map<Key, double> mTakenSeconds;
  double mMeanRun = 0; ///< Seconds, over the calls offered lately.
  uint64_t mNextNumber = 0;
  TimePoint mLastTake;
};

} // namespace amaranthgap
