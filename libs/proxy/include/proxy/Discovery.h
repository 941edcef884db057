#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/Logger.h"
#include "discovery/NodeDirectory.h"
#include "discovery/RoutesFetch.h"
#include "proxy/PeerLinks.h"
#include "proxy/PeerServer.h"
#include "proxy/StoreFollower.h"

namespace amaranthgap {

/** Finds the other nodes and the newest routes: chooses the nodes to be
 * connected to, decides whether this node watches the store for its data
 * centre, and passes on what it learns. Not safe for use by several threads. */
class Discovery
{
public:
  struct Options
  {
    NodeAddress mSelf;
    std::string mRoutesKey; ///< Key of the routes in the store.
    uint64_t mSeed = 1;
  };

  struct Events
  {
    /** Takes a routes document and the kind of its source. */
    std::function<void(const std::string&, const char*)> mRoutes;
    /** See StoreFollower::Events. */
    std::function<void(bool)> mFirstRegistered;
    /** The state that this node announces to others has changed. */
    std::function<void()> mStateChanged;
  };

  /** @param aLinks, aServer outlive this object. */
  Discovery(Logger& aLogger,
            LeasedStore& aStore,
            PeerLinks& aLinks,
            PeerServer& aServer,
            Options aOptions,
            Events aEvents);

  /** Makes the calls and opens the connections that are due. */
  void Tick(TimePoint aNow);
  /** Removes this node from the store and stops watching. */
  void Leave(TimePoint aNow);
  /** Sets the service of the upstream, which is part of the own address. */
  void SetService(const std::string& aService);
  /** Notes the version of the routes in force. */
  void RoutesTaken(uint64_t aVersion);

  void PeerState(TimePoint aNow, const NodeState& aState);
  void PeerNotice(TimePoint aNow,
                  const std::string& aNode,
                  const StoreNotice& aNotice);
  void PeerNodes(TimePoint aNow, const std::vector<NodeAddress>& aNodes);
  void PeerLost(TimePoint aNow, const std::string& aNode);
  /** Learns of a node that has connected.
   * @return the nodes to send to it. */
  NodeList PeerHello(TimePoint aNow, const NodeAddress& aPeer);

  [[nodiscard]] const NodeAddress& Self() const { return mOptions.mSelf; }
  /** @return whether the nodes have been listed once. */
  [[nodiscard]] bool IsListed() const { return mListedAt.has_value(); }
  [[nodiscard]] bool IsWatching() const { return mFollower.IsWatching(); }
  [[nodiscard]] bool ReachesStore() const { return mFollower.ReachesStore(); }
  /** @return the era of the store; 0 if unknown. */
  [[nodiscard]] uint64_t StoreEra() const { return mFollower.Era(); }
  [[nodiscard]] size_t KnownNodes() const { return mDirectory.Size(); }

private:
  /** Tells other nodes what is known of the store.
   * @param aIsRegained whether their entries may have ended. */
  void Notify(bool aIsRegained);
  void NodesListed(TimePoint aNow, const std::vector<NodeAddress>& aNodes);
  void UpdateLinks(TimePoint aNow);
  void UpdateWatching(TimePoint aNow);
  [[nodiscard]] bool IsElectedToWatch(TimePoint aNow) const;
  void AskForRoutes(TimePoint aNow);

  PeerLinks& mLinks;
  PeerServer& mServer;
  Options mOptions;
  Events mEvents;
  StoreFollower mFollower;
  NodeDirectory mDirectory;
  RoutesFetch mRoutesFetch;
  uint64_t mRoutesVersion = 0; ///< In force; 0 without any.
  std::optional<TimePoint> mListedAt;
  TimePoint mLinksUpdated{};
  bool mIsLeaving = false;
};

} // namespace amaranthgap
