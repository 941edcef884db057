#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/Manifest.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** Members as the routing sees them. Immutable; shared between shards. */
struct MemberList
{
  /** Members by service that are Warm, Leaving or Suspect. */
  std::map<std::string, std::vector<MemberUpdate>, std::less<>> mByService;
  /** Nodes of the own region, for the share of a link. */
  uint32_t mRegionNodes = 1;
  /** Latest incarnation of every known node, dead ones included. */
  std::map<NodeId, MemberUpdate> mByNode;
};

using ManifestPtr = std::shared_ptr<const Manifest>;
using MemberListPtr = std::shared_ptr<const MemberList>;

} // namespace amaranthgap
