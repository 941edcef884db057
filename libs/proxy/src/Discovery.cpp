#include "proxy/Discovery.h"

#include <utility>

#include "discovery/WatcherElection.h"

namespace amaranthgap {

namespace {

// Time for connections to the nodes of the region to open before it is decided
// which ones watch the store.
constexpr Duration kConnectPatience = milliseconds(250);
// If this many nodes of a data centre cannot reach the store, it is considered
// down, and no further nodes take over.
constexpr size_t kOutageNodeCount = 4;
// The nodes to be connected to are chosen again this often.
constexpr Duration kLinksInterval = milliseconds(500);

} // namespace

Discovery::Discovery(Logger& aLogger,
                     LeasedStore& aStore,
                     PeerLinks& aLinks,
                     PeerServer& aServer,
                     Options aOptions,
                     Events aEvents)
  : mLinks(aLinks)
  , mServer(aServer)
  , mOptions(std::move(aOptions))
  , mEvents(std::move(aEvents))
  , mFollower(
      aLogger,
      aStore,
      { .mSelf = mOptions.mSelf,
        .mRoutesKey = mOptions.mRoutesKey,
        .mSeed = mOptions.mSeed },
      { .mNodes =
          [this](const std::vector<NodeAddress>& aNodes) {
            NodesListed(EventLoop::Now(), aNodes);
          },
        .mRoutes =
          [this](const std::string& aDocument) {
            mEvents.mRoutes(aDocument, "store");
          },
        .mFirstRegistered =
          [this](bool aHadEntry) { mEvents.mFirstRegistered(aHadEntry); },
        .mReachChanged = [this] { mEvents.mStateChanged(); },
        .mRegained = [this] { Notify(true); },
        .mRestored = [this] { Notify(false); },
        .mNodeCount = [this] { return mDirectory.Size() + 1; } })
  , mDirectory({ .mNode = mOptions.mSelf.mNode,
                 .mDataCentre = mOptions.mSelf.mDataCentre,
                 .mRegion = mOptions.mSelf.mRegion })
  , mRoutesFetch(mOptions.mSeed + 1)
{
}

void
Discovery::Tick(TimePoint aNow)
{
  UpdateLinks(aNow);
  UpdateWatching(aNow);
  mFollower.Tick(aNow);
  AskForRoutes(aNow);
}

void
Discovery::Leave(TimePoint aNow)
{
  mIsLeaving = true;
  UpdateWatching(aNow);
  mFollower.Leave();
}

void
Discovery::SetService(const std::string& aService)
{
  mOptions.mSelf.mService = aService;
  mFollower.SetService(aService);
}

void
Discovery::RoutesTaken(uint64_t aVersion)
{
  mRoutesVersion = aVersion;
  if (IsWatching()) {
    Notify(false);
  }
}

void
Discovery::Notify(bool aIsRegained)
{
  mServer.Notify({ .mRoutesVersion = mRoutesVersion,
                   .mIsRegained = aIsRegained,
                   .mStoreEra = StoreEra() });
}

void
Discovery::PeerState(TimePoint aNow, const NodeState& aState)
{
  mDirectory.Connected(aState);
  mRoutesFetch.RecordVersion(aNow,
                             aState.mNode,
                             aState.mDataCentre == mOptions.mSelf.mDataCentre,
                             aState.mRoutesVersion);
  AskForRoutes(aNow);
}

void
Discovery::PeerNotice(TimePoint aNow,
                      const std::string& aNode,
                      const StoreNotice& aNotice)
{
  mRoutesFetch.RecordVersion(aNow,
                             aNode,
                             mDirectory.DataCentreOf(aNode) ==
                               mOptions.mSelf.mDataCentre,
                             aNotice.mRoutesVersion);
  AskForRoutes(aNow);
  mFollower.EraTold(aNow, aNotice.mStoreEra);
  if (aNotice.mIsRegained) {
    mFollower.CheckEntry(aNow);
  }
}

void
Discovery::PeerNodes(TimePoint aNow, const std::vector<NodeAddress>& aNodes)
{
  bool isChanged = false;
  for (const NodeAddress& it : aNodes) {
    // Anyone may have written an entry.
    isChanged |= IsUsable(it) && mDirectory.Learn(aNow, it);
  }
  if (isChanged) {
    mLinks.SetLinks(aNow, mDirectory.Links(aNow));
  }
}

void
Discovery::PeerLost(TimePoint aNow, const std::string& aNode)
{
  mDirectory.Lost(aNow, aNode);
  mRoutesFetch.Lost(aNode);
}

NodeList
Discovery::PeerHello(TimePoint aNow, const NodeAddress& aPeer)
{
  PeerNodes(aNow, { aPeer });
  const bool isNear = aPeer.mDataCentre == mOptions.mSelf.mDataCentre;
  return { isNear && IsWatching() ? mDirectory.All()
                                  : std::vector<NodeAddress>() };
}

// The other nodes of the data centre list only their region; they get the nodes
// of other regions from here.
void
Discovery::NodesListed(TimePoint aNow, const std::vector<NodeAddress>& aNodes)
{
  if (!mListedAt) {
    mListedAt = aNow;
  }
  PeerNodes(aNow, aNodes);
  if (IsWatching()) {
    mServer.TellNodes(mOptions.mSelf.mDataCentre, { aNodes });
  }
}

void
Discovery::UpdateLinks(TimePoint aNow)
{
  if (aNow - mLinksUpdated >= kLinksInterval) {
    mLinksUpdated = aNow;
    mDirectory.Forget(aNow);
    mLinks.SetLinks(aNow, mDirectory.Links(aNow));
  }
}

bool
Discovery::IsElectedToWatch(TimePoint aNow) const
{
  if (mIsLeaving || !mListedAt ||
      (mDirectory.KnowsRegion() && aNow - *mListedAt < kConnectPatience)) {
    return false;
  }
  std::vector<NodeId> others;
  std::vector<NodeId> reaching; // Those of them that reach the store.
  for (const NodeState* it : mLinks.ConnectedStates()) {
    if (it->mDataCentre != mOptions.mSelf.mDataCentre) {
      continue;
    }
    others.push_back({ it->mNode });
    if (it->mReachesStore) {
      reaching.push_back({ it->mNode });
    }
  }
  const size_t unreaching =
    others.size() - reaching.size() + (ReachesStore() ? 0 : 1);
  const bool isOutage = reaching.empty() || unreaching >= kOutageNodeCount;
  if (!ReachesStore() && !isOutage) {
    return false;
  }
  return WatcherElection::IsElected(mOptions.mSelf.mDataCentre,
                                    { mOptions.mSelf.mNode },
                                    isOutage ? others : reaching);
}

void
Discovery::UpdateWatching(TimePoint aNow)
{
  const bool watches = IsElectedToWatch(aNow);
  if (watches != IsWatching()) {
    mFollower.SetWatching(aNow, watches);
    mEvents.mStateChanged();
  }
}

void
Discovery::AskForRoutes(TimePoint aNow)
{
  if (const auto node = mRoutesFetch.Next(aNow, mRoutesVersion, IsWatching())) {
    mLinks.AskRoutes(*node, mRoutesVersion);
  }
}

} // namespace amaranthgap
