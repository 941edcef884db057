#pragma once

#include <optional>
#include <string>
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
  struct Verdict
  {
    bool mQueued = false;
    std::vector<ExecutionId> mEvicted; ///< Displaced by the offered call.
  };

  explicit AdmissionQueue(const Options& aOptions);

  /** @param aDrainRate calls per second that leave the queue; 0 if unknown.
   * @param aExpectedRun how long the call itself is expected to run. */
  Verdict Offer(TimePoint aNow,
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

  /** @return expected wait of a call of this importance over the target delay;
   * 1 and above means that it would be refused. */
  [[nodiscard]] double Fill(uint32_t aImportance, double aDrainRate) const;
};

} // namespace amaranthgap
