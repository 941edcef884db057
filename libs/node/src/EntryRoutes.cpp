#include "node/EntryRoutes.h"

#include "base/Hash.h"
#include "quarantine/CrashCorrelator.h"

namespace amaranthgap {
namespace {

constexpr double kAnswerAverageWeight = 0.1;
constexpr double kDefaultAnswerBytes = 4096;
// As in the correlator of the targets, section 6.
constexpr size_t kMaxSuspects = 4096;
constexpr Duration kSuspectMemory = minutes(10);

} // namespace

EntryRoutes::EntryRoutes(const Options& aOptions)
  : mOptions(aOptions)
  , mRng(aOptions.mSeed)
{
}

void
EntryRoutes::UpdateLink(TimePoint aNow)
{
  if (mManifest && mMembers) {
    const double bytes =
      mManifest->mLimits.mCrossRegionMbitPerS * 1e6 / 8 /
      double(std::max(mMembers->mRegionNodes, 1U) * mOptions.mShards);
    mLink.SetRate(aNow, bytes);
  }
}

void
EntryRoutes::SetManifest(TimePoint aNow, const ManifestPtr& aManifest)
{
  mManifest = aManifest;
  UpdateLink(aNow);
}

void
EntryRoutes::SetMembers(TimePoint aNow, const MemberListPtr& aMembers)
{
  mMembers = aMembers;
  UpdateLink(aNow);
  for (auto& [service, route] : mRoutes) {
    const auto it = aMembers->mByService.find(service);
    route.mRouter.SetTargets(aNow,
                             it == aMembers->mByService.end()
                               ? std::vector<MemberUpdate>{}
                               : it->second);
  }
}

EntryRoutes::Route&
EntryRoutes::RouteOf(TimePoint aNow, const std::string& aService)
{
  const auto it = mRoutes.find(aService);
  if (it != mRoutes.end()) {
    return it->second;
  }
  Route route{ .mRouter =
                 Router({ .mRegion = mOptions.mRegion,
                          .mDataCentre = mOptions.mDataCentre,
                          .mSeed = mOptions.mSeed ^ Hash64(aService) }),
               .mRatio = {} };
  if (mMembers) {
    if (const auto members = mMembers->mByService.find(aService);
        members != mMembers->mByService.end()) {
      route.mRouter.SetTargets(aNow, members->second);
    }
  }
  return mRoutes.emplace(aService, std::move(route)).first->second;
}

Router&
EntryRoutes::RouterOf(TimePoint aNow, const std::string& aService)
{
  return RouteOf(aNow, aService).mRouter;
}

RetryTokenBucket&
EntryRoutes::RatioOf(TimePoint aNow, const std::string& aService)
{
  return RouteOf(aNow, aService).mRatio;
}

std::optional<Router::Choice>
EntryRoutes::ChooseAtRandom(const EntryCall& aCall)
{
  if (!mMembers) {
    return std::nullopt;
  }
  const auto it = mMembers->mByService.find(aCall.mService);
  if (it == mMembers->mByService.end() || it->second.empty()) {
    return std::nullopt;
  }
  const MemberUpdate& member = it->second[mRng.Below(it->second.size())];
  return Router::Choice{ .mNode = member.mNode,
                         .mPeerAddress = member.mPeerAddress };
}

std::optional<Router::Choice>
EntryRoutes::Choose(TimePoint aNow, const EntryCall& aCall)
{
  if (mOptions.mPolicyOff) {
    return ChooseAtRandom(aCall);
  }
  Router& router = RouterOf(aNow, aCall.mService);
  if (aCall.mSuspect) {
    const auto node = CrashCorrelator::DesignatedNode(aCall.mFingerprint,
                                                      router.AcceptingNodes());
    if (node && !aCall.mTried.contains(*node)) {
      if (auto choice = router.Find(*node)) {
        return choice;
      }
    }
    return std::nullopt;
  }
  const auto size =
    mAnswerBytes.find(std::pair{ aCall.mService, aCall.mRequestClass });
  const double answer =
    size == mAnswerBytes.end() ? kDefaultAnswerBytes : size->second;
  return router.Choose(
    aNow,
    { .mExpectedBytes = double(aCall.mHttp.mBody.size()) + answer,
      .mExclude = aCall.mTried },
    mLink);
}

bool
EntryRoutes::HasUntried(TimePoint aNow, const EntryCall& aCall)
{
  for (const NodeId& node : RouterOf(aNow, aCall.mService).AcceptingNodes()) {
    if (!aCall.mTried.contains(node)) {
      return true;
    }
  }
  return false;
}

void
EntryRoutes::NoteSuspect(TimePoint aNow, uint64_t aFingerprint, bool aIsSuspect)
{
  if (!aIsSuspect) {
    mSuspects.erase(aFingerprint);
  } else if (mSuspects.size() < kMaxSuspects) {
    mSuspects[aFingerprint] = aNow + kSuspectMemory;
  }
}

bool
EntryRoutes::IsSuspect(uint64_t aFingerprint) const
{
  return mSuspects.contains(aFingerprint);
}

void
EntryRoutes::NoteAnswerSize(const EntryCall& aCall, size_t aBytes)
{
  const auto [it, isNew] = mAnswerBytes.try_emplace(
    { aCall.mService, aCall.mRequestClass }, double(aBytes));
  if (!isNew) {
    it->second += kAnswerAverageWeight * (double(aBytes) - it->second);
  }
}

void
EntryRoutes::Expire(TimePoint aNow)
{
  std::erase_if(mSuspects,
                [&](const auto& aItem) { return aItem.second <= aNow; });
}

} // namespace amaranthgap
