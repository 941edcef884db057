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

/** Upstream time that each party attained at one importance level, decayed
 * with a half-life of 2 s, here and on the other nodes of the service.
 * Not safe for use by several threads. */
class PartyUsage
{
public:
  void Charge(TimePoint aNow,
              const std::string& aParty,
              uint32_t aImportance,
              Duration aUpstreamTime);

  /** @return seconds attained over the whole service. */
  [[nodiscard]] double AttainedSeconds(TimePoint aNow,
                                       const std::string& aParty,
                                       uint32_t aImportance) const;

  /** Replaces what another node reported. Reports older than 2 s count as
   * decayed, and leave after 10 s. */
  void SetRemote(TimePoint aNow,
                 const NodeId& aNode,
                 const std::vector<PartyShare>& aShares);

  /** @return what this node alone served, for a UsageReport. */
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

  void DropFaded(TimePoint aNow);

  std::map<Key, Local> mLocal;
  std::map<NodeId, Remote> mRemote;
  size_t mChargesSinceSweep = 0;
};

} // namespace amaranthgap
