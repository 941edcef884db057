#include <catch2/catch.hpp>

#include "discovery/WatcherElection.h"

using namespace amaranthgap;

// Guards against a data centre with no watcher or too many, and an election in
// which the loss of one watcher replaces both.
TEST_CASE("two watchers are elected per data centre")
{
  std::vector<NodeId> nodes;
  nodes.reserve(820);
  for (int i = 0; i < 820; ++i) {
    nodes.push_back({ "host-" + std::to_string(i) });
  }
  const auto elected = [](const std::vector<NodeId>& aNodes) {
    std::vector<NodeId> result;
    for (const auto& node : aNodes) {
      auto others = aNodes;
      std::erase(others, node);
      if (WatcherElection::IsElected("dc-1", node, others)) {
        result.push_back(node);
      }
    }
    return result;
  };
  const auto first = elected(nodes);
  REQUIRE(first.size() == 2);
  std::erase(nodes, first[0]);
  const auto second = elected(nodes);
  REQUIRE(second.size() == 2);
  CHECK((second[0] == first[1] || second[1] == first[1]));
  CHECK(elected({ { "alone" } }).size() == 1);
}
