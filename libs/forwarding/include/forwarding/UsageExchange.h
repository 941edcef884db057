#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Decides which node tells which other ones of the usage of customers.
 *
 * Every node tells all connected nodes of its region what it admitted since its
 * last report. One node of each region, chosen by rendezvous hashing without a
 * message, sums the reports of its region up for one node in each other region,
 * which passes the sum on in its own. Two nodes that both take themselves for
 * the chosen one report twice, which admits too little for a moment; a region
 * without one is not heard elsewhere, and counts as not covered. Not
 * thread-safe. */
class UsageExchange
{
public:
  /** Time between two reports of a node. */
  static constexpr Duration kInterval = milliseconds(250);
  /** Reports older than this no longer count for Coverage(). */
  static constexpr Duration kHeardTime = milliseconds(700);

  /** Node that a report can be sent to. */
  struct Peer
  {
    std::string mNode;
    std::string mRegion;
  };

  struct Outgoing
  {
    std::string mNode;
    CustomerUsageReport mReport;
  };

  UsageExchange(std::string aNode, std::string aRegion)
    : mNode(std::move(aNode))
    , mRegion(std::move(aRegion))
  {
  }

  /** @return whether the next reports are due. */
  [[nodiscard]] bool IsDue(TimePoint aNow) const
  {
    return aNow - mReported >= kInterval;
  }
  /** @param aOwn usage by this node since its last report.
   * @return the reports to send. */
  std::vector<Outgoing> Report(TimePoint aNow,
                               const std::vector<CustomerUsage>& aOwn,
                               const std::vector<Peer>& aPeers);
  /** Takes a report from a peer.
   * @return the reports to send on. */
  std::vector<Outgoing> Received(TimePoint aNow,
                                 const Peer& aFrom,
                                 const CustomerUsageReport& aReport,
                                 const std::vector<Peer>& aPeers);

  /** @param aKnownNodes nodes of the fleet, with this one.
   * @return the part of them whose usage has arrived here lately. */
  [[nodiscard]] double Coverage(TimePoint aNow, size_t aKnownNodes) const;

private:
  struct Heard
  {
    TimePoint mTime{};
    uint32_t mNodeCount = 0;
  };

  /** @return whether this node reports for its region. */
  [[nodiscard]] bool IsChosen(const std::vector<Peer>& aPeers) const;

  std::string mNode;
  std::string mRegion;
  TimePoint mReported{};
  std::map<std::string, Heard> mNodes;         ///< Of this region.
  std::map<std::string, Heard> mRegions;       ///< Other ones.
  std::map<uint32_t, CustomerUsage> mOfRegion; ///< Since the last report.
};

} // namespace amaranthgap
