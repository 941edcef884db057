#pragma once

#include <string>
#include <vector>

#include "base/Ids.h"

namespace amaranthgap {

/** Choice of the nodes of one data centre that watch the store: those with the
 * lowest rendezvous weight. Nodes with the same member list agree without any
 * message; while lists differ, one more or one fewer may watch, which costs
 * calls but does no harm. */
class WatcherElection
{
public:
  static constexpr size_t kWatcherCount = 2;

  /**
   * @param aDataCentre data centre of all candidates.
   * @param aSelf this node, a candidate.
   * @param aOthers the other nodes of the data centre that are live.
   * @return whether aSelf is to watch.
   */
  static bool IsElected(const std::string& aDataCentre,
                        const NodeId& aSelf,
                        const std::vector<NodeId>& aOthers);
};

} // namespace amaranthgap
