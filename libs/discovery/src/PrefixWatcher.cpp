#include "discovery/PrefixWatcher.h"

#include <algorithm>
#include <utility>

namespace amaranthgap {

PrefixWatcher::PrefixWatcher(const Options& aOptions)
  : mOptions(aOptions)
  , mPacer(aOptions.mSeed)
{
}

std::optional<WatcherCall>
PrefixWatcher::Next(TimePoint aNow)
{
  if (!mPacer.MayStart(aNow)) {
    return std::nullopt;
  }
  mPacer.Started();
  mListing = mNeedsList;
  mIsOpen = true;
  return WatcherCall{ .mIsList = mListing,
                      .mAfter = mRevision,
                      .mNumber = ++mNumber };
}

void
PrefixWatcher::ReplaceWatch(TimePoint aNow)
{
  if (mIsOpen && !mListing) {
    mIsOpen = false;
    ++mNumber; // The result of the replaced call matches no more.
    mPacer.Succeeded(aNow);
  }
}

std::vector<StoreChange>
PrefixWatcher::Done(TimePoint aNow,
                    uint64_t aNumber,
                    const StoreChanges& aResult)
{
  if (aNumber != mNumber) {
    return {};
  }
  mIsOpen = false;
  if (aResult.mStatus == StoreStatus::Compacted) {
    mNeedsList = true;
    mPacer.Succeeded(aNow);
    return {};
  }
  if (aResult.mStatus != StoreStatus::Done) {
    mPacer.Failed(aNow);
    return {};
  }
  mPacer.Succeeded(aNow,
                   mListing || aResult.mChanges.empty() ? Duration::zero()
                                                        : mOptions.mWatchPause);
  return mListing ? TakeList(aResult) : TakeEvents(aResult);
}

std::vector<StoreChange>
PrefixWatcher::TakeList(const StoreChanges& aResult)
{
  std::vector<StoreChange> out;
  std::map<std::string, uint64_t> listed;
  for (const StoreChange& it : aResult.mChanges) {
    listed[it.mKey] = it.mRevision;
    const auto known = mKnown.find(it.mKey);
    if (known == mKnown.end() || known->second < it.mRevision) {
      out.push_back(it);
    }
  }
  for (const auto& [key, revision] : mKnown) {
    if (!listed.contains(key)) {
      out.push_back({ .mKey = key, .mValue = std::nullopt });
    }
  }
  mKnown = std::move(listed);
  mRevision = aResult.mRevision;
  mNeedsList = false;
  mIsListed = true;
  return out;
}

std::vector<StoreChange>
PrefixWatcher::TakeEvents(const StoreChanges& aResult)
{
  std::vector<StoreChange> out;
  for (const StoreChange& it : aResult.mChanges) {
    if (it.mRevision <= mRevision) {
      continue; // Seen in the list.
    }
    if (it.mValue) {
      mKnown[it.mKey] = it.mRevision;
    } else {
      mKnown.erase(it.mKey);
    }
    out.push_back(it);
  }
  mRevision = std::max(mRevision, aResult.mRevision);
  return out;
}

} // namespace amaranthgap
