#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>

#include "base/Hash.h"
#include "base/Rng.h"
#include "discovery/NodeDirectory.h"
#include "forwarding/TargetPicker.h"
#include "proxy/CrashExchange.h"
#include "wire/FrameCodec.h"

using namespace amaranthgap;

namespace {

const std::string kService = "logs";
constexpr Duration kSameRegionDelay = milliseconds(1);
constexpr Duration kOtherRegionDelay = milliseconds(20);

struct Layout
{
  const char* mName;
  size_t mNodes;        ///< Of all services.
  size_t mServiceNodes; ///< Of the service under test.
  size_t mDataCentres;
  size_t mRegions;
};

/** Exchanges of all nodes of a fleet, connected as NodeDirectory chooses, with
 * links that deliver after the time between their places. */
class ExchangeFleet
{
public:
  explicit ExchangeFleet(const Layout& aLayout)
    : mLogger({ .mLevel = LogLevel::Error })
  {
    for (size_t n = 0; n < aLayout.mNodes; ++n) {
      const size_t place = n % aLayout.mDataCentres;
      auto& node = *mNodes.emplace_back(std::make_unique<Node>());
      node.mAddress = { .mNode = "n" + std::to_string(n),
                        .mRun = 1,
                        .mDataCentre = "dc" + std::to_string(place),
                        .mRegion =
                          "r" + std::to_string(place % aLayout.mRegions),
                        .mService =
                          n < aLayout.mServiceNodes ? kService : "other" };
    }
    for (const auto& node : mNodes) {
      NodeDirectory directory({ .mNode = node->mAddress.mNode,
                                .mDataCentre = node->mAddress.mDataCentre,
                                .mRegion = node->mAddress.mRegion });
      for (size_t n = 0; n < aLayout.mServiceNodes; ++n) {
        directory.Learn(mNow, mNodes[n]->mAddress);
      }
      for (const NodeAddress& it : directory.Links(mNow)) {
        node->mPeers.insert(IndexOf(it));
        mNodes[IndexOf(it)]->mPeers.insert(IndexOf(node->mAddress));
      }
    }
    for (size_t n = 0; n < mNodes.size(); ++n) {
      Start(n);
    }
  }

  /** Starts a node anew, without what it knew. */
  void Start(size_t aNode)
  {
    Node& node = *mNodes[aNode];
    node.mExchange = std::make_unique<CrashExchange>(
      mLogger,
      CrashExchange::Options{ .mNode = node.mAddress.mNode,
                              .mRegion = node.mAddress.mRegion,
                              .mService = node.mAddress.mService,
                              .mSeed = ++mSeed },
      CrashExchange::Outlets{
        .mSend =
          [this, aNode](const CrashNotice& aNotice,
                        const CrashExchange::PeerFilter& aFilter) {
            for (const size_t peer : mNodes[aNode]->mPeers) {
              if (aFilter(PeerOf(peer)) && IsReachable(aNode, peer)) {
                Send(aNode, peer, aNotice);
              }
            }
          },
        .mKeep =
          [this](TimePoint, const CrashNotice& aVerdicts) {
            mKept.push_back(aVerdicts);
          },
        .mReadKept =
          [this, aNode](bool aIsUrgent) {
            mNodes[aNode]->mReadsKept |= aIsUrgent || aNode == mCutNode;
          } });
  }

  /** Exchanges what both ends of each connection send first. */
  void Connect(size_t aNode)
  {
    for (const size_t peer : mNodes[aNode]->mPeers) {
      if (IsReachable(aNode, peer)) {
        SendFirst(aNode, peer);
        SendFirst(peer, aNode);
      }
    }
  }

  /** Cuts a region off from all others, or reconnects all. */
  void Cut(std::string aRegion) { mCutRegion = std::move(aRegion); }
  /** Cuts a node off from all others, but not from the store. */
  void CutNode(size_t aNode) { mCutNode = aNode; }
  /** Holds what is sent to a node until some time has passed. */
  void Freeze(size_t aNode, Duration aTime)
  {
    mNodes[aNode]->mFrozenUntil = mNow + aTime;
  }

  void Crash(size_t aNode, const std::vector<InFlightRequest>& aOthers = {})
  {
    std::vector<InFlightRequest> inFlight = aOthers;
    const CrashExchange& exchange = *mNodes[aNode]->mExchange;
    inFlight.push_back(
      { .mFingerprints = kPrints,
        .mIsTrial =
          exchange.Evidence().StateOf(mNow, kPrints) == Suspicion::Probation });
    mNodes[aNode]->mExchange->Crashed(mNow, inFlight);
    ReadKept(aNode);
  }

  void RunFor(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (!mMessages.empty() && mMessages.begin()->first <= end) {
      const auto message = mMessages.extract(mMessages.begin());
      mNow = message.key();
      const Message& it = message.mapped();
      Node& to = *mNodes[it.mTo];
      to.mBytes += EncodeFrame(it.mNotice).size();
      to.mExchange->Received(mNow, PeerOf(it.mFrom), it.mNotice);
    }
    mNow = end;
  }

  [[nodiscard]] size_t CountWith(Suspicion aState) const
  {
    return size_t(
      std::count_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return aNode->mExchange->Evidence().StateOf(mNow, kPrints) == aState;
      }));
  }
  [[nodiscard]] Suspicion StateOf(size_t aNode) const
  {
    return mNodes[aNode]->mExchange->Evidence().StateOf(mNow, kPrints);
  }
  /** @return the targets that the nodes of other services choose for a trial.
   */
  [[nodiscard]] std::set<std::string> TrialNodes(
    const RequestFingerprints& aPrints) const
  {
    std::set<std::string> out;
    for (const auto& node : mNodes) {
      const NodeAddress& entry = node->mAddress;
      if (entry.mService == kService) {
        continue;
      }
      TargetPicker picker(
        { .mDataCentre = entry.mDataCentre, .mRegion = entry.mRegion });
      for (const size_t peer : node->mPeers) {
        const NodeAddress& it = mNodes[peer]->mAddress;
        picker.SetTarget(mNow,
                         { .mNode = it.mNode,
                           .mDataCentre = it.mDataCentre,
                           .mRegion = it.mRegion,
                           .mService = it.mService,
                           .mTakesWork = true });
      }
      const auto chosen =
        picker.ChooseForTrial(mNow, kService, aPrints.mTrialKey, {});
      out.insert(chosen ? chosen->mNode : "none");
    }
    return out;
  }
  [[nodiscard]] std::vector<size_t> ServiceNodesIn(
    const std::string& aRegion) const
  {
    std::vector<size_t> out;
    for (size_t n = 0; n < mNodes.size(); ++n) {
      const NodeAddress& it = mNodes[n]->mAddress;
      if (it.mService == kService && it.mRegion == aRegion) {
        out.push_back(n);
      }
    }
    return out;
  }
  [[nodiscard]] size_t MostBytes() const
  {
    size_t out = 0;
    for (const auto& it : mNodes) {
      out = std::max(out, it->mBytes);
    }
    return out;
  }

private:
  static inline const RequestFingerprints kPrints{ .mOfContent = 7,
                                                   .mFromCaller = 8,
                                                   .mOfResource = 9,
                                                   .mTrialKey = 10,
                                                   .mService =
                                                     Hash64(kService) };
  struct Node
  {
    NodeAddress mAddress;
    std::set<size_t> mPeers;
    std::unique_ptr<CrashExchange> mExchange;
    size_t mBytes = 0; ///< Received.
    bool mReadsKept = false;
    TimePoint mFrozenUntil{};
  };
  struct Message
  {
    size_t mFrom = 0;
    size_t mTo = 0;
    CrashNotice mNotice;
  };

  static size_t IndexOf(const NodeAddress& aAddress)
  {
    return std::stoul(aAddress.mNode.substr(1));
  }
  [[nodiscard]] CrashExchange::Peer PeerOf(size_t aNode) const
  {
    const NodeAddress& it = mNodes[aNode]->mAddress;
    return { it.mNode, it.mService, it.mRegion };
  }
  [[nodiscard]] bool IsReachable(size_t aFrom, size_t aTo) const
  {
    if (aFrom == mCutNode || aTo == mCutNode) {
      return false;
    }
    const std::string& from = mNodes[aFrom]->mAddress.mRegion;
    const std::string& to = mNodes[aTo]->mAddress.mRegion;
    return from == to || (from != mCutRegion && to != mCutRegion);
  }
  void Send(size_t aFrom, size_t aTo, const CrashNotice& aNotice)
  {
    const bool isNear =
      mNodes[aFrom]->mAddress.mRegion == mNodes[aTo]->mAddress.mRegion;
    const TimePoint arrival =
      mNow + (isNear ? kSameRegionDelay : kOtherRegionDelay);
    mMessages.emplace(std::max(arrival, mNodes[aTo]->mFrozenUntil),
                      Message{ aFrom, aTo, aNotice });
  }
  void ReadKept(size_t aNode)
  {
    if (std::exchange(mNodes[aNode]->mReadsKept, false)) {
      for (const CrashNotice& it : mKept) {
        mNodes[aNode]->mExchange->ReadKept(mNow, it);
      }
    }
  }
  void SendFirst(size_t aFrom, size_t aTo)
  {
    for (const CrashNotice& it :
         mNodes[aFrom]->mExchange->NoticesFor(mNow, PeerOf(aTo))) {
      Send(aFrom, aTo, it);
    }
  }

  Logger mLogger;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::multimap<TimePoint, Message> mMessages;
  std::string mCutRegion;
  std::optional<size_t> mCutNode;
  std::vector<CrashNotice> mKept; ///< In the store.
  TimePoint mNow{ seconds(100) };
  uint64_t mSeed = 0;
};

std::vector<InFlightRequest>
Others(size_t aCount, uint64_t aFirst)
{
  std::vector<InFlightRequest> out;
  for (uint64_t n = aFirst; n < aFirst + aCount; ++n) {
    out.push_back({ .mFingerprints = { .mOfContent = Rng(n).Next(),
                                       .mFromCaller = Rng(n).Next() + 1,
                                       .mOfResource = Rng(n).Next() + 2,
                                       .mTrialKey = Rng(n).Next() } });
  }
  return out;
}

const std::vector<Layout> kLayouts{
  { "large site", 195, 49, 9, 3 },
  { "two years", 4100, 10, 5, 2 },
};
constexpr size_t kSlotCount = 159;

} // namespace

// Guards against nodes that send a crashing request on because they have not
// been told.
TEST_CASE("a quarantine reaches all nodes of the largest fleet within a second")
{
  const Layout layout = GENERATE(from_range(kLayouts));
  INFO(layout.mName);
  ExchangeFleet fleet(layout);
  for (size_t n = 0; n < 3; ++n) {
    CHECK(fleet.CountWith(Suspicion::Quarantined) == 0);
    fleet.Crash(n * 4, Others(kSlotCount, 1000 * n));
    fleet.RunFor(seconds(1));
  }
  CHECK(fleet.CountWith(Suspicion::Quarantined) == layout.mNodes);
  // The budget for control over ten seconds: crashes are rare, and these come
  // from one content that has to be found.
  constexpr size_t kMaxBytes = size_t(10) * 9 * 1024;
  INFO("most bytes received by a node: " << fleet.MostBytes());
  CHECK(fleet.MostBytes() <= kMaxBytes);
}

// Guards against a verdict that is lost with the processes that reached it.
TEST_CASE("a quarantine outlives restarts of all nodes of its service")
{
  const Layout layout = GENERATE(from_range(kLayouts));
  INFO(layout.mName);
  ExchangeFleet fleet(layout);
  for (size_t n = 0; n < 3; ++n) {
    fleet.Crash(n);
    fleet.RunFor(seconds(1));
  }
  for (size_t n = 0; n < layout.mServiceNodes; ++n) {
    fleet.Start(n);
  }
  CHECK(fleet.StateOf(0) == Suspicion::Clear);
  for (size_t n = 0; n < layout.mServiceNodes; ++n) {
    fleet.Connect(n);
  }
  fleet.RunFor(seconds(1));
  CHECK(fleet.CountWith(Suspicion::Quarantined) == layout.mNodes);
}

// Guards against a region that learns nothing of what happened beyond a cut.
TEST_CASE("a region that was cut off learns of a quarantine when it is back")
{
  const Layout layout = GENERATE(from_range(kLayouts));
  INFO(layout.mName);
  ExchangeFleet fleet(layout);
  fleet.Cut("r1");
  const std::vector<size_t> nodes = fleet.ServiceNodesIn("r0");
  for (size_t n = 0; n < 3; ++n) {
    fleet.Crash(nodes[n]);
    fleet.RunFor(seconds(1));
  }
  const size_t known = fleet.CountWith(Suspicion::Quarantined);
  CHECK(known > 0);
  CHECK(known < layout.mNodes);
  fleet.Cut("");
  for (size_t n = 0; n < layout.mNodes; ++n) {
    fleet.Connect(n);
  }
  fleet.RunFor(seconds(1));
  CHECK(fleet.CountWith(Suspicion::Quarantined) == layout.mNodes);
}

// Guards against three more crashes in each region that is cut off.
TEST_CASE("a region that is cut off reads a quarantine at its second crash")
{
  const Layout layout = GENERATE(from_range(kLayouts));
  INFO(layout.mName);
  ExchangeFleet fleet(layout);
  fleet.Cut("r1");
  for (const char* region : { "r0", "r1" }) {
    const std::vector<size_t> nodes = fleet.ServiceNodesIn(region);
    const size_t count = region == std::string("r0") ? 3 : 2;
    for (size_t n = 0; n < count; ++n) {
      fleet.Crash(nodes[n]);
      fleet.RunFor(seconds(1));
    }
  }
  for (const size_t node : fleet.ServiceNodesIn("r1")) {
    CHECK(fleet.StateOf(node) == Suspicion::Quarantined);
  }
}

// Guards against three more crashes beside each node that is cut off.
TEST_CASE("a node that is cut off reads a quarantine at its first crash")
{
  const Layout layout = GENERATE(from_range(kLayouts));
  INFO(layout.mName);
  ExchangeFleet fleet(layout);
  constexpr size_t kCutNode = 9;
  fleet.CutNode(kCutNode);
  for (size_t n = 0; n < 3; ++n) {
    fleet.Crash(n);
    fleet.RunFor(seconds(1));
  }
  CHECK(fleet.StateOf(kCutNode) == Suspicion::Clear);
  fleet.Crash(kCutNode);
  CHECK(fleet.StateOf(kCutNode) == Suspicion::Quarantined);
}

// Guards against what was sent to a frozen node, and against its crash, if they
// are taken in the wrong order.
TEST_CASE("a node that was frozen knows what crashed meanwhile")
{
  const Layout layout = GENERATE(from_range(kLayouts));
  INFO(layout.mName);
  ExchangeFleet fleet(layout);
  constexpr size_t kFrozenNode = 5;
  fleet.Crash(0);
  fleet.RunFor(seconds(1));
  fleet.Freeze(kFrozenNode, seconds(5));
  fleet.Crash(1);
  fleet.RunFor(seconds(1));
  fleet.Crash(2);
  fleet.RunFor(seconds(1));
  CHECK(fleet.StateOf(kFrozenNode) == Suspicion::Suspect);
  // Its upstream has crashed while it was frozen, which it notices first.
  fleet.Crash(kFrozenNode);
  fleet.RunFor(seconds(5));
  CHECK(fleet.CountWith(Suspicion::Quarantined) == layout.mNodes);
}

// Guards against copies of a request that are each tried by another node.
TEST_CASE("few nodes of a service try a request on probation")
{
  const Layout layout = GENERATE(from_range(std::vector<Layout>{
    { "smallest site", 24, 6, 6, 3 }, kLayouts[0], kLayouts[1] }));
  INFO(layout.mName);
  const ExchangeFleet fleet(layout);
  // Upstreams of one service in the smallest site are few. The users allow
  // three further crashes anywhere.
  const size_t most = layout.mServiceNodes > 6 ? layout.mRegions : 1;
  CHECK(layout.mRegions <= 3);
  for (const InFlightRequest& it : Others(10, 1)) {
    const std::set<std::string> nodes = fleet.TrialNodes(it.mFingerprints);
    CHECK(!nodes.contains("none"));
    CHECK(nodes.size() <= most);
  }
}
