#pragma once

#include <string>
#include <vector>

#include "base/Ids.h"

namespace amaranthgap {

/** Elects the nodes of a data centre that watch the store: those with the
 * lowest rendezvous weight. Nodes with the same member list agree without
 * exchanging messages. While lists differ, one node more or fewer may watch;
 * this affects the number of store calls but not correctness. */
class WatcherElection
{
public:
  static constexpr size_t kWatcherCount = 2;

  /**
   * @param aDataCentre data centre of the candidates.
   * @param aSelf this node, a candidate.
   * @param aOthers the other live nodes of the data centre.
   * @return whether aSelf is elected.
   */
  static bool IsElected(const std::string& aDataCentre,
                        const NodeId& aSelf,
                        const std::vector<NodeId>& aOthers);
};

} // namespace amaranthgap
