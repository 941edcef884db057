#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/Logger.h"
#include "discovery/PrefixWatcher.h"
#include "discovery/Registration.h"
#include "proxy/PeerLinks.h"

namespace amaranthgap {

/** Follows the nodes and the routes in the store, and keeps the entry of this
 * node there. Not safe for use by several threads. */
class StoreFollower
{
public:
  struct Options
  {
    PeerAddress mSelf;
    std::string mRoutesKey;
    uint64_t mSeed = 1;
  };

  struct Events
  {
    std::function<void(const PeerAddress&)> mNodeListed;
    std::function<void(const std::string&)> mNodeUnlisted;
    std::function<void(std::string)> mRoutes; ///< Document, as stored.
  };

  StoreFollower(Logger& aLogger,
                LeasedStore& aStore,
                Options aOptions,
                Events aEvents);

  /** Makes the calls that are due. */
  void Tick(TimePoint aNow);
  /** Removes the entry of this node. */
  void Leave();

  /** @return whether the nodes have been listed once. */
  [[nodiscard]] bool IsListed() const { return mNodes.IsListed(); }

private:
  void Follow(TimePoint aNow, PrefixWatcher& aFollower, const char* aPrefix);
  void Register(TimePoint aNow);
  void NodeChanged(const StoreChange& aChange);
  void NoteReach(bool aFailing, const std::string& aDetail);
  [[nodiscard]] std::string OwnKey() const;

  Logger& mLogger;
  LeasedStore& mStore;
  Options mOptions;
  Events mEvents;
  PrefixWatcher mNodes;
  PrefixWatcher mRoutes;
  Registration mRegistration;
  bool mIsLost = false; ///< The latest call failed.
};

} // namespace amaranthgap
