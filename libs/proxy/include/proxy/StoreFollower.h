#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/Logger.h"
#include "base/Rng.h"
#include "discovery/PrefixWatcher.h"
#include "discovery/Registration.h"
#include "net/EventLoop.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** All calls of a node to the store. Every node keeps its own entry there and
 * lists its region when it starts; later changes reach it from the nodes that
 * watch. A watching node watches the routes and lists all regions periodically.
 * Not safe for use by several threads. */
class StoreFollower
{
public:
  struct Options
  {
    NodeAddress mSelf;
    std::string mRoutesKey;
    uint64_t mSeed = 1;
  };

  struct Events
  {
    /** Takes the listed nodes. */
    std::function<void(const std::vector<NodeAddress>&)> mNodes;
    std::function<void(std::string)> mRoutes; ///< Document, as stored.
    /** The store has told whether it had an entry of this node, which is that
     * of an earlier process. Called once. */
    std::function<void(bool)> mFirstRegistered;
    /** The store can be reached again, or no longer. */
    std::function<void()> mReachChanged;
    /** Other nodes may have lost their entries: the store can be reached again,
     * or this node watches and its own lease has ended. */
    std::function<void()> mRegained;
    /** This node watches, and has found that the store was restored. */
    std::function<void()> mRestored;
    /** @return the number of nodes, as far as it is known here. */
    std::function<size_t()> mNodeCount;
  };

  StoreFollower(Logger& aLogger,
                LeasedStore& aStore,
                Options aOptions,
                Events aEvents);

  /** Makes the calls that are due. */
  void Tick(TimePoint aNow);
  /** Starts or ends watching. */
  void SetWatching(TimePoint aNow, bool aWatches);
  /** Writes the service of the upstream into the entry of this node. */
  void SetService(const std::string& aService);
  /** Checks the own lease soon, because another node has reached the store
   * again after an outage. */
  void CheckEntry(TimePoint aNow);
  /** Takes the era of the store that another node has seen. */
  void EraTold(TimePoint aNow, uint64_t aEra);
  /** Removes the entry of this node. */
  void Leave();

  [[nodiscard]] bool IsWatching() const { return mIsWatching; }
  [[nodiscard]] bool ReachesStore() const { return mReachesStore; }
  /** @return the era of the store; 0 if unknown. */
  [[nodiscard]] uint64_t Era() const { return mEra; }

private:
  void WatchRoutes(TimePoint aNow);
  /** @param aTaken changes that were not known yet. */
  void LogRoutesRead(TimePoint aNow,
                     const WatcherCall& aCall,
                     const StoreChanges& aResult,
                     size_t aTaken);
  void ListNodes(TimePoint aNow);
  void NodesListed(TimePoint aNow, const StoreChanges& aResult);
  void LogUnusable(TimePoint aNow, const StoreChanges& aResult);
  void Register(TimePoint aNow);
  void ReadEntry();
  /** @return when to check the entry of this node, if all nodes do so now. */
  TimePoint DrawCheckTime(TimePoint aNow);
  /** Notes an answer of the store, or that there was none. */
  void NoteCall(TimePoint aNow, const std::string& aDetail, uint64_t aEra);
  /** @return whether the store was restored since its era was seen last. */
  bool EraSeen(TimePoint aNow, uint64_t aEra);
  void UpdateReach(TimePoint aNow);
  [[nodiscard]] bool IsFailing() const;
  [[nodiscard]] std::string OwnKey() const;

  Logger& mLogger;
  LeasedStore& mStore;
  Options mOptions;
  Events mEvents;
  Rng mRng;
  PrefixWatcher mRoutes;
  CallPacer mListPacer;
  Registration mRegistration;
  bool mIsListed = false;
  bool mIsListDue = false;
  bool mListsAfterPut = true;
  bool mIsWatching = false;
  bool mReachesStore = true;
  std::optional<TimePoint> mFailingSince;
  std::string mLatestDetail; ///< Of the latest call.
  uint64_t mEra = 0;         ///< Highest of the store's answers.
  uint64_t mLapseCount = 0;  ///< Of the registration, when last looked at.
  TimePoint mNextList = TimePoint::max();
};

} // namespace amaranthgap
