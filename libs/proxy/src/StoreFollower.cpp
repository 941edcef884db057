#include "proxy/StoreFollower.h"

#include <charconv>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

constexpr const char* kNodesPrefix = "amaranthgap/nodes/";
// Longest time of one watch. Keep-alive probes notice a dead connection sooner.
constexpr Duration kWatchTime = seconds(15);
// Nodes that start or leave at once are learned in one watch.
constexpr Duration kNodesPause = milliseconds(300);

// `run address`, as short as that: each node reads all entries.
std::string
EncodeEntry(const PeerAddress& aPeer)
{
  return fmt::format("{} {}", aPeer.mRun, aPeer.mAddress);
}

std::optional<PeerAddress>
DecodeEntry(const std::string& aNode, const std::string& aValue)
{
  PeerAddress out{ .mNode = aNode };
  const size_t space = aValue.find(' ');
  if (space == std::string::npos) {
    return std::nullopt;
  }
  const char* end = aValue.data() + space;
  const auto [at, ec] = std::from_chars(aValue.data(), end, out.mRun);
  out.mAddress = aValue.substr(space + 1);
  if (ec != std::errc() || at != end || out.mAddress.empty()) {
    return std::nullopt;
  }
  return out;
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
  , mNodes({ .mWatchPause = kNodesPause, .mSeed = mOptions.mSeed })
  , mRoutes({ .mSeed = mOptions.mSeed + 1 })
  , mRegistration(mOptions.mSeed + 2)
{
}

std::string
StoreFollower::OwnKey() const
{
  return kNodesPrefix + mOptions.mSelf.mNode;
}

void
StoreFollower::Tick(TimePoint aNow)
{
  Follow(aNow, mRoutes, mOptions.mRoutesKey.c_str());
  Follow(aNow, mNodes, kNodesPrefix);
  Register(aNow);
}

void
StoreFollower::Follow(TimePoint aNow,
                      PrefixWatcher& aFollower,
                      const char* aPrefix)
{
  const auto call = aFollower.Next(aNow);
  if (!call) {
    return;
  }
  const auto done =
    [this, &aFollower, number = call->mNumber](const StoreChanges& aResult) {
      const auto changes = aFollower.Done(EventLoop::Now(), number, aResult);
      NoteReach(aFollower.IsFailing(), aResult.mDetail);
      for (const StoreChange& it : changes) {
        if (&aFollower == &mNodes) {
          NodeChanged(it);
        } else if (it.mValue && it.mKey == mOptions.mRoutesKey) {
          mEvents.mRoutes(*it.mValue);
        }
      }
      Tick(EventLoop::Now());
    };
  if (call->mIsList) {
    mStore.List(aPrefix, done);
  } else {
    mStore.Watch(aPrefix, call->mAfter, kWatchTime, done);
  }
}

void
StoreFollower::NodeChanged(const StoreChange& aChange)
{
  const std::string node =
    aChange.mKey.substr(std::string_view(kNodesPrefix).size());
  if (node == mOptions.mSelf.mNode) {
    if (!aChange.mValue || *aChange.mValue != EncodeEntry(mOptions.mSelf)) {
      mRegistration.EntryMissing(EventLoop::Now());
    }
    return;
  }
  if (!aChange.mValue) {
    mEvents.mNodeUnlisted(node);
  } else if (const auto peer = DecodeEntry(node, *aChange.mValue)) {
    mEvents.mNodeListed(*peer);
  } else {
    mLogger.Write(EventLoop::Now(),
                  LogLevel::Warning,
                  "store-entry-unusable",
                  { { "key", aChange.mKey } });
  }
}

void
StoreFollower::Register(TimePoint aNow)
{
  const auto call = mRegistration.Next(aNow);
  if (!call) {
    return;
  }
  const auto done = [this](const StoreResult& aResult) {
    mRegistration.Done(EventLoop::Now(), aResult);
    NoteReach(mRegistration.IsFailing(), aResult.mDetail);
    Tick(EventLoop::Now());
  };
  switch (*call) {
    case RegistrationCall::GrantLease:
      mStore.GrantLease(Registration::kTtl, done);
      break;
    case RegistrationCall::Put:
      mStore.Put(
        OwnKey(), EncodeEntry(mOptions.mSelf), mRegistration.Lease(), done);
      break;
    case RegistrationCall::KeepLease:
      mStore.KeepLease(mRegistration.Lease(), done);
      break;
  }
}

void
StoreFollower::NoteReach(bool aFailing, const std::string& aDetail)
{
  if (aFailing != mIsLost) {
    mIsLost = aFailing;
    mLogger.Write(EventLoop::Now(),
                  aFailing ? LogLevel::Warning : LogLevel::Info,
                  aFailing ? "store-lost" : "store-regained",
                  { { "detail", aDetail } });
    if (!aFailing) {
      mNodes.ReplaceWatch(EventLoop::Now());
      mRoutes.ReplaceWatch(EventLoop::Now());
    }
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
