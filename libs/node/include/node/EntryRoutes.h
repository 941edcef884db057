#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "node/EntryCall.h"
#include "node/Snapshots.h"
#include "overload/RetryTokenBucket.h"
#include "routing/Router.h"

namespace amaranthgap {

/** Routing state of the services of one entry shard.
 * Not safe for use by several threads. */
class EntryRoutes
{
public:
  struct Options
  {
    std::string mRegion;
    std::string mDataCentre;
    uint32_t mShards = 1;
    uint64_t mSeed = 1;
    bool mPolicyOff = false;
  };

  explicit EntryRoutes(const Options& aOptions);

  void SetManifest(TimePoint aNow, const ManifestPtr& aManifest);
  void SetMembers(TimePoint aNow, const MemberListPtr& aMembers);

  /** @return a target for the next attempt of a call, or nothing. */
  std::optional<Router::Choice> Choose(TimePoint aNow, const EntryCall& aCall);
  /** @return whether a target is left that was not tried. */
  bool HasUntried(TimePoint aNow, const EntryCall& aCall);

  Router& RouterOf(TimePoint aNow, const std::string& aService);
  RetryTokenBucket& RatioOf(TimePoint aNow, const std::string& aService);

  /** Notes what a reply says of the suspicion against a request. */
  void NoteSuspect(TimePoint aNow, uint64_t aFingerprint, bool aIsSuspect);
  [[nodiscard]] bool IsSuspect(uint64_t aFingerprint) const;
  void NoteAnswerSize(const EntryCall& aCall, size_t aBytes);
  void Expire(TimePoint aNow);

private:
  struct Route
  {
    Router mRouter;
    RetryTokenBucket mRatio;
  };

  Route& RouteOf(TimePoint aNow, const std::string& aService);
  void UpdateLink(TimePoint aNow);
  std::optional<Router::Choice> ChooseAtRandom(const EntryCall& aCall);

  Options mOptions;
  Rng mRng;
  LinkBudget mLink;
  ManifestPtr mManifest;
  MemberListPtr mMembers;
  std::map<std::string, Route> mRoutes;
  std::map<std::pair<std::string, std::string>, double> mAnswerBytes;
  std::unordered_map<uint64_t, TimePoint> mSuspects; ///< End of the memory.
};

} // namespace amaranthgap
