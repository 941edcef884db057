#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "base/Ids.h"
#include "base/Time.h"

namespace amaranthgap {

/** Retry budget of each root request that entered at this node. All retries in
 * the call tree of the request are granted here. Not thread-safe. */
class RetryLedger
{
public:
  struct Options
  {
    Duration mRetention = seconds(60); ///< Of an entry after its final reply.
    size_t mCapacity = 100'000;
  };

  explicit RetryLedger(const Options& aOptions);

  /** Opens the entry of a request. An entry still retained is reopened with the
   * retries granted so far. No entry is made beyond the capacity. */
  void Begin(TimePoint aNow, const RequestId& aRequest);
  /** Counts a retry if the request is open and has fewer than the maximum.
   * @return whether the retry is granted. */
  bool Grant(TimePoint aNow, const RequestId& aRequest, uint32_t aMaxRetries);
  /** Records the final reply. When each Begin has its End, no retry is granted
   * until the next Begin. */
  void End(TimePoint aNow, const RequestId& aRequest);
  /** Removes ended entries after the retention time. */
  void Expire(TimePoint aNow);
  [[nodiscard]] size_t Size() const;

private:
  struct Entry
  {
    uint32_t mGranted = 0;
    uint32_t mOpenCount = 0; ///< Begin calls without an End.
    TimePoint mEndTime;
  };

  Options mOptions;
  std::unordered_map<RequestId, Entry> mEntries;
  // Ordered by end time.
  std::deque<std::pair<TimePoint, RequestId>> mEndedRequests;
};

} // namespace amaranthgap
