#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "forwarding/Distance.h"
#include "forwarding/TreeLoad.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Data centre with available targets for a request. */
struct CandidateDataCentre
{
  std::string mDataCentre;
  Distance mDistance = Distance::SameDataCentre;
};

/** Mean response time and size of a route's requests, from past answers. */
struct RequestProfile
{
  double mMillis = 0;    ///< Response time.
  double mKilobytes = 0; ///< Total size of request and answer.
};

/** Admits root requests at their entry node and chooses the data centre that
 * runs their whole call tree. Replies report the load of all targets in the
 * tree (see CapacityPlan).
 *
 * Under overload, requests that the nearest data centre cannot serve spill over
 * to one that can serve a larger share; the rest is refused before any work is
 * done for it. If many requests fail, for example because targets are too slow
 * for them, part of them fails over to a data centre with fewer failures. Where
 * almost all fail, most are refused before they run. Moving only the root
 * request costs a single message between data centres, as its calls stay in the
 * chosen one. Not thread-safe. */
class EntryAdmission
{
public:
  struct Admitted
  {
    std::string mDataCentre;
    /** Share of the requests offered there that is admitted. */
    double mShare = 1;
  };

  explicit EntryAdmission(uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  /** @param aKind of the request.
   * @param aProfile of the route's requests.
   * @param aCandidates data centres with targets for the request; not empty.
   * @return the data centre and its admission share, or nothing if the request
   * is refused. */
  std::optional<Admitted> Admit(
    TimePoint aNow,
    const CallKind& aKind,
    const RequestProfile& aProfile,
    const std::vector<CandidateDataCentre>& aCandidates);
  /** Records the load of a data centre from a reply or a node's load report. A
   * data centre without recent updates counts as idle. */
  void UpdateLoad(TimePoint aNow,
                  const CallKind& aKind,
                  const std::string& aDataCentre,
                  const TreeLoad& aLoad);

  /** @return the smoothed share of requests that was admitted. */
  [[nodiscard]] double AdmittedShare(const CallKind& aKind) const;

private:
  struct DataCentreState
  {
    SmoothedLoad mLoad;
    double mCredit = 0; ///< Accumulated share; a request is admitted at 1.
  };

  struct Route
  {
    std::map<std::string, DataCentreState> mStates; ///< By data centre.
    /** Share of the requests refused by the nearest data centre that is offered
     * to another one. */
    double mSpilloverShare = 0;
    TimePoint mSpilloverTime{};
    /** Share of all requests sent to a data centre with fewer failures. */
    double mFailoverShare = 0;
    TimePoint mFailoverTime{};
    double mAdmittedShare = 1; ///< Smoothed.
  };

  /** @return the nearest data centre; ties are broken at random. */
  const CandidateDataCentre& Nearest(
    const std::vector<CandidateDataCentre>& aCandidates);
  /** Offers part of the requests to a data centre with fewer failures. */
  std::optional<Admitted> TryFailover(
    TimePoint aNow,
    Route& aRoute,
    const RequestProfile& aProfile,
    const std::vector<CandidateDataCentre>& aCandidates,
    const CandidateDataCentre& aNearest);
  /** Offers a request refused by the nearest data centre to another one. */
  std::optional<Admitted> TrySpillover(
    TimePoint aNow,
    Route& aRoute,
    const RequestProfile& aProfile,
    const std::vector<CandidateDataCentre>& aCandidates,
    const CandidateDataCentre& aNearest);
  /** Admits the given share of the requests offered to a data centre, evenly
   * spread over arrivals.
   * @param aShare to admit. */
  static std::optional<Admitted> TryAdmit(Route& aRoute,
                                          const CandidateDataCentre& aCandidate,
                                          double aShare);

  Rng mRng;
  std::map<CallKind, Route> mRoutes; ///< Requests of one route and priority.
};

} // namespace amaranthgap
