#include "forwarding/UsageExchange.h"

#include <algorithm>
#include <set>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

uint64_t
WeightOf(const std::string& aRegion, const std::string& aNode)
{
  return Hash64(aNode, Hash64(aRegion));
}

} // namespace

bool
UsageExchange::IsChosen(const std::vector<Peer>& aPeers) const
{
  const uint64_t own = WeightOf(mRegion, mNode);
  return std::none_of(aPeers.begin(), aPeers.end(), [&](const Peer& aPeer) {
    return aPeer.mRegion == mRegion && WeightOf(mRegion, aPeer.mNode) < own;
  });
}

std::vector<UsageExchange::Outgoing>
UsageExchange::Report(TimePoint aNow,
                      const std::vector<CustomerUsage>& aOwn,
                      const std::vector<Peer>& aPeers)
{
  mReported = aNow;
  std::vector<Outgoing> out;
  const CustomerUsageReport own{ .mRegion = mRegion,
                                 .mNodeCount = 1,
                                 .mUsage = aOwn };
  for (const Peer& it : aPeers) {
    if (it.mRegion == mRegion) {
      out.push_back({ it.mNode, own });
    }
  }
  const auto ofRegion = std::exchange(mOfRegion, {});
  if (!IsChosen(aPeers)) {
    return out;
  }
  CustomerUsageReport sum{
    .mRegion = mRegion, .mIsOfRegion = true, .mNodeCount = 1, .mUsage = aOwn
  };
  for (const auto& [node, heard] : mNodes) {
    sum.mNodeCount += aNow - heard.mTime < kHeardTime ? 1 : 0;
  }
  for (const auto& [number, usage] : ofRegion) {
    sum.mUsage.push_back(usage);
  }
  std::set<std::string> told;
  for (const Peer& it : aPeers) {
    if (it.mRegion != mRegion && told.insert(it.mRegion).second) {
      out.push_back({ it.mNode, sum });
    }
  }
  return out;
}

std::vector<UsageExchange::Outgoing>
UsageExchange::Received(TimePoint aNow,
                        const Peer& aFrom,
                        const CustomerUsageReport& aReport,
                        const std::vector<Peer>& aPeers)
{
  if (!aReport.mIsOfRegion) {
    mNodes[aFrom.mNode] = { aNow, 1 };
    for (const CustomerUsage& it : aReport.mUsage) {
      CustomerUsage& sum = mOfRegion[it.mCustomer];
      sum.mCustomer = it.mCustomer;
      sum.mAsked += it.mAsked;
      sum.mAdmitted += it.mAdmitted;
    }
    return {};
  }
  mRegions[aReport.mRegion] = { aNow, aReport.mNodeCount };
  std::vector<Outgoing> out;
  if (aFrom.mRegion == aReport.mRegion) {
    for (const Peer& it : aPeers) {
      if (it.mRegion == mRegion) {
        out.push_back({ it.mNode, aReport });
      }
    }
  }
  return out;
}

double
UsageExchange::Coverage(TimePoint aNow, size_t aKnownNodes) const
{
  size_t heard = 1;
  for (const auto* all : { &mNodes, &mRegions }) {
    for (const auto& [name, it] : *all) {
      heard += aNow - it.mTime < kHeardTime ? it.mNodeCount : 0;
    }
  }
  return std::min(1.0,
                  double(heard) / double(std::max<size_t>(aKnownNodes, 1)));
}

} // namespace amaranthgap
