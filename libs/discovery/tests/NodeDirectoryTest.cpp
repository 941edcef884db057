#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "discovery/NodeDirectory.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

NodeAddress
MakeNode(int aRegion, int aDataCentre, int aNumber, const char* aService)
{
  const std::string region = "r" + std::to_string(aRegion);
  const std::string place = region + "d" + std::to_string(aDataCentre);
  return { .mNode = place + "-" + aService + std::to_string(aNumber),
           .mRun = 1,
           .mAddress = "address",
           .mDataCentre = place,
           .mRegion = region,
           .mService = aService };
}

NodeDirectory
MakeDirectory()
{
  return NodeDirectory(
    { .mNode = "self", .mDataCentre = "r0d0", .mRegion = "r0" });
}

// Three regions of three data centres with aNodes nodes of each service.
void
LearnFleet(NodeDirectory& aDirectory, int aNodes)
{
  for (int region = 0; region < 3; ++region) {
    for (int place = 0; place < 3; ++place) {
      for (int n = 0; n < aNodes; ++n) {
        aDirectory.Learn(kNow, MakeNode(region, place, n, "logs"));
        aDirectory.Learn(kNow, MakeNode(region, place, n, "crews"));
      }
    }
  }
}

size_t
CountOf(const std::vector<NodeAddress>& aNodes, const std::string& aPrefix)
{
  return size_t(
    std::count_if(aNodes.begin(), aNodes.end(), [&](const NodeAddress& aNode) {
      return aNode.mNode.starts_with(aPrefix);
    }));
}

} // namespace

// Guards against work of a node that grows with the fleet: connections to all
// nodes exceed the descriptors of a host at 4,100 nodes.
TEST_CASE("the number of connections does not grow with the fleet")
{
  for (const int nodes : { 2, 20, 200 }) {
    INFO(nodes);
    NodeDirectory directory = MakeDirectory();
    LearnFleet(directory, nodes);
    const auto links = directory.Links(kNow);
    const auto most = [&](size_t aMost) {
      return std::min(aMost, size_t(nodes));
    };
    CHECK(CountOf(links, "r0d0-logs") == most(16));
    CHECK(CountOf(links, "r0d1-logs") == most(8));
    CHECK(CountOf(links, "r0d2-crews") == most(8));
    CHECK(CountOf(links, "r1") == 4);
    CHECK(CountOf(links, "r2") == 4);
  }
}

// Guards against entry nodes that all use the same few targets.
TEST_CASE("different nodes choose different targets")
{
  std::set<std::string> chosen;
  for (int n = 0; n < 40; ++n) {
    NodeDirectory directory({ .mNode = "self" + std::to_string(n),
                              .mDataCentre = "r0d0",
                              .mRegion = "r0" });
    LearnFleet(directory, 5);
    for (const NodeAddress& it : directory.Links(kNow)) {
      if (it.mNode.starts_with("r1") && it.mService == "logs") {
        chosen.insert(it.mNode);
      }
    }
  }
  CHECK(chosen.size() == 15);
}

TEST_CASE("an unreachable node is replaced until it is connected again")
{
  NodeDirectory directory = MakeDirectory();
  LearnFleet(directory, 5);
  const auto remote = [&](TimePoint aNow) {
    std::vector<NodeAddress> out;
    for (const NodeAddress& it : directory.Links(aNow)) {
      if (it.mRegion == "r1" && it.mService == "logs") {
        out.push_back(it);
      }
    }
    return out;
  };
  const auto first = remote(kNow);
  REQUIRE(first.size() == 2);
  directory.Lost(kNow, first[0].mNode);
  CHECK(remote(kNow + milliseconds(900)).size() == 2);
  const auto replaced = remote(kNow + milliseconds(1100));
  REQUIRE(replaced.size() == 3); // The lost one is still tried.
  NodeState state;
  state.mNode = first[0].mNode;
  state.mService = "logs";
  directory.Connected(state);
  CHECK(remote(kNow + milliseconds(1200)).size() == 2);
}

// Guards against a storm of attempts to connect while a region is lost.
TEST_CASE("few nodes of a lost region are tried")
{
  NodeDirectory directory = MakeDirectory();
  LearnFleet(directory, 50);
  for (const NodeAddress& it : directory.All()) {
    if (it.mRegion == "r1") {
      directory.Lost(kNow, it.mNode);
    }
  }
  CHECK(CountOf(directory.Links(kNow + seconds(2)), "r1") == 8);
}

// Guards against a node that was replaced at another address and stays unknown,
// and against a late entry that brings the old address back.
TEST_CASE("the newest run of a node is known")
{
  NodeDirectory directory = MakeDirectory();
  NodeAddress node = MakeNode(0, 0, 1, "logs");
  CHECK(directory.Learn(kNow, node));
  CHECK_FALSE(directory.Learn(kNow, node));
  node.mRun = 5;
  node.mAddress = "new";
  CHECK(directory.Learn(kNow, node));
  node.mRun = 3;
  node.mAddress = "old";
  CHECK_FALSE(directory.Learn(kNow, node));
  CHECK(directory.All().front().mAddress == "new");
  NodeAddress self = node;
  self.mNode = "self";
  CHECK_FALSE(directory.Learn(kNow, self));
}

TEST_CASE("a node without a connection is forgotten after a minute")
{
  NodeDirectory directory = MakeDirectory();
  LearnFleet(directory, 1);
  NodeState connected;
  connected.mNode = "r0d0-logs0";
  connected.mService = "logs";
  directory.Connected(connected);
  directory.Forget(kNow + seconds(59));
  CHECK(directory.All().size() == 18);
  directory.Forget(kNow + seconds(61));
  REQUIRE(directory.All().size() == 1);
  CHECK(directory.All().front().mNode == connected.mNode);
}
