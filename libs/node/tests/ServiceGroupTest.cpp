#include <catch2/catch.hpp>

#include "node/ServiceGroup.h"

using namespace amaranthgap;

namespace {

MemberUpdate
MakeMember(const std::string& aName,
           uint64_t aIncarnation,
           MemberState aState,
           const std::string& aService)
{
  return { .mNode = { { aName }, { aIncarnation } },
           .mState = aState,
           .mPeerAddress = "127.0.0.1:1",
           .mService = aService };
}

MemberList
MakeList(const std::vector<MemberUpdate>& aMembers)
{
  MemberList list;
  for (const MemberUpdate& member : aMembers) {
    list.mByNode[member.mNode.mId] = member;
    if (!member.mService.empty() && member.mState != MemberState::Dead) {
      list.mByService[member.mService].push_back(member);
    }
  }
  return list;
}

} // namespace

// Guards against a node that runs a quarantined request again because its
// upstream was down when the quarantine was reported.
TEST_CASE("a node with a stopped upstream stays in the group", "[node]")
{
  struct Case
  {
    const char* mName;
    MemberUpdate mNext;
    size_t mNodes;
    size_t mAdded;
  };
  const Case cases[] = {
    { "unchanged", MakeMember("b", 5, MemberState::Warm, "s"), 1, 0 },
    { "upstream down", MakeMember("b", 5, MemberState::Joined, ""), 1, 0 },
    { "dead", MakeMember("b", 5, MemberState::Dead, "s"), 0, 0 },
    { "other service", MakeMember("b", 5, MemberState::Warm, "t"), 0, 0 },
    { "replaced", MakeMember("b", 6, MemberState::Warm, "s"), 1, 1 },
    { "replaced, down", MakeMember("b", 6, MemberState::Joined, ""), 0, 0 },
  };
  const NodeId self{ "a" };
  for (const Case& row : cases) {
    INFO(row.mName);
    ServiceGroup group;
    const auto first =
      group.Update(self,
                   "s",
                   MakeList({ MakeMember("a", 1, MemberState::Warm, "s"),
                              MakeMember("b", 5, MemberState::Warm, "s") }));
    REQUIRE(first.size() == 1);
    const auto added = group.Update(self, "s", MakeList({ row.mNext }));
    CHECK(added.size() == row.mAdded);
    CHECK(group.Nodes().size() == row.mNodes);
  }
}
