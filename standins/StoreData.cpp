#include "StoreData.h"

#include <algorithm>

namespace amaranthgap {

namespace {

// Longest time after which a watch notices an expired lease.
constexpr Duration kLeaseCheck = milliseconds(200);

} // namespace

StoredValue
StoreData::Current(const std::string& aKey) const
{
  const auto it = mContent.mItems.find(aKey);
  return it == mContent.mItems.end() ? StoredValue{} : it->second.mStored;
}

void
StoreData::DropExpired()
{
  const TimePoint now = std::chrono::steady_clock::now();
  const size_t before = mLeases.size();
  std::erase_if(mLeases,
                [&](const auto& aLease) { return aLease.second.mEnd <= now; });
  if (mLeases.size() == before) {
    return;
  }
  std::erase_if(mContent.mItems, [&](const auto& aItem) {
    const uint64_t lease = aItem.second.mLease;
    return lease != 0 && mLeases.find(lease) == mLeases.end();
  });
  ++mContent.mRevision;
  mChanged.notify_all();
}

StoredValue
StoreData::Read(const std::string& aKey)
{
  const std::scoped_lock lock(mMutex);
  DropExpired();
  return Current(aKey);
}

StoreData::SwapResult
StoreData::Swap(const std::string& aKey,
                const std::string& aValue,
                uint64_t aRevision,
                uint64_t aLease)
{
  const std::scoped_lock lock(mMutex);
  DropExpired();
  const bool isLeaseLost = aLease != 0 && mLeases.find(aLease) == mLeases.end();
  if (const auto current = Current(aKey);
      current.mRevision != aRevision || isLeaseLost) {
    return { .mDone = false, .mCurrent = current };
  }
  Item& item = mContent.mItems[aKey];
  item = { .mStored = { aValue, ++mContent.mRevision }, .mLease = aLease };
  mChanged.notify_all();
  return { .mDone = true, .mCurrent = item.mStored };
}

StoreData::SwapResult
StoreData::Delete(const std::string& aKey, uint64_t aRevision)
{
  const std::scoped_lock lock(mMutex);
  DropExpired();
  if (const auto current = Current(aKey); current.mRevision != aRevision) {
    return { .mDone = false, .mCurrent = current };
  }
  if (mContent.mItems.erase(aKey) > 0) {
    ++mContent.mRevision;
    mChanged.notify_all();
  }
  return { .mDone = true, .mCurrent = {} };
}

StoredValue
StoreData::Watch(const std::string& aKey, uint64_t aSeen, Duration aWait)
{
  std::unique_lock lock(mMutex);
  const TimePoint end = std::chrono::steady_clock::now() + aWait;
  const uint64_t epoch = mWatchEpoch;
  while (true) {
    DropExpired();
    StoredValue current = Current(aKey);
    const TimePoint now = std::chrono::steady_clock::now();
    if (current.mRevision != aSeen || now >= end || mWatchEpoch != epoch) {
      return current;
    }
    mChanged.wait_until(lock, std::min(end, now + kLeaseCheck));
  }
}

uint64_t
StoreData::Grant(Duration aTimeToLive)
{
  const std::scoped_lock lock(mMutex);
  mLeases[++mLastLease] = { aTimeToLive,
                            std::chrono::steady_clock::now() + aTimeToLive };
  return mLastLease;
}

bool
StoreData::Renew(uint64_t aLease)
{
  const std::scoped_lock lock(mMutex);
  DropExpired();
  const auto it = mLeases.find(aLease);
  if (it == mLeases.end()) {
    return false;
  }
  it->second.mEnd = std::chrono::steady_clock::now() + it->second.mTimeToLive;
  return true;
}

void
StoreData::Snapshot()
{
  const std::scoped_lock lock(mMutex);
  mBackup = mContent;
  mHasBackup = true;
}

bool
StoreData::Restore()
{
  const std::scoped_lock lock(mMutex);
  if (!mHasBackup) {
    return false;
  }
  mContent = mBackup;
  mChanged.notify_all();
  return true;
}

void
StoreData::WakeWatches()
{
  const std::scoped_lock lock(mMutex);
  ++mWatchEpoch;
  mChanged.notify_all();
}

} // namespace amaranthgap
