#include "forwarding/EntryAdmission.h"

#include <algorithm>
#include <utility>

namespace amaranthgap {

namespace {

// How much more of the requests another place has to admit, or to serve, before
// they go there: in any case, and for a way that costs as much as the request
// takes anyway. A request that is refused may come back, one that fails is
// lost.
constexpr double kLeastGain = 0.05;
constexpr double kAdmittedGainForCost = 0.3;
constexpr double kServedGainForCost = 0.1;
// How fast the part that is offered elsewhere may grow, a second: replies show
// the effect after half a second.
constexpr double kMoveRate = 1;
// Part of the requests that leaves for a place where fewer fail: how many of
// them for each part that fails more here, and the most. The rest shows when
// this place is better again.
constexpr double kLeavingGain = 12;
constexpr double kMostLeaving = 0.95;
// Demand from which on a place counts as busy.
constexpr double kBusyDemand = 0.85;
// Failures from which on other places are looked at.
constexpr double kNoticedFailure = 0.03;
// Failures beyond which requests are refused instead of tried, and the part
// that is tried all the same and shows when they are served again.
constexpr double kHopelessFailure = 0.6;
constexpr double kLeastUseful = 0.15;
// Weight of one request in the smoothed share of admitted ones.
constexpr double kShareWeight = 0.05;

// Returns the part of the requests that a place is worth being sent.
double
UsefulShare(const TreeLoad& aLoad)
{
  const double served = (1 - aLoad.mFailureRatio) / (1 - kHopelessFailure);
  return aLoad.mShare * std::clamp(served, kLeastUseful, 1.0);
}

// Returns how far a part of the requests may move since the last time.
double
MoveStep(TimePoint aNow, TimePoint& aLast)
{
  constexpr double kLongestSeconds = 0.3;
  const double seconds = ToSeconds(aNow - std::exchange(aLast, aNow));
  return kMoveRate * std::clamp(seconds, 0.0, kLongestSeconds);
}

double
NeededGain(const CandidateDataCentre& aPlace,
           const RequestProfile& aNeed,
           double aGainForCost)
{
  const double cost = DistanceCost(aPlace.mDistance, aNeed.mKilobytes);
  return kLeastGain +
         aGainForCost * std::min(1.0, cost / std::max(1.0, aNeed.mMillis));
}

} // namespace

const CandidateDataCentre&
EntryAdmission::Nearest(const std::vector<CandidateDataCentre>& aPlaces)
{
  const CandidateDataCentre* nearest = &aPlaces.front();
  uint64_t equal = 0;
  for (const CandidateDataCentre& it : aPlaces) {
    if (it.mDistance > nearest->mDistance) {
      continue;
    }
    equal = it.mDistance == nearest->mDistance ? equal + 1 : 1;
    nearest = mRng.Below(equal) == 0 ? &it : nearest;
  }
  return *nearest;
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::Offer(Route& aRoute,
                      const CandidateDataCentre& aPlace,
                      double aShare)
{
  Site& site = aRoute.mSites[aPlace.mDataCentre];
  site.mCredit = std::min(site.mCredit + aShare, 1 + aShare);
  if (site.mCredit < 1) {
    return std::nullopt;
  }
  site.mCredit -= 1;
  return Admitted{ .mDataCentre = aPlace.mDataCentre, .mShare = aShare };
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::OfferToBetter(TimePoint aNow,
                              Route& aRoute,
                              const RequestProfile& aNeed,
                              const std::vector<CandidateDataCentre>& aPlaces,
                              const CandidateDataCentre& aNearest)
{
  const TreeLoad own = aRoute.mSites[aNearest.mDataCentre].mLoad.Value(aNow);
  if (own.mFailureRatio < kNoticedFailure && aRoute.mLeaving <= 0) {
    return std::nullopt;
  }
  const CandidateDataCentre* chosen = nullptr;
  double chosenShare = 1;
  double chosenGain = 0;
  double gains = 0;
  for (const CandidateDataCentre& it : aPlaces) {
    const TreeLoad load = aRoute.mSites[it.mDataCentre].mLoad.Value(aNow);
    const double gain =
      load.Value() - own.Value() - NeededGain(it, aNeed, kServedGainForCost);
    // Under an overload requests fail for want of room, and the shares tell
    // where that is.
    const bool isBusy = std::max(load.mDemand, own.mDemand) > kBusyDemand;
    if (&it == &aNearest || gain <= 0 || isBusy) {
      continue;
    }
    gains += gain;
    if (mRng.Uniform() * gains < gain) {
      chosen = &it;
      chosenShare = UsefulShare(load);
      chosenGain = gain;
    }
  }
  const double wanted = std::min(kMostLeaving, kLeavingGain * chosenGain);
  const double step = MoveStep(aNow, aRoute.mLeavingTime);
  aRoute.mLeaving =
    std::clamp(wanted, aRoute.mLeaving - step, aRoute.mLeaving + step);
  if (!chosen || mRng.Uniform() >= aRoute.mLeaving) {
    return std::nullopt;
  }
  return Offer(aRoute, *chosen, chosenShare);
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::OfferElsewhere(TimePoint aNow,
                               Route& aRoute,
                               const RequestProfile& aNeed,
                               const std::vector<CandidateDataCentre>& aPlaces,
                               const CandidateDataCentre& aNearest)
{
  const double own =
    UsefulShare(aRoute.mSites[aNearest.mDataCentre].mLoad.Value(aNow));
  const CandidateDataCentre* chosen = nullptr;
  double chosenShare = own;
  double gains = 0;
  for (const CandidateDataCentre& it : aPlaces) {
    const double share =
      UsefulShare(aRoute.mSites[it.mDataCentre].mLoad.Value(aNow));
    const double gain =
      share - own - NeededGain(it, aNeed, kAdmittedGainForCost);
    if (&it == &aNearest || gain <= 0) {
      continue;
    }
    // In proportion to the gain: all entry nodes would crowd the best one.
    gains += gain;
    if (mRng.Uniform() * gains < gain) {
      chosen = &it;
      chosenShare = share;
    }
  }
  // As much as gives the callers of both places the same chance.
  const double wanted =
    chosen ? (chosenShare - own) / (chosenShare * (1 - own)) : 0;
  aRoute.mMoved =
    std::min(wanted, aRoute.mMoved + MoveStep(aNow, aRoute.mMovedTime));
  if (!chosen || mRng.Uniform() >= aRoute.mMoved) {
    return std::nullopt;
  }
  return Offer(aRoute, *chosen, chosenShare);
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::Admit(TimePoint aNow,
                      const std::string& aRoute,
                      const RequestProfile& aNeed,
                      const std::vector<CandidateDataCentre>& aPlaces)
{
  Route& route = mRoutes[aRoute];
  const CandidateDataCentre& nearest = Nearest(aPlaces);
  auto admitted = OfferToBetter(aNow, route, aNeed, aPlaces, nearest);
  if (!admitted) {
    admitted =
      Offer(route,
            nearest,
            UsefulShare(route.mSites[nearest.mDataCentre].mLoad.Value(aNow)));
  }
  if (!admitted) {
    admitted = OfferElsewhere(aNow, route, aNeed, aPlaces, nearest);
  }
  route.mAdmittedShare +=
    kShareWeight * ((admitted ? 1 : 0) - route.mAdmittedShare);
  return admitted;
}

void
EntryAdmission::UpdateLoad(TimePoint aNow,
                           const std::string& aRoute,
                           const std::string& aDataCentre,
                           const TreeLoad& aLoad)
{
  mRoutes[aRoute].mSites[aDataCentre].mLoad.Note(aNow, aLoad);
}

double
EntryAdmission::AdmittedShare(const std::string& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  return it == mRoutes.end() ? 1 : it->second.mAdmittedShare;
}

} // namespace amaranthgap
