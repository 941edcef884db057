#include "forwarding/EntryAdmission.h"

#include <algorithm>

namespace amaranthgap {

namespace {

// How much higher the share of another place has to be before requests go
// there: in any case, and for a way that costs as much as the request takes
// anyway.
constexpr double kLeastGain = 0.05;
constexpr double kGainForCost = 0.3;
// How fast the part that is offered elsewhere may grow, a second: replies show
// the effect after half a second.
constexpr double kMoveRate = 1;
// Age from which on the load of another place counts as unknown. One of those
// gets a request now and then, whose reply tells it.
constexpr Duration kFresh = seconds(2);
constexpr Duration kProbePause = seconds(1);
// Weight of one request in the smoothed share of admitted ones.
constexpr double kShareWeight = 0.05;

double
NeededGain(const Place& aPlace, const RouteNeed& aNeed)
{
  const double cost = DistanceCost(aPlace.mDistance, aNeed.mKilobytes);
  return kLeastGain +
         kGainForCost * std::min(1.0, cost / std::max(1.0, aNeed.mMillis));
}

} // namespace

const Place&
EntryAdmission::Nearest(const std::vector<Place>& aPlaces)
{
  const Place* nearest = &aPlaces.front();
  uint64_t equal = 0;
  for (const Place& it : aPlaces) {
    if (it.mDistance > nearest->mDistance) {
      continue;
    }
    equal = it.mDistance == nearest->mDistance ? equal + 1 : 1;
    nearest = mRng.Below(equal) == 0 ? &it : nearest;
  }
  return *nearest;
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::Offer(Route& aRoute, const Place& aPlace, double aShare)
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
EntryAdmission::OfferElsewhere(TimePoint aNow,
                               Route& aRoute,
                               const RouteNeed& aNeed,
                               const std::vector<Place>& aPlaces,
                               const Place& aNearest)
{
  const double own =
    aRoute.mSites[aNearest.mDataCentre].mLoad.Value(aNow).mShare;
  const Place* unknown = nullptr;
  uint64_t unknowns = 0;
  const Place* chosen = nullptr;
  double chosenShare = own;
  double gains = 0;
  for (const Place& it : aPlaces) {
    if (&it == &aNearest) {
      continue;
    }
    const SmoothedLoad& load = aRoute.mSites[it.mDataCentre].mLoad;
    if (aNow - load.Time() > kFresh) {
      unknown = mRng.Below(++unknowns) == 0 ? &it : unknown;
      continue;
    }
    const double share = load.Latest().mShare;
    const double gain = share - own - NeededGain(it, aNeed);
    if (gain <= 0) {
      continue;
    }
    // In proportion to the gain: all entry nodes would crowd the best one.
    gains += gain;
    if (mRng.Uniform() * gains < gain) {
      chosen = &it;
      chosenShare = share;
    }
  }
  if (unknown && aNow >= aRoute.mNextProbe) {
    aRoute.mNextProbe = aNow + kProbePause;
    return Admitted{ .mDataCentre = unknown->mDataCentre };
  }
  // As much as gives the callers of both places the same chance.
  const double wanted =
    chosen ? (chosenShare - own) / (chosenShare * (1 - own)) : 0;
  const double since =
    std::clamp(ToSeconds(aNow - aRoute.mMovedTime), 0.0, 1.0);
  aRoute.mMoved = std::min(wanted, aRoute.mMoved + kMoveRate * since);
  aRoute.mMovedTime = aNow;
  if (!chosen || mRng.Uniform() >= aRoute.mMoved) {
    return std::nullopt;
  }
  return Offer(aRoute, *chosen, chosenShare);
}

std::optional<EntryAdmission::Admitted>
EntryAdmission::Admit(TimePoint aNow,
                      const std::string& aRoute,
                      const RouteNeed& aNeed,
                      const std::vector<Place>& aPlaces)
{
  Route& route = mRoutes[aRoute];
  const Place& nearest = Nearest(aPlaces);
  auto admitted = Offer(
    route, nearest, route.mSites[nearest.mDataCentre].mLoad.Value(aNow).mShare);
  if (!admitted) {
    admitted = OfferElsewhere(aNow, route, aNeed, aPlaces, nearest);
  }
  route.mAdmittedShare +=
    kShareWeight * ((admitted ? 1 : 0) - route.mAdmittedShare);
  return admitted;
}

void
EntryAdmission::Replied(TimePoint aNow,
                        const std::string& aRoute,
                        const std::string& aDataCentre,
                        const TreeLoad& aLoad)
{
  if (const auto it = mRoutes.find(aRoute); it != mRoutes.end()) {
    it->second.mSites[aDataCentre].mLoad.Note(aNow, aLoad);
  }
}

double
EntryAdmission::Share(const std::string& aRoute) const
{
  const auto it = mRoutes.find(aRoute);
  return it == mRoutes.end() ? 1 : it->second.mAdmittedShare;
}

} // namespace amaranthgap
