#include "node/ServiceGroup.h"

#include "node/Holders.h"

namespace amaranthgap {

std::vector<MemberUpdate>
ServiceGroup::Update(const NodeId& aSelf,
                     const std::string& aService,
                     const MemberList& aMembers)
{
  if (aService != mService) {
    mNodes.clear();
    mService = aService;
  }
  std::erase_if(mNodes, [&](const auto& aItem) {
    const auto it = aMembers.mByNode.find(aItem.first);
    if (it == aMembers.mByNode.end()) {
      return true;
    }
    const MemberUpdate& member = it->second;
    return PresenceOf(aMembers, aItem.second.mNode) != Presence::Present ||
           (!member.mService.empty() && member.mService != mService);
  });
  std::vector<MemberUpdate> added;
  if (const auto it = aMembers.mByService.find(mService);
      it != aMembers.mByService.end()) {
    for (const MemberUpdate& member : it->second) {
      if (member.mNode.mId == aSelf) {
        continue;
      }
      if (!mNodes.contains(member.mNode.mId)) {
        added.push_back(member);
      }
      mNodes[member.mNode.mId] = member;
    }
  }
  return added;
}

} // namespace amaranthgap
