#pragma once

#include <string>
#include <vector>

#include "node/Snapshots.h"

namespace amaranthgap {

/** @return the nodes of a service that hold the closing record of an
 * incarnation, best one first: highest rendezvous weight among the nodes that
 * stay, without the host slot of the incarnation itself. */
std::vector<MemberUpdate>
HoldersOf(const MemberList& aMembers,
          const std::string& aService,
          const NodeRef& aClosed,
          size_t aCount);

/** How an incarnation stands in a member list. */
enum class Presence : uint8_t
{
  Present,
  Unknown,
  Left,
  Dead,
  Replaced,
};

[[nodiscard]] Presence
PresenceOf(const MemberList& aMembers, const NodeRef& aNode);

/** @return the peer address of a node, or an empty text when unknown. */
std::string
AddressOf(const MemberList& aMembers, const NodeRef& aNode);

} // namespace amaranthgap
