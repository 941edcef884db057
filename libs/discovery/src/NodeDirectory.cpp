#include "discovery/NodeDirectory.h"

#include <algorithm>
#include <utility>

#include "base/Address.h"
#include "base/Hash.h"
#include "base/LatestMoment.h"

namespace amaranthgap {

namespace {

// A node without a connection for this time is replaced by another one of its
// service.
constexpr Duration kUnreachableAfter = seconds(1);
constexpr Duration kForgetAfter = seconds(60);
// Bounds the attempts to connect when a whole region is lost.
constexpr size_t kMostTriedFactor = 2;

} // namespace

bool
IsUsable(const NodeAddress& aAddress)
{
  return IsConnectable(aAddress.mAddress) &&
         aAddress.mRun <= kLatestMomentMillis;
}

NodeDirectory::NodeDirectory(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
NodeDirectory::Learn(TimePoint aNow, const NodeAddress& aAddress)
{
  if (aAddress.mNode == mOptions.mNode) {
    return false;
  }
  const auto [it, isNew] = mEntries.try_emplace(aAddress.mNode);
  Entry& entry = it->second;
  if (!isNew && entry.mAddress.mRun >= aAddress.mRun) {
    return false;
  }
  entry.mAddress = aAddress;
  entry.mWeight = RendezvousWeight(aAddress.mNode, Hash64(mOptions.mNode));
  entry.mKnownSince = aNow;
  entry.mLostSince.reset();
  return true;
}

void
NodeDirectory::Connected(const NodeState& aState)
{
  if (const auto it = mEntries.find(aState.mNode); it != mEntries.end()) {
    Entry& entry = it->second;
    entry.mIsConnected = true;
    entry.mLostSince.reset();
    entry.mAddress.mRun = std::max(entry.mAddress.mRun, aState.mRun);
    entry.mAddress.mService = aState.mService;
  }
}

void
NodeDirectory::Lost(TimePoint aNow, const std::string& aNode)
{
  if (const auto it = mEntries.find(aNode); it != mEntries.end()) {
    it->second.mIsConnected = false;
    if (!it->second.mLostSince) {
      it->second.mLostSince = aNow;
    }
  }
}

void
NodeDirectory::Forget(TimePoint aNow)
{
  std::erase_if(mEntries, [&](const auto& aPair) {
    const Entry& entry = aPair.second;
    return !entry.mIsConnected &&
           aNow - entry.mLostSince.value_or(entry.mKnownSince) > kForgetAfter;
  });
}

bool
NodeDirectory::IsUnreachable(TimePoint aNow, const Entry& aEntry) const
{
  return aEntry.mLostSince && aNow - *aEntry.mLostSince > kUnreachableAfter;
}

size_t
NodeDirectory::MostOf(const Entry& aEntry) const
{
  if (aEntry.mAddress.mDataCentre == mOptions.mDataCentre) {
    return mOptions.mMostInDataCentre;
  }
  return aEntry.mAddress.mRegion == mOptions.mRegion
           ? mOptions.mMostInRegion
           : mOptions.mMostInOtherRegion;
}

std::vector<NodeAddress>
NodeDirectory::Links(TimePoint aNow) const
{
  std::vector<const Entry*> byWeight;
  byWeight.reserve(mEntries.size());
  for (const auto& [node, entry] : mEntries) {
    byWeight.push_back(&entry);
  }
  std::sort(byWeight.begin(),
            byWeight.end(),
            [](const Entry* aOne, const Entry* aOther) {
              return aOne->mWeight < aOther->mWeight;
            });
  struct Count
  {
    size_t mReachable = 0;
    size_t mTried = 0;
  };
  std::map<std::pair<std::string, std::string>, Count> counts;
  std::vector<NodeAddress> out;
  for (const Entry* it : byWeight) {
    const NodeAddress& address = it->mAddress;
    const bool isOwnRegion = address.mRegion == mOptions.mRegion;
    Count& count =
      counts[{ isOwnRegion ? address.mDataCentre : "region " + address.mRegion,
               address.mService }];
    const size_t most = MostOf(*it);
    if (count.mReachable >= most || count.mTried >= kMostTriedFactor * most) {
      continue;
    }
    out.push_back(address);
    ++count.mTried;
    // An unreachable node is retried in addition to its replacement.
    count.mReachable += IsUnreachable(aNow, *it) ? 0 : 1;
  }
  return out;
}

std::vector<NodeAddress>
NodeDirectory::All() const
{
  std::vector<NodeAddress> out;
  out.reserve(mEntries.size());
  for (const auto& [node, entry] : mEntries) {
    out.push_back(entry.mAddress);
  }
  return out;
}

const std::string&
NodeDirectory::DataCentreOf(const std::string& aNode) const
{
  static const std::string kUnknown;
  const auto it = mEntries.find(aNode);
  return it == mEntries.end() ? kUnknown : it->second.mAddress.mDataCentre;
}

bool
NodeDirectory::KnowsRegion() const
{
  return std::any_of(mEntries.begin(), mEntries.end(), [&](const auto& aPair) {
    return aPair.second.mAddress.mRegion == mOptions.mRegion;
  });
}

} // namespace amaranthgap
