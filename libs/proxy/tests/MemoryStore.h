#pragma once

#include <map>
#include <memory>

#include "net/EventLoop.h"
#include "platform/LeasedStore.h"

namespace amaranthgap {

/** Content of a store that several clients share. */
struct MemoryStoreData
{
  struct Item
  {
    std::string mValue;
    uint64_t mRevision = 0;
  };

  std::map<std::string, Item> mItems;
  std::vector<StoreChange> mHistory;
  uint64_t mRevision = 1;
  uint64_t mLastLease = 0;
  uint64_t mEndedLeases = 0; ///< Leases up to this one have ended.
  uint64_t mCalls = 0;
  std::vector<std::function<void()>> mWaiting; ///< Watches, to be looked at.

  /** Ends all leases, as in an outage that lasts too long for them. */
  void EndLeases(const std::string& aPrefix)
  {
    mEndedLeases = mLastLease;
    std::vector<std::string> keys;
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(aPrefix)) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Write(key, std::nullopt);
    }
  }

  [[nodiscard]] size_t CountOf(const std::string& aPrefix) const
  {
    size_t out = 0;
    for (const auto& [key, item] : mItems) {
      out += key.starts_with(aPrefix) ? 1 : 0;
    }
    return out;
  }

  void Write(const std::string& aKey, std::optional<std::string> aValue)
  {
    ++mRevision;
    if (aValue) {
      mItems[aKey] = { *aValue, mRevision };
    } else {
      mItems.erase(aKey);
    }
    mHistory.push_back({ aKey, std::move(aValue), mRevision });
    for (const auto& look : std::exchange(mWaiting, {})) {
      look();
    }
  }
};

/** Client of a MemoryStoreData. Not safe for use by several threads. */
class MemoryStore : public LeasedStore
{
public:
  MemoryStore(EventLoop& aLoop, MemoryStoreData& aData, const bool& aIsDown)
    : mLoop(aLoop)
    , mData(aData)
    , mIsDown(aIsDown)
  {
  }

  void List(const std::string& aPrefix, ChangesCallback aDone) override
  {
    ++mData.mCalls;
    Later([this, aPrefix, aDone] {
      StoreChanges out{ .mStatus = StoreStatus::Refused };
      if (!mIsDown) {
        out = { .mStatus = StoreStatus::Done, .mRevision = mData.mRevision };
        for (const auto& [key, item] : mData.mItems) {
          if (key.starts_with(aPrefix)) {
            out.mChanges.push_back({ key, item.mValue, item.mRevision });
          }
        }
      }
      aDone(std::move(out));
    });
  }

  void Watch(const std::string& aPrefix,
             uint64_t aAfter,
             Duration aWait,
             ChangesCallback aDone) override
  {
    ++mData.mCalls;
    Later([this, aPrefix, aAfter, aWait, aDone] {
      Look(aPrefix, aAfter, aWait, aDone);
    });
  }

  void Put(const std::string& aKey,
           const std::string& aValue,
           uint64_t,
           ResultCallback aDone) override
  {
    Answer(aDone, [this, aKey, aValue] { mData.Write(aKey, aValue); });
  }

  void Remove(const std::string& aKey, ResultCallback aDone) override
  {
    Answer(aDone, [this, aKey] { mData.Write(aKey, std::nullopt); });
  }

  void GrantLease(Duration, ResultCallback aDone) override
  {
    Answer(aDone, [] {});
  }

  void KeepLease(uint64_t aLease, ResultCallback aDone) override
  {
    if (aLease > mData.mEndedLeases || mIsDown) {
      Answer(aDone, [] {});
      return;
    }
    ++mData.mCalls;
    Later([aDone] { aDone({ .mStatus = StoreStatus::NoLease }); });
  }

private:
  /** @return a call that does nothing once this client is destroyed. */
  std::function<void()> WhileAlive(std::function<void()> aCall)
  {
    return [alive = std::weak_ptr<int>(mAlive), call = std::move(aCall)] {
      if (!alive.expired()) {
        call();
      }
    };
  }
  void Later(std::function<void()> aCall)
  {
    mLoop.Defer(WhileAlive(std::move(aCall)));
  }

  void Look(const std::string& aPrefix,
            uint64_t aAfter,
            Duration aWait,
            const ChangesCallback& aDone)
  {
    StoreChanges out{ .mStatus = StoreStatus::Refused };
    if (!mIsDown) {
      out = { .mStatus = StoreStatus::Done, .mRevision = mData.mRevision };
      for (const StoreChange& it : mData.mHistory) {
        if (it.mRevision > aAfter && it.mKey.starts_with(aPrefix)) {
          out.mChanges.push_back(it);
        }
      }
      if (out.mChanges.empty()) {
        mData.mWaiting.push_back(
          WhileAlive([this, aPrefix, aAfter, aWait, aDone] {
            Look(aPrefix, aAfter, aWait, aDone);
          }));
        return;
      }
    }
    aDone(std::move(out));
  }

  void Answer(const ResultCallback& aDone, const std::function<void()>& aEffect)
  {
    ++mData.mCalls;
    Later([this, aDone, aEffect] {
      if (mIsDown) {
        aDone({ .mStatus = StoreStatus::Refused });
        return;
      }
      aEffect();
      aDone({ .mStatus = StoreStatus::Done, .mLease = ++mData.mLastLease });
    });
  }

  EventLoop& mLoop;
  MemoryStoreData& mData;
  const bool& mIsDown;
  std::shared_ptr<int> mAlive = std::make_shared<int>();
};

} // namespace amaranthgap
