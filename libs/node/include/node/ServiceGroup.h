#pragma once

#include <map>
#include <string>
#include <vector>

#include "node/Snapshots.h"

namespace amaranthgap {

/** The other nodes of the own service. A node stays in the group while its
 * upstream is down: it needs the crash reports that arrive meanwhile, and would
 * otherwise run a quarantined request again as soon as its upstream is back.
 * Not safe for use by several threads. */
class ServiceGroup
{
public:
  /** Takes over a member list.
   * @return nodes that were not in the group before, or in an older
   * incarnation. */
  std::vector<MemberUpdate> Update(const NodeId& aSelf,
                                   const std::string& aService,
                                   const MemberList& aMembers);

  [[nodiscard]] const std::map<NodeId, MemberUpdate>& Nodes() const
  {
    return mNodes;
  }

private:
  std::string mService;
  std::map<NodeId, MemberUpdate> mNodes;
};

} // namespace amaranthgap
