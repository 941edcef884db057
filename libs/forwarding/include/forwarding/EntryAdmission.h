#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "forwarding/Distance.h"
#include "forwarding/TreeLoad.h"

namespace amaranthgap {

/** Data centre with targets for a request. */
struct CandidateDataCentre
{
  std::string mDataCentre;
  Distance mDistance = Distance::SameDataCentre;
};

/** What a request of a route takes, as its answers have shown. */
struct RequestProfile
{
  double mMillis = 0;    ///< Time until the answer.
  double mKilobytes = 0; ///< Size of request and answer.
};

/** Admits first requests at their entry node, and chooses the data centre in
 * which their whole tree of calls is to run. Answers an overload anywhere
 * below, as replies tell it (see CapacityPlan): what the own data centre cannot
 * take is offered to one that can take more, and the rest is refused before any
 * work is done for it. Answers targets that are too slow for a kind of requests
 * as well: where many fail, part of them goes where fewer do, and where almost
 * all fail, most are refused as not run instead. Moving the root moves the
 * whole tree for the bytes of one message. Not safe for use by several threads.
 */
class EntryAdmission
{
public:
  struct Admitted
  {
    std::string mDataCentre;
    double mShare = 1; ///< Part of the requests offered there that it takes.
  };

  explicit EntryAdmission(uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  /** @param aPlaces with targets for the request, not empty.
   * @return where it is to run, or nothing when it is refused. */
  std::optional<Admitted> Admit(
    TimePoint aNow,
    const std::string& aRoute,
    const RequestProfile& aNeed,
    const std::vector<CandidateDataCentre>& aPlaces);
  /** Notes the load of a place, as a reply or a report of its node tells it. A
   * place that tells nothing for a while is taken for idle. */
  void UpdateLoad(TimePoint aNow,
                  const std::string& aRoute,
                  const std::string& aDataCentre,
                  const TreeLoad& aLoad);

  /** @return the part of the requests that was admitted lately. */
  [[nodiscard]] double AdmittedShare(const std::string& aRoute) const;

private:
  struct Site
  {
    SmoothedLoad mLoad;
    double mCredit = 0; ///< Spreads admissions evenly over arrivals.
  };

  struct Route
  {
    std::map<std::string, Site> mSites; ///< By data centre.
    /** Part of what the nearest place does not take that is offered to another
     * one. */
    double mMoved = 0;
    TimePoint mMovedTime{};
    /** Part of all requests that leaves for a place where fewer fail. */
    double mLeaving = 0;
    TimePoint mLeavingTime{};
    double mAdmittedShare = 1; ///< Smoothed.
  };

  /** @return the nearest place; one of those at random. */
  const CandidateDataCentre& Nearest(
    const std::vector<CandidateDataCentre>& aPlaces);
  /** Offers part of the requests to a place where fewer of them fail. */
  std::optional<Admitted> OfferToBetter(
    TimePoint aNow,
    Route& aRoute,
    const RequestProfile& aNeed,
    const std::vector<CandidateDataCentre>& aPlaces,
    const CandidateDataCentre& aNearest);
  /** Offers a request that the nearest place does not take to another one. */
  std::optional<Admitted> OfferElsewhere(
    TimePoint aNow,
    Route& aRoute,
    const RequestProfile& aNeed,
    const std::vector<CandidateDataCentre>& aPlaces,
    const CandidateDataCentre& aNearest);
  /** @param aShare that the place takes. */
  static std::optional<Admitted> Offer(Route& aRoute,
                                       const CandidateDataCentre& aPlace,
                                       double aShare);

  Rng mRng;
  std::map<std::string, Route> mRoutes;
};

} // namespace amaranthgap
