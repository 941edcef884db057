#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "base/Ids.h"
#include "base/Time.h"

namespace amaranthgap {

/** Retry budget of each root request that came in at this node; the single
 * place that grants retries for its whole call tree. Not safe for use by
 * several threads. */
class RetryLedger
{
public:
  struct Options
  {
    Duration mRetention = seconds(60); ///< After the final answer.
    size_t mCapacity = 100'000;
  };

  explicit RetryLedger(const Options& aOptions);

  /** Opens the entry of a request, or reopens the one that is remembered. */
  void Begin(TimePoint aNow, const RequestId& aRequest);
  /** @return whether one more attempt may be made for the request. */
  bool Grant(TimePoint aNow, const RequestId& aRequest, uint32_t aMaxRetries);
  /** Marks the final answer; nothing is granted until the next Begin. */
  void End(TimePoint aNow, const RequestId& aRequest);
  void Expire(TimePoint aNow);
  [[nodiscard]] size_t Size() const;

private:
  struct Entry
  {
    uint32_t mGranted = 0;
    uint32_t mOpen = 0; ///< Begin calls without their End.
    TimePoint mEnded;
  };

  Options mOptions;
  std::unordered_map<RequestId, Entry> mEntries;
  std::deque<std::pair<TimePoint, RequestId>> mEnded; ///< By time of End.
};

} // namespace amaranthgap
