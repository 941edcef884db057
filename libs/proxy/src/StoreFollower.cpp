#include "proxy/StoreFollower.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include <fmt/format.h>

#include "discovery/NodeDirectory.h"

namespace amaranthgap {

namespace {

constexpr std::string_view kNodesPrefix = "amaranthgap/nodes/";
// Longest time of one watch. Keep-alive probes notice a dead connection sooner.
constexpr Duration kWatchTime = seconds(25);
// Watching nodes list all regions this often, which finds nodes that were
// forgotten while the network was partitioned.
constexpr Duration kListInterval = seconds(60);
// A node may be elected for a moment, until its neighbours are connected; it
// does not list in that time.
constexpr Duration kFirstListDelay = milliseconds(500);
// The store counts as unreachable if calls have failed for this time.
constexpr Duration kReachPatience = milliseconds(1000);
// Entries have to be back within two seconds after the store; the checks of all
// nodes spread over this time, or longer in a large fleet, at this rate: half
// of the reads that a store serves.
constexpr Duration kCheckSpread = milliseconds(500);
constexpr double kChecksPerSecond = 1000;

// `run address data-centre service`; the key has the region and the node.
std::string
EncodeEntry(const NodeAddress& aNode)
{
  return fmt::format("{} {} {} {}",
                     aNode.mRun,
                     aNode.mAddress,
                     aNode.mDataCentre,
                     aNode.mService);
}

std::optional<NodeAddress>
DecodeEntry(std::string_view aKey, const std::string& aValue)
{
  aKey.remove_prefix(kNodesPrefix.size());
  const size_t slash = aKey.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  NodeAddress out{ .mNode = std::string(aKey.substr(slash + 1)),
                   .mRegion = std::string(aKey.substr(0, slash)) };
  std::istringstream in(aValue);
  if (!(in >> out.mRun >> out.mAddress >> out.mDataCentre)) {
    return std::nullopt;
  }
  in >> out.mService; // Empty while no upstream is known.
  return IsUsable(out) ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace

StoreFollower::StoreFollower(Logger& aLogger,
                             LeasedStore& aStore,
                             Options aOptions,
                             Events aEvents)
  : mLogger(aLogger)
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mEvents(std::move(aEvents))
  , mRng(mOptions.mSeed)
  , mRoutes({ .mSeed = mRng.Next() })
  , mListPacer(mRng.Next())
  , mRegistration(mRng.Next())
{
}

std::string
StoreFollower::OwnKey() const
{
  return fmt::format(
    "{}{}/{}", kNodesPrefix, mOptions.mSelf.mRegion, mOptions.mSelf.mNode);
}

void
StoreFollower::Tick(TimePoint aNow)
{
  if (mIsWatching) {
    WatchRoutes(aNow);
    if (aNow >= mNextList) {
      mIsListDue = true;
    }
  }
  ListNodes(aNow);
  Register(aNow);
  UpdateReach(aNow);
}

void
StoreFollower::SetWatching(TimePoint aNow, bool aWatches)
{
  if (mIsWatching == aWatches) {
    return;
  }
  mIsWatching = aWatches;
  mRegistration.SetWatching(aNow, aWatches);
  mNextList = aNow + kFirstListDelay;
  mLogger.Write(aNow,
                LogLevel::Info,
                "store-watching",
                { { "watches", aWatches ? "yes" : "no" } });
}

void
StoreFollower::SetService(const std::string& aService)
{
  if (mOptions.mSelf.mService != aService) {
    mOptions.mSelf.mService = aService;
    mRegistration.EntryChanged();
  }
}

void
StoreFollower::CheckEntry(TimePoint aNow)
{
  mRegistration.RenewBy(DrawCheckTime(aNow));
}

TimePoint
StoreFollower::DrawCheckTime(TimePoint aNow)
{
  const double most = std::max(ToSeconds(kCheckSpread),
                               double(mEvents.mNodeCount()) / kChecksPerSecond);
  return aNow + FromSeconds(most * mRng.Uniform());
}

void
StoreFollower::WatchRoutes(TimePoint aNow)
{
  const auto call = mRoutes.Next(aNow);
  if (!call) {
    return;
  }
  const auto done = [this, call = *call](const StoreChanges& aResult) {
    const TimePoint now = EventLoop::Now();
    const auto changes = mRoutes.Done(now, call.mNumber, aResult);
    LogRoutesRead(now, call, aResult, changes.size());
    LogUnusable(now, aResult);
    NoteCall(now, aResult.mDetail, aResult.mEra);
    for (const StoreChange& it : changes) {
      if (it.mValue && it.mKey == mOptions.mRoutesKey) {
        mEvents.mRoutes(*it.mValue);
      }
    }
    Tick(now);
  };
  if (call->mIsList) {
    mStore.List(mOptions.mRoutesKey, done);
  } else {
    mStore.Watch(mOptions.mRoutesKey, call->mAfter, kWatchTime, done);
  }
}

void
StoreFollower::LogRoutesRead(TimePoint aNow,
                             const WatcherCall& aCall,
                             const StoreChanges& aResult,
                             size_t aTaken)
{
  if (aResult.mChanges.empty()) {
    return;
  }
  mLogger.Write(
    aNow,
    LogLevel::Info,
    "routes-read",
    { { "call", aCall.mIsList ? "list" : "watch" },
      { "after", std::to_string(aCall.mAfter) },
      { "revision", std::to_string(aResult.mChanges.back().mRevision) },
      { "at", std::to_string(aResult.mRevision) },
      { "era", std::to_string(aResult.mEra) },
      { "taken", std::to_string(aTaken) } });
}

// A node lists its region once its own entry is written: of two nodes that
// start at once, at least one finds the other and connects to it.
void
StoreFollower::ListNodes(TimePoint aNow)
{
  if (!mIsListDue || !mListPacer.MayStart(aNow)) {
    return;
  }
  mIsListDue = false;
  mListPacer.Started();
  std::string prefix(kNodesPrefix);
  if (mIsWatching) {
    mNextList = aNow + kListInterval;
  } else {
    prefix += mOptions.mSelf.mRegion + '/';
  }
  mStore.List(prefix, [this](const StoreChanges& aResult) {
    const TimePoint now = EventLoop::Now();
    if (aResult.mStatus == StoreStatus::Done) {
      mListPacer.Succeeded(now);
      NodesListed(now, aResult);
    } else {
      mListPacer.Failed(now);
      mIsListDue = true;
    }
    NoteCall(now, aResult.mDetail, aResult.mEra);
    Tick(now);
  });
}

void
StoreFollower::NodesListed(TimePoint aNow, const StoreChanges& aResult)
{
  mIsListed = true;
  LogUnusable(aNow, aResult);
  std::vector<NodeAddress> nodes;
  bool hasOwn = false;
  for (const StoreChange& it : aResult.mChanges) {
    if (it.mKey == OwnKey()) {
      hasOwn = true;
    } else if (auto node = DecodeEntry(it.mKey, it.mValue.value_or(""))) {
      nodes.push_back(std::move(*node));
    } else {
      mLogger.Write(aNow,
                    LogLevel::Warning,
                    "store-entry-unusable",
                    { { "key", it.mKey } });
    }
  }
  if (!hasOwn) {
    mRegistration.EntryMissing(aNow);
  }
  mEvents.mNodes(nodes);
}

void
StoreFollower::LogUnusable(TimePoint aNow, const StoreChanges& aResult)
{
  for (const std::string& it : aResult.mUnusable) {
    mLogger.Write(
      aNow, LogLevel::Warning, "store-entry-unusable", { { "detail", it } });
  }
}

void
StoreFollower::Register(TimePoint aNow)
{
  const auto call = mRegistration.Next(aNow);
  if (!call) {
    return;
  }
  const auto done = [this, call = *call](const StoreResult& aResult) {
    const TimePoint now = EventLoop::Now();
    const bool wasKnown = mRegistration.HadEntry().has_value();
    mRegistration.Done(now, aResult);
    NoteCall(now, aResult.mDetail, aResult.mEra);
    if (const auto hadEntry = mRegistration.HadEntry(); hadEntry && !wasKnown) {
      mEvents.mFirstRegistered(*hadEntry);
    }
    const bool isDone = aResult.mStatus == StoreStatus::Done;
    if (isDone &&
        (call == RegistrationCall::Create || call == RegistrationCall::Put)) {
      mIsListDue |= std::exchange(mListsAfterPut, false);
    } else if (!isDone && !mIsListed) {
      mIsListDue = true; // The list may be answered all the same.
    }
    if (mLapseCount != mRegistration.LapseCount()) {
      mLapseCount = mRegistration.LapseCount();
      mListsAfterPut = true;
      if (mIsWatching) {
        mEvents.mRegained();
      }
    }
    Tick(now);
  };
  switch (*call) {
    case RegistrationCall::GrantLease:
      mStore.GrantLease(Registration::kTtl, done);
      break;
    case RegistrationCall::Create:
      mStore.Create(
        OwnKey(), EncodeEntry(mOptions.mSelf), mRegistration.Lease(), done);
      break;
    case RegistrationCall::Put:
      mStore.Put(
        OwnKey(), EncodeEntry(mOptions.mSelf), mRegistration.Lease(), done);
      break;
    case RegistrationCall::KeepLease:
      mStore.KeepLease(mRegistration.Lease(), done);
      break;
    case RegistrationCall::ReadEntry:
      ReadEntry();
      break;
  }
}

void
StoreFollower::ReadEntry()
{
  mStore.List(OwnKey(), [this](const StoreChanges& aResult) {
    const TimePoint now = EventLoop::Now();
    const bool isOwn =
      std::any_of(aResult.mChanges.begin(),
                  aResult.mChanges.end(),
                  [this](const StoreChange& aItem) {
                    return aItem.mKey == OwnKey() &&
                           aItem.mValue == EncodeEntry(mOptions.mSelf) &&
                           aItem.mLease == mRegistration.Lease();
                  });
    mRegistration.EntryRead(now, aResult, isOwn);
    if (aResult.mStatus == StoreStatus::Done) {
      mLogger.Write(now,
                    isOwn ? LogLevel::Info : LogLevel::Warning,
                    isOwn ? "store-entry-kept" : "store-entry-lost",
                    { { "era", std::to_string(aResult.mEra) } });
    }
    NoteCall(now, aResult.mDetail, aResult.mEra);
    Tick(now);
  });
}

bool
StoreFollower::IsFailing() const
{
  return (mIsWatching && mRoutes.IsFailing()) || mListPacer.IsFailing() ||
         mRegistration.IsFailing();
}

void
StoreFollower::NoteCall(TimePoint aNow,
                        const std::string& aDetail,
                        uint64_t aEra)
{
  mLatestDetail = aDetail;
  // Other nodes hear of it from those that watch.
  if (EraSeen(aNow, aEra) && mIsWatching) {
    mEvents.mRestored();
  }
}

void
StoreFollower::EraTold(TimePoint aNow, uint64_t aEra)
{
  EraSeen(aNow, aEra);
}

bool
StoreFollower::EraSeen(TimePoint aNow, uint64_t aEra)
{
  if (aEra <= mEra) {
    return false;
  }
  const uint64_t before = std::exchange(mEra, aEra);
  mRoutes.EraSeen(aNow, aEra);
  mRegistration.EraSeen(aEra, DrawCheckTime(aNow));
  if (before == 0) {
    return false;
  }
  mLogger.Write(
    aNow,
    LogLevel::Warning,
    "store-restored",
    { { "era", std::to_string(aEra) }, { "before", std::to_string(before) } });
  return true;
}

void
StoreFollower::UpdateReach(TimePoint aNow)
{
  if (!IsFailing()) {
    if (std::exchange(mFailingSince, std::nullopt)) {
      // The store may have lost the watch without closing its connection.
      mRoutes.ReplaceWatch(aNow);
    }
  } else if (!mFailingSince) {
    mFailingSince = aNow;
  }
  const bool reaches =
    !mFailingSince || (mReachesStore && aNow - *mFailingSince < kReachPatience);
  if (reaches == mReachesStore) {
    return;
  }
  mReachesStore = reaches;
  mLogger.Write(aNow,
                reaches ? LogLevel::Info : LogLevel::Warning,
                reaches ? "store-regained" : "store-lost",
                { { "detail", mLatestDetail } });
  mEvents.mReachChanged();
  // Sent even if this node no longer watches: the watchers that replaced it may
  // not have noticed the outage.
  if (reaches) {
    mEvents.mRegained();
  }
}

void
StoreFollower::Leave()
{
  mRegistration.Stop();
  if (mRegistration.IsRegistered()) {
    mStore.Remove(OwnKey(), [](const StoreResult&) {});
  }
}

} // namespace amaranthgap
