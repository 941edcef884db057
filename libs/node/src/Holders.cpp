#include "node/Holders.h"

#include <algorithm>

#include "base/Hash.h"

namespace amaranthgap {

std::vector<MemberUpdate>
HoldersOf(const MemberList& aMembers,
          const std::string& aService,
          const NodeRef& aClosed,
          size_t aCount)
{
  const auto it = aMembers.mByService.find(aService);
  if (it == aMembers.mByService.end()) {
    return {};
  }
  const uint64_t key = Hash64(aClosed.mId.mValue, aClosed.mIncarnation.mValue);
  std::vector<std::pair<uint64_t, const MemberUpdate*>> ranked;
  for (const MemberUpdate& member : it->second) {
    if (member.mState != MemberState::Leaving &&
        member.mNode.mId != aClosed.mId) {
      ranked.emplace_back(RendezvousWeight(member.mNode.mId.mValue, key),
                          &member);
    }
  }
  const size_t count = std::min(aCount, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + ptrdiff_t(count),
                    ranked.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first > aRight.first;
                    });
  std::vector<MemberUpdate> holders;
  for (size_t i = 0; i < count; ++i) {
    holders.push_back(*ranked[i].second);
  }
  return holders;
}

Presence
PresenceOf(const MemberList& aMembers, const NodeRef& aNode)
{
  const auto it = aMembers.mByNode.find(aNode.mId);
  if (it == aMembers.mByNode.end()) {
    return Presence::Unknown;
  }
  const MemberUpdate& member = it->second;
  if (member.mNode.mIncarnation > aNode.mIncarnation) {
    return Presence::Replaced;
  }
  if (member.mNode.mIncarnation < aNode.mIncarnation) {
    return Presence::Unknown; // The list lags behind.
  }
  switch (member.mState) {
    case MemberState::Left:
      return Presence::Left;
    case MemberState::Dead:
      return Presence::Dead;
    default:
      return Presence::Present;
  }
}

std::string
AddressOf(const MemberList& aMembers, const NodeRef& aNode)
{
  const auto it = aMembers.mByNode.find(aNode.mId);
  return it == aMembers.mByNode.end() ? std::string{} : it->second.mPeerAddress;
}

} // namespace amaranthgap
