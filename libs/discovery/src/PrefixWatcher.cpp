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
  mIsListCall = mNeedsList;
  mIsInFlight = true;
  return WatcherCall{ .mIsList = mIsListCall,
                      .mAfter = mRevision,
                      .mNumber = ++mNumber };
}

void
PrefixWatcher::ReplaceWatch(TimePoint aNow)
{
  if (mIsInFlight && !mIsListCall) {
    mIsInFlight = false;
    ++mNumber; // Makes Done() ignore the result of the replaced call.
    mPacer.Succeeded(aNow);
  }
}

void
PrefixWatcher::EraSeen(TimePoint aNow, uint64_t aEra)
{
  if (aEra > mEra) {
    mEra = aEra;
    mNeedsList = mNeedsList || mEra != mListedEra;
    ReplaceWatch(aNow);
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
  mIsInFlight = false;
  if (aResult.mStatus == StoreStatus::Compacted) {
    mNeedsList = true;
    mPacer.Succeeded(aNow);
    return {};
  }
  const bool isOutdated = aResult.mEra < mEra; // From before a restore.
  if (aResult.mStatus != StoreStatus::Done || isOutdated) {
    mPacer.Failed(aNow);
    return {};
  }
  mEra = aResult.mEra;
  if (!mIsListCall && mEra != mListedEra) {
    mNeedsList = true;
    mPacer.Succeeded(aNow);
    return {};
  }
  mPacer.Succeeded(aNow,
                   mIsListCall || aResult.mChanges.empty()
                     ? Duration::zero()
                     : mOptions.mWatchPause);
  return mIsListCall ? ApplyList(aResult) : ApplyEvents(aResult);
}

std::vector<StoreChange>
PrefixWatcher::ApplyList(const StoreChanges& aResult)
{
  std::vector<StoreChange> out;
  std::map<std::string, uint64_t> listed;
  const bool isNewEra = aResult.mEra != mListedEra;
  for (const StoreChange& it : aResult.mChanges) {
    listed[it.mKey] = it.mRevision;
    const auto recorded = mRevisions.find(it.mKey);
    if (isNewEra || recorded == mRevisions.end() ||
        recorded->second < it.mRevision) {
      out.push_back(it);
    }
  }
  for (const auto& [key, revision] : mRevisions) {
    if (!listed.contains(key)) {
      out.push_back({ .mKey = key, .mValue = std::nullopt });
    }
  }
  mRevisions = std::move(listed);
  mRevision = aResult.mRevision;
  mListedEra = aResult.mEra;
  mNeedsList = false;
  mIsListed = true;
  return out;
}

std::vector<StoreChange>
PrefixWatcher::ApplyEvents(const StoreChanges& aResult)
{
  std::vector<StoreChange> out;
  for (const StoreChange& it : aResult.mChanges) {
    if (it.mRevision <= mRevision) {
      continue; // Already listed.
    }
    if (it.mValue) {
      mRevisions[it.mKey] = it.mRevision;
    } else {
      mRevisions.erase(it.mKey);
    }
    out.push_back(it);
  }
  mRevision = std::max(mRevision, aResult.mRevision);
  return out;
}

} // namespace amaranthgap
