#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/Time.h"
#include "platform/KeyValueStore.h"

namespace amaranthgap {

/** Content of the store stand-in: revisions, compare-and-swap, leases and
 * watches. Safe for use by several threads. */
class StoreData
{
public:
  struct SwapResult
  {
    bool mDone = false;
    StoredValue mCurrent;
  };

  [[nodiscard]] StoredValue Read(const std::string& aKey);
  /** Writes when the key has the expected revision.
   * @param aLease lease that the key ends with; 0 for none. */
  SwapResult Swap(const std::string& aKey,
                  const std::string& aValue,
                  uint64_t aRevision,
                  uint64_t aLease = 0);
  SwapResult Delete(const std::string& aKey, uint64_t aRevision);
  /** Waits until the key has another revision than the one seen.
   * @return the current value, with the seen revision when nothing changed. */
  StoredValue Watch(const std::string& aKey, uint64_t aSeen, Duration aWait);

  uint64_t Grant(Duration aTimeToLive);
  /** @return whether the lease was still held. */
  bool Renew(uint64_t aLease);

  /** Keeps a copy of the content; Restore brings it back, as a platform does
   * that restores an older backup. */
  void Snapshot();
  bool Restore();
  /** Ends all running watches. */
  void WakeWatches();

private:
  struct Item
  {
    StoredValue mStored;
    uint64_t mLease = 0;
  };
  struct Lease
  {
    Duration mTimeToLive{};
    TimePoint mEnd;
  };
  struct Content
  {
    uint64_t mRevision = 0;
    std::map<std::string, Item> mItems;
  };

  void DropExpired();
  StoredValue Current(const std::string& aKey) const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  Content mContent;
  Content mBackup;
  bool mHasBackup = false;
  uint64_t mWatchEpoch = 0;
  uint64_t mLastLease = 0;
  std::map<uint64_t, Lease> mLeases;
};

} // namespace amaranthgap
