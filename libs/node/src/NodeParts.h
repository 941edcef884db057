#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/Hash.h"
#include "node/ControlLogic.h"
#include "node/EntryLogic.h"
#include "node/Journal.h"
#include "node/NodeLogic.h"
#include "node/TargetLogic.h"
#include "overload/RetryLedger.h"

// Parts of NodeLogic with their locks, and the routing between them.

namespace amaranthgap {

/** Snapshots of the control side with the number of the event that made them.
 * Two threads may pass on the news of two events in the wrong order; a part
 * takes none that is older than what it has. */
struct ControlNews
{
  uint64_t mNumber = 0;
  NodeRef mSelf;
  ManifestPtr mManifest;
  MemberListPtr mMembers;
};

/** Numbers of the snapshots that a part has taken. */
struct NewsTaken
{
  uint64_t mSelf = 0;
  uint64_t mManifest = 0;
  uint64_t mMembers = 0;

  static bool IsNewer(uint64_t& aTaken, uint64_t aNumber)
  {
    if (aNumber <= aTaken) {
      return false;
    }
    aTaken = aNumber;
    return true;
  }
};

/** A value with the lock that guards it. */
template<class Mutex, class T>
class Guarded
{
public:
  template<class... Args>
  explicit Guarded(Args&&... aArgs)
    : mValue(std::forward<Args>(aArgs)...)
  {
  }

  template<class F>
  auto Use(F aUse)
  {
    const std::lock_guard lock(mMutex);
    return aUse(mValue);
  }

  void TakeNews(TimePoint aNow, const ControlNews& aNews, Effects& aEffects)
  {
    const std::lock_guard lock(mMutex);
    if (NewsTaken::IsNewer(mTaken.mSelf, aNews.mNumber)) {
      mValue.SetSelf(aNews.mSelf);
    }
    if (aNews.mManifest &&
        NewsTaken::IsNewer(mTaken.mManifest, aNews.mNumber)) {
      mValue.SetManifest(aNow, aNews.mManifest);
    }
    if (aNews.mMembers && NewsTaken::IsNewer(mTaken.mMembers, aNews.mNumber)) {
      mValue.SetMembers(aNow, aNews.mMembers, aEffects);
    }
  }

private:
  Mutex mMutex;
  T mValue;
  NewsTaken mTaken;
};

/** What all parts need to know; changes only by control events. */
struct NodeFacts
{
  NodeRef mSelf;
  ManifestPtr mManifest;
  bool mReady = false;
  bool mDraining = false;
  bool mSaidLeft = false;
  uint32_t mMaxRetries = 3;
  NewsTaken mTaken;
};

struct Inbound
{
  NodeRef mFrom;
  std::string mAddress;
  Message mMessage;
};

ControlLogic::Options
ControlOptions(const NodeOptions& aOptions);

EntryLogic::Options
EntryOptions(const NodeOptions& aOptions,
             uint32_t aShard,
             uint32_t aShards,
             EntryShared& aShared);

template<class Mutex>
struct NodeLogic<Mutex>::Parts
{
  using Entry = Guarded<Mutex, EntryLogic>;
  using Ledger = Guarded<Mutex, RetryLedger>;

  explicit Parts(NodeOptions aOptions)
    : mOptions(std::move(aOptions))
    , mFacts(NodeFacts{ .mSelf = mOptions.mSelf })
    , mTarget(
        TargetLogic::Options{ .mSelf = mOptions.mSelf,
                              .mKeySecret = mOptions.mKeySecret,
                              .mMaxUpstreamCalls = mOptions.mMaxUpstreamCalls,
                              .mSeed = mOptions.mSeed + 50,
                              .mPolicyOff = mOptions.mPolicyOff })
    , mControl(ControlOptions(mOptions))
    , mJournal(Journal::Options{ .mWallOffset = mOptions.mWallOffset })
  {
    const uint32_t shards = std::max(mOptions.mEntryShards, 1U);
    for (uint32_t i = 0; i < shards; ++i) {
      mEntries.push_back(
        std::make_unique<Entry>(EntryOptions(mOptions, i, shards, mShared)));
      mLedgers.push_back(std::make_unique<Ledger>(RetryLedger::Options{}));
    }
  }

  // -- Parts --

  Entry& EntryOf(const std::string& aService)
  {
    return *mEntries[Hash64(aService) % mEntries.size()];
  }
  Entry& EntryOf(CallId aCall)
  {
    return *mEntries[aCall.mValue % mEntries.size()];
  }
  Ledger& LedgerOf(const RequestId& aRequest)
  {
    return *mLedgers[Hash64(aRequest.mValue) % mLedgers.size()];
  }
  NodeFacts Facts()
  {
    return mFacts.Use([](NodeFacts& aFacts) { return aFacts; });
  }
  void Count(std::string_view aName)
  {
    mJournal.Use([&](Journal& aJournal) { aJournal.Count(aName); });
  }

  /** Runs an event of one part under its lock, then routes what comes out. */
  template<class Part, class F>
  void Run(TimePoint aNow, Part& aPart, Actions& aActions, F aEvent)
  {
    Effects effects;
    aPart.Use([&](auto& aLogic) { aEvent(aLogic, effects); });
    Route(aNow, std::move(effects), aActions);
  }

  void Route(TimePoint aNow, Effects aEffects, Actions& aActions);
  void Handle(TimePoint aNow,
              const NodeEvent& aEvent,
              std::deque<Effects>& aMore);
  void Deliver(TimePoint aNow, Inbound aInbound, Effects& aEffects);
  void AskLedger(TimePoint aNow, const Inbound& aInbound, Effects& aEffects);

  /** Passes on what an event of the control side has changed. */
  template<class F>
  void RunControl(TimePoint aNow, Actions& aActions, F aEvent);
  void Spread(TimePoint aNow, const ControlNews& aNews, Actions& aActions);
  void StartDrain(TimePoint aNow, Actions& aActions);

  NodeOptions mOptions;
  EntryShared mShared;
  Guarded<Mutex, NodeFacts> mFacts;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::unique_ptr<Ledger>> mLedgers;
  Guarded<Mutex, TargetLogic> mTarget;
  Guarded<Mutex, ControlLogic> mControl;
  Guarded<Mutex, Journal> mJournal;
  std::atomic<int64_t> mNextLedgerExpiry{ 0 };
  uint64_t mLastNews = 0; ///< Guarded by the lock of mControl.
};

template<class Mutex>
template<class F>
void
NodeLogic<Mutex>::Parts::RunControl(TimePoint aNow, Actions& aActions, F aEvent)
{
  ControlNews news;
  bool isReady = false;
  bool isSuperseded = false;
  mControl.Use([&](ControlLogic& aControl) {
    aEvent(aControl);
    news = { .mNumber = ++mLastNews,
             .mSelf = aControl.Self(),
             .mManifest = aControl.TakeManifest(),
             .mMembers = aControl.TakeMembers() };
    isReady = aControl.IsReady();
    isSuperseded = aControl.IsSuperseded();
  });
  bool isNewSelf = false;
  mFacts.Use([&](NodeFacts& aFacts) {
    if (NewsTaken::IsNewer(aFacts.mTaken.mSelf, news.mNumber)) {
      isNewSelf = aFacts.mSelf != news.mSelf;
      aFacts.mSelf = news.mSelf;
      aFacts.mReady = isReady;
    }
    if (news.mManifest &&
        NewsTaken::IsNewer(aFacts.mTaken.mManifest, news.mNumber)) {
      aFacts.mManifest = news.mManifest;
      aFacts.mMaxRetries = news.mManifest->mLimits.mMaxRetriesPerRequest;
    }
  });
  if (isNewSelf || news.mManifest || news.mMembers) {
    Spread(aNow, news, aActions);
  }
  if (isSuperseded) {
    StartDrain(aNow, aActions);
  }
}

} // namespace amaranthgap
