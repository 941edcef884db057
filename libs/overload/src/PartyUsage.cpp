#include "overload/PartyUsage.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr Duration kHalfLife = seconds(2);
constexpr Duration kRemoteDecayDelay = seconds(2);
constexpr Duration kRemoteLifetime = seconds(10);

// Shares below a microsecond do not affect the order of the parties.
constexpr double kNegligibleSeconds = 1e-6;

double
Decayed(double aValue, Duration aAge)
{
  return aAge <= Duration::zero()
           ? aValue
           : aValue * std::exp2(-ToSeconds(aAge) / ToSeconds(kHalfLife));
}

} // namespace

void
PartyUsage::Charge(TimePoint aNow,
                   const std::string& aParty,
                   uint32_t aImportance,
                   Duration aUpstreamTime)
{
  auto& local = mLocal[{ aImportance, aParty }];
  local.mSeconds = Decayed(local.mSeconds, aNow - local.mTime) +
                   std::max(0.0, ToSeconds(aUpstreamTime));
  local.mTime = std::max(local.mTime, aNow);
  constexpr size_t kChargesPerCleanup = 4096;
  if (++mChargesSinceCleanup >= kChargesPerCleanup) {
    mChargesSinceCleanup = 0;
    RemoveNegligible(aNow);
  }
}

double
PartyUsage::AttainedSeconds(TimePoint aNow,
                            const std::string& aParty,
                            uint32_t aImportance) const
{
  const Key key{ aImportance, aParty };
  double sum = 0;
  if (const auto it = mLocal.find(key); it != mLocal.end()) {
    sum += Decayed(it->second.mSeconds, aNow - it->second.mTime);
  }
  for (const auto& [node, remote] : mRemote) {
    const Duration age = aNow - remote.mReceived;
    if (age >= kRemoteLifetime) {
      continue;
    }
    if (const auto it = remote.mSeconds.find(key);
        it != remote.mSeconds.end()) {
      sum += Decayed(it->second, age - kRemoteDecayDelay);
    }
  }
  return sum;
}

void
PartyUsage::SetRemote(TimePoint aNow,
                      const NodeId& aNode,
                      const std::vector<PartyShare>& aShares)
{
  std::erase_if(mRemote, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mReceived >= kRemoteLifetime;
  });
  Remote remote{ .mReceived = aNow };
  for (const auto& share : aShares) {
    if (std::isfinite(share.mAttainedSeconds) && share.mAttainedSeconds > 0) {
      remote.mSeconds[{ share.mImportance, share.mParty }] =
        share.mAttainedSeconds;
    }
  }
  mRemote[aNode] = std::move(remote);
}

std::vector<PartyShare>
PartyUsage::LocalShares(TimePoint aNow) const
{
  std::vector<PartyShare> shares;
  for (const auto& [key, local] : mLocal) {
    const double attained = Decayed(local.mSeconds, aNow - local.mTime);
    if (attained >= kNegligibleSeconds) {
      shares.push_back({ .mParty = key.second,
                         .mImportance = key.first,
                         .mAttainedSeconds = attained });
    }
  }
  return shares;
}

void
PartyUsage::RemoveNegligible(TimePoint aNow)
{
  std::erase_if(mLocal, [aNow](const auto& aEntry) {
    const auto& local = aEntry.second;
    return Decayed(local.mSeconds, aNow - local.mTime) < kNegligibleSeconds;
  });
}

} // namespace amaranthgap
