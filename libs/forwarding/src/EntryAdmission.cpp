#include "forwarding/EntryAdmission.h"

#include <algorithm>
#include <utility>

namespace amaranthgap {

namespace {

// Minimum gain in the admitted or served share that justifies sending requests
// to another data centre: a fixed part, plus a part that grows with the cost of
// the distance up to the response time. The part for admission is larger
// because a refused request may be retried, while a failed one is lost.
constexpr double kMinGain = 0.05;
constexpr double kAdmittedGainForCost = 0.3;
constexpr double kServedGainForCost = 0.1;
// Maximum increase per second of the share of requests sent elsewhere. Replies
// show the effect after half a second.
constexpr double kMaxShiftPerSecond = 1;
// Share of requests that fails over per unit of gain, and its maximum. The
// remaining requests show when the nearest data centre recovers.
constexpr double kFailoverGain = 12;
constexpr double kMaxFailoverShare = 0.95;
// Demand at which a data centre counts as busy.
constexpr double kBusyDemand = 0.85;
// Failure ratio at which other data centres are considered.
constexpr double kFailoverFailureRatio = 0.03;
// Failure ratio above which requests are refused, and the minimum share that is
// still tried to detect recovery.
constexpr double kRefusalFailureRatio = 0.6;
constexpr double kProbeShare = 0.15;
// Weight of one request in the smoothed admitted share.
constexpr double kShareWeight = 0.05;

// Returns the share of requests to admit, reduced if most of them fail.
double
AcceptableShare(const TreeLoad& aLoad)
{
  const double served = (1 - aLoad.mFailureRatio) / (1 - kRefusalFailureRatio);
  return aLoad.mShare * std::clamp(served, kProbeShare, 1.0);
}

// Returns the maximum change of a share since the last call.
double
MaxShift(TimePoint aNow, TimePoint& aLast)
{
  constexpr double kLongestSeconds = 0.3;
  const double seconds = ToSeconds(aNow - std::exchange(aLast, aNow));
  return kMaxShiftPerSecond * std::clamp(seconds, 0.0, kLongestSeconds);
}

double
RequiredGain(const CandidateDataCentre& aCandidate,
             const RequestProfile& aProfile,
             double aGainForCost)
{
  const double cost = DistanceCost(aCandidate.mDistance, aProfile.mKilobytes);
  return kMinGain +
         aGainForCost * std::min(1.0, cost / std::max(1.0, aProfile.mMillis));
}

} // namespace

const CandidateDataCentre&
EntryAdmission::Nearest(const std::vector<CandidateDataCentre>& aCandidates)
{
  const CandidateDataCentre* nearest = &aCandidates.front();
  uint64_t equal = 0;
  for (const CandidateDataCentre& it : aCandidates) {
    if (it.mDistance > nearest->mDistance) {
      continue;
    }
    equal = it.mDistance == nearest->mDistance ? equal + 1 : 1;
    nearest = mRng.Below(equal) == 0 ? &it : nearest;
  }
  return *nearest;
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::TryAdmit(Route& aRoute,
                         const CandidateDataCentre& aCandidate,
                         double aShare)
{
  DataCentreState& state = aRoute.mStates[aCandidate.mDataCentre];
  state.mCredit = std::min(state.mCredit + aShare, 1 + aShare);
  if (state.mCredit < 1) {
    return std::nullopt;
  }
  state.mCredit -= 1;
  return Admitted{ .mDataCentre = aCandidate.mDataCentre, .mShare = aShare };
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::TryFailover(TimePoint aNow,
                            Route& aRoute,
                            const RequestProfile& aProfile,
                            const std::vector<CandidateDataCentre>& aCandidates,
                            const CandidateDataCentre& aNearest)
{
  const TreeLoad own = aRoute.mStates[aNearest.mDataCentre].mLoad.Value(aNow);
  if (own.mFailureRatio < kFailoverFailureRatio && aRoute.mFailoverShare <= 0) {
    return std::nullopt;
  }
  const CandidateDataCentre* chosen = nullptr;
  double chosenShare = 1;
  double chosenGain = 0;
  double gains = 0;
  for (const CandidateDataCentre& it : aCandidates) {
    const TreeLoad load = aRoute.mStates[it.mDataCentre].mLoad.Value(aNow);
    const double gain = load.ServedShare() - own.ServedShare() -
                        RequiredGain(it, aProfile, kServedGainForCost);
    // Under overload, failures are caused by missing capacity, which the shares
    // already reflect.
    const bool isBusy = std::max(load.mDemand, own.mDemand) > kBusyDemand;
    if (&it == &aNearest || gain <= 0 || isBusy) {
      continue;
    }
    gains += gain;
    if (mRng.Uniform() * gains < gain) {
      chosen = &it;
      chosenShare = AcceptableShare(load);
      chosenGain = gain;
    }
  }
  const double wanted = std::min(kMaxFailoverShare, kFailoverGain * chosenGain);
  const double maxShift = MaxShift(aNow, aRoute.mFailoverTime);
  aRoute.mFailoverShare = std::clamp(
    wanted, aRoute.mFailoverShare - maxShift, aRoute.mFailoverShare + maxShift);
  if (!chosen || mRng.Uniform() >= aRoute.mFailoverShare) {
    return std::nullopt;
  }
  return TryAdmit(aRoute, *chosen, chosenShare);
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::TrySpillover(
  TimePoint aNow,
  Route& aRoute,
  const RequestProfile& aProfile,
  const std::vector<CandidateDataCentre>& aCandidates,
  const CandidateDataCentre& aNearest)
{
  const double own =
    AcceptableShare(aRoute.mStates[aNearest.mDataCentre].mLoad.Value(aNow));
  const CandidateDataCentre* chosen = nullptr;
  double chosenShare = own;
  double gains = 0;
  for (const CandidateDataCentre& it : aCandidates) {
    const double share =
      AcceptableShare(aRoute.mStates[it.mDataCentre].mLoad.Value(aNow));
    const double gain =
      share - own - RequiredGain(it, aProfile, kAdmittedGainForCost);
    if (&it == &aNearest || gain <= 0) {
      continue;
    }
    // Choose in proportion to the gain, so that entry nodes do not all send to
    // the best data centre.
    gains += gain;
    if (mRng.Uniform() * gains < gain) {
      chosen = &it;
      chosenShare = share;
    }
  }
  // Equalises the admission probability for the callers of both data centres.
  const double wanted =
    chosen ? (chosenShare - own) / (chosenShare * (1 - own)) : 0;
  aRoute.mSpilloverShare = std::min(
    wanted, aRoute.mSpilloverShare + MaxShift(aNow, aRoute.mSpilloverTime));
  if (!chosen || mRng.Uniform() >= aRoute.mSpilloverShare) {
    return std::nullopt;
  }
  return TryAdmit(aRoute, *chosen, chosenShare);
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::Admit(TimePoint aNow,
                      const CallKind& aKind,
                      const RequestProfile& aProfile,
                      const std::vector<CandidateDataCentre>& aCandidates)
{
  Route& route = mRoutes[aKind];
  const CandidateDataCentre& nearest = Nearest(aCandidates);
  auto admitted = TryFailover(aNow, route, aProfile, aCandidates, nearest);
  if (!admitted) {
    admitted = TryAdmit(
      route,
      nearest,
      AcceptableShare(route.mStates[nearest.mDataCentre].mLoad.Value(aNow)));
  }
  if (!admitted) {
    admitted = TrySpillover(aNow, route, aProfile, aCandidates, nearest);
  }
  route.mAdmittedShare +=
    kShareWeight * ((admitted ? 1 : 0) - route.mAdmittedShare);
  return admitted;
}

void
EntryAdmission::UpdateLoad(TimePoint aNow,
                           const CallKind& aKind,
                           const std::string& aDataCentre,
                           const TreeLoad& aLoad)
{
  mRoutes[aKind].mStates[aDataCentre].mLoad.Note(aNow, aLoad);
}

double
EntryAdmission::AdmittedShare(const CallKind& aKind) const
{
  const auto it = mRoutes.find(aKind);
  return it == mRoutes.end() ? 1 : it->second.mAdmittedShare;
}

} // namespace amaranthgap
