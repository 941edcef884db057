#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "base/Time.h"

namespace amaranthgap {

/** Work of one upstream by request id and idempotency key, from which runs
 * check at-most-once execution and wasted work. Safe for use by several
 * threads. */
class WorkLog
{
public:
  struct Id
  {
    std::string mRequest;
    std::string mKey;
    bool operator<(const Id& aOther) const
    {
      return std::tie(mRequest, mKey) < std::tie(aOther.mRequest, aOther.mKey);
    }
  };

  void Started(const Id& aId);
  /** @param aBusy time in the slot, child calls included.
   * @param aOwn time of the service itself.
   * @param aIsComplete false: stopped because the connection was closed. */
  void Ended(const Id& aId, Duration aBusy, Duration aOwn, bool aIsComplete);
  /** Counts a request that ended before it had a slot. */
  void Skipped(bool aIsShed);
  void Reset();

  [[nodiscard]] nlohmann::json Totals();
  [[nodiscard]] nlohmann::json ByRequest();

private:
  struct Entry
  {
    uint32_t mStarted = 0;
    uint32_t mFinished = 0;
    Duration mBusy{};
    Duration mOwn{};
  };

  std::mutex mMutex;
  std::map<Id, Entry> mEntries;
  uint64_t mStarted = 0;
  uint64_t mFinished = 0;
  uint64_t mStopped = 0;
  uint64_t mShed = 0;
  uint64_t mGone = 0;
  uint64_t mUnrecorded = 0;
  Duration mBusy{};
};

} // namespace amaranthgap
