#include "discovery/WatcherElection.h"

#include "base/Hash.h"

namespace amaranthgap {

bool
WatcherElection::IsElected(const std::string& aDataCentre,
                           const NodeId& aSelf,
                           const std::vector<NodeId>& aOthers)
{
  const uint64_t key = Hash64(aDataCentre);
  const uint64_t own = RendezvousWeight(aSelf.mValue, key);
  size_t before = 0;
  for (const auto& other : aOthers) {
    const uint64_t weight = RendezvousWeight(other.mValue, key);
    if (weight < own || (weight == own && other.mValue < aSelf.mValue)) {
      ++before;
    }
  }
  return before < kWatcherCount;
}

} // namespace amaranthgap
