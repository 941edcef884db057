#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** Upstream time that each party attained at each importance level, on this
 * node and on the other nodes of the service, decayed with a half-life of 2 s.
 * Not thread-safe. */
class PartyUsage
{
public:
  /** Adds upstream time that a call of the party used on this node. */
  void Charge(TimePoint aNow,
              const std::string& aParty,
              uint32_t aImportance,
              Duration aUpstreamTime);

  /** @return decayed seconds attained on all nodes of the service. */
  [[nodiscard]] double AttainedSeconds(TimePoint aNow,
                                       const std::string& aParty,
                                       uint32_t aImportance) const;

  /** Replaces the last report of another node. A report decays from an age of
   * 2 s and is dropped at 10 s. */
  void SetRemote(TimePoint aNow,
                 const NodeId& aNode,
                 const std::vector<PartyShare>& aShares);

  /** @return decayed shares attained on this node only, for a UsageReport. */
  [[nodiscard]] std::vector<PartyShare> LocalShares(TimePoint aNow) const;

private:
  using Key = std::pair<uint32_t, std::string>; ///< Importance and party.

  struct Local
  {
    double mSeconds = 0; ///< As of mTime.
    TimePoint mTime;
  };

  struct Remote
  {
    TimePoint mReceived;
    std::map<Key, double> mSeconds;
  };

  void RemoveNegligible(TimePoint aNow);

  std::map<Key, Local> mLocal;
  std::map<NodeId, Remote> mRemote;
  size_t mChargesSinceCleanup = 0;
};

} // namespace amaranthgap
