#include "JoinLogic.h"

#include <algorithm>

namespace amaranthgap {

namespace {

constexpr Duration kContactPeriod = milliseconds(500);
constexpr size_t kContacts = 3;

/** Rounds without any answer after which the listed seeds count as gone. */
constexpr uint32_t kGoneRounds = 8;

/** Nodes that start together answer each other before they are members; after
 * this time without an answer from a member there is none. */
constexpr Duration kJoiningOnly = seconds(3);

/** A store that is well serves the first reads of 4,100 nodes started at the
 * same moment at 1,400 reads a second. */
constexpr Duration kFirstReadSpread = seconds(3);

/** Pause before the next read while listed seeds are being contacted. */
constexpr Duration kSeedsPause = seconds(4);

/** A node without a store and without an answer from its peers says on the
 * audit trail after this time why it is not ready. */
constexpr Duration kReport = seconds(2);

/** Watchers read the seeds this often, the two keys in turn: about one read a
 * second by 10 watchers. */
constexpr Duration kRefreshPeriod = seconds(10);

/** Seeds that did not answer a joining node are tried again for this time;
 * regions lose contact for up to an hour. */
constexpr Duration kUnreachedTime = minutes(90);

/** A node without other members looks for some this often. */
constexpr Duration kAlonePeriod = seconds(4);

} // namespace

JoinLogic::JoinLogic(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRng(mOptions.mSeed)
{
}

std::string
JoinLogic::Key() const
{
  return mScope == Scope::DataCentre ? "seeds/" + mOptions.mDataCentre
                                     : "seeds-fleet";
}

Duration
JoinLogic::RefreshPause(const Membership& aMembership) const
{
  if (!mOver) {
    return Candidates().empty() ? Duration(milliseconds(300)) : kSeedsPause;
  }
  return aMembership.Table().Live().empty() ? kAlonePeriod : kRefreshPeriod;
}

void
JoinLogic::NextScope(TimePoint aNow, Duration aPause)
{
  mScope = mScope == Scope::DataCentre ? Scope::Fleet : Scope::DataCentre;
  mNextRead = aNow + FromSeconds(ToSeconds(aPause) * mRng.Uniform(0.5, 1.5));
}

void
JoinLogic::Tick(TimePoint aNow,
                Membership& aMembership,
                StoreCalls& aStore,
                bool aWatcher,
                PeerOutput& aOut,
                Actions& aActions)
{
  if (!mStarted) {
    mStarted = true;
    mStart = aNow;
    mNextContact = aNow;
    mNextRead =
      aNow + FromSeconds(ToSeconds(kFirstReadSpread) * mRng.Uniform());
  }
  for (const auto& address : mUnknown) {
    aMembership.JoinVia(aNow, address, aOut);
  }
  mUnknown.clear();
  if (!mUnreached.empty() && mOver && aNow >= mNextUnreached) {
    RetryUnreached(aNow, aMembership, aOut);
  }
  const bool alone = aMembership.Table().Live().empty();
  if ((!mOver || alone) && aNow >= mNextContact) {
    Contact(aNow, aMembership, aOut);
  }
  if (!mOver) {
    CheckOver(aNow, aMembership, aStore, aOut);
  }
  if (mOptions.mHasStore && aNow >= mNextRead && aStore.MayCall(aNow) &&
      !aStore.IsPending(StoreCalls::Purpose::SeedsRead) &&
      !aStore.IsPending(StoreCalls::Purpose::SeedsWrite) &&
      (!mOver || alone || (aWatcher && !aStore.IsDown()))) {
    mNextRead = aNow + kRefreshPeriod;
    aStore.Start(aNow,
                 StoreCalls::Purpose::SeedsRead,
                 { .mOperation = StoreOperation::Read, .mKey = Key() },
                 aActions);
  }
}

std::vector<std::string>
JoinLogic::Candidates() const
{
  std::vector<std::string> all = mOptions.mStaticPeers;
  for (const auto& known : mKnown) {
    all.insert(all.end(),
               known.mSeeds.mAddresses.begin(),
               known.mSeeds.mAddresses.end());
  }
  std::sort(all.begin(), all.end());
  all.erase(std::unique(all.begin(), all.end()), all.end());
  std::erase(all, mOptions.mAddress);
  return all;
}

void
JoinLogic::Contact(TimePoint aNow, Membership& aMembership, PeerOutput& aOut)
{
  auto addresses = Candidates();
  if (addresses.empty()) {
    mNextContact = aNow + kContactPeriod / 5;
    return;
  }
  mNextContact = aNow + (mOver ? kAlonePeriod : kContactPeriod);
  if (!aMembership.HasHeardFromPeer()) {
    ++mUnanswered;
  }
  // Members learned from pages that a peer could not complete.
  for (const uint32_t index : aMembership.PickLive(1)) {
    addresses.push_back(aMembership.Table().At(index).mUpdate.mPeerAddress);
  }
  for (size_t i = 0; i < kContacts && !addresses.empty(); ++i) {
    const size_t pick = mRng.Below(addresses.size());
    aMembership.JoinVia(aNow, addresses[pick], aOut);
    addresses.erase(addresses.begin() + std::ptrdiff_t(pick));
  }
}

void
JoinLogic::RetryUnreached(TimePoint aNow,
                          Membership& aMembership,
                          PeerOutput& aOut)
{
  mNextUnreached = aNow + kAlonePeriod;
  std::set<std::string> live;
  for (const uint32_t index : aMembership.Table().Live()) {
    live.insert(aMembership.Table().At(index).mUpdate.mPeerAddress);
  }
  std::erase_if(mUnreached, [&](const std::string& aAddress) {
    return live.contains(aAddress) || aNow >= mUnreachedUntil;
  });
  if (!mUnreached.empty()) {
    aMembership.JoinVia(aNow, mUnreached[mRng.Below(mUnreached.size())], aOut);
  }
}

void
JoinLogic::CheckOver(TimePoint aNow,
                     const Membership& aMembership,
                     const StoreCalls& aStore,
                     PeerOutput& aOut)
{
  if (aMembership.IsSynchronised()) {
    mOver = true;
    mNextRead = aNow + FromSeconds(mRng.Uniform(0.5, 3));
    return;
  }
  if (aMembership.HasHeardFromPeer() && mContactSince == TimePoint{}) {
    mContactSince = aNow;
  }
  const bool onlyJoining =
    mContactSince != TimePoint{} && aNow - mContactSince >= kJoiningOnly;
  const bool listed = !Candidates().empty();
  const bool unanswered = !listed || mUnanswered >= kGoneRounds;
  const bool storeRead = mKnown[0].mRead && mKnown[1].mRead;
  const bool noOne = !aMembership.HasHeardFromPeer() && unanswered &&
                     (mOptions.mHasStore ? storeRead : !listed);
  if (onlyJoining || noOne) {
    mOver = true;
    // The others may be cut off, not gone.
    mUnreached = Candidates();
    mUnreachedUntil = aNow + kUnreachedTime;
    mNextRead = aNow + FromSeconds(mRng.Uniform(0.5, 3));
    return;
  }
  if (!mReported && aNow - mStart >= kReport &&
      !aMembership.HasHeardFromPeer() &&
      (!mOptions.mHasStore || aStore.IsDown())) {
    mReported = true;
    aOut.mAudit.push_back(
      { .mKind = AuditKind::MemberState,
        .mSubject = aMembership.Self().mNode.mId.mValue,
        .mCause = mOptions.mStaticPeers.empty()
                    ? "not ready: store not reachable and no static peers"
                    : "not ready: neither store nor static peers answer",
        .mPeer = "store" });
  }
}

void
JoinLogic::SeedsRead(TimePoint aNow,
                     const StoreAnswer& aAnswer,
                     const Membership& aMembership,
                     StoreCalls& aStore,
                     Actions& aActions)
{
  if (aAnswer.mVerdict != StoreVerdict::Done) {
    mNextRead = aNow + FromSeconds(mRng.Uniform(0.5, 1.5));
    return;
  }
  auto& known = Current();
  known.mSeeds = SeedList::Parse(aAnswer.mCurrent.mValue);
  known.mRevision = aAnswer.mCurrent.mRevision;
  if (known.mSeeds.mAddresses.empty() && !mSeenEmpty) {
    // A whole fleet may be starting: a random pause lets a few write first.
    mSeenEmpty = true;
    mNextRead =
      aNow + FromSeconds(ToSeconds(kFirstReadSpread) * mRng.Uniform(0.1, 1));
    return;
  }
  known.mRead = true;
  if (mOver) {
    FindUnknown(known.mSeeds, aMembership);
  }
  Write(aNow, aMembership, aStore, aActions);
}

void
JoinLogic::FindUnknown(const SeedList& aSeeds, const Membership& aMembership)
{
  std::set<std::string> known{ mOptions.mAddress };
  aMembership.Table().ForEach(
    [&](const Member& aMember) { known.insert(aMember.mUpdate.mPeerAddress); });
  for (const auto& address : aSeeds.mAddresses) {
    if (!known.contains(address)) {
      mUnknown.push_back(address);
    }
  }
}

void
JoinLogic::Write(TimePoint aNow,
                 const Membership& aMembership,
                 StoreCalls& aStore,
                 Actions& aActions)
{
  auto& known = Current();
  SeedList seeds = known.mSeeds;
  const auto& self = aMembership.Self();
  const bool stays = IsLive(self.mState) && self.mState != MemberState::Leaving;
  const auto add = [&](const std::string& aAddress) {
    if (seeds.mAddresses.size() < SeedList::kMaxSeeds &&
        !seeds.Contains(aAddress)) {
      seeds.mAddresses.push_back(aAddress);
    }
  };
  if (mOver) {
    // Only members know which of the listed addresses are still in use.
    std::vector<std::string> usable;
    for (const uint32_t index : aMembership.Table().Live()) {
      const auto& update = aMembership.Table().At(index).mUpdate;
      const bool inScope =
        mScope == Scope::Fleet || update.mDataCentre == mOptions.mDataCentre;
      if (inScope && (update.mState == MemberState::Joined ||
                      update.mState == MemberState::Warm)) {
        usable.push_back(update.mPeerAddress);
      }
    }
    if (stays) {
      usable.push_back(mOptions.mAddress);
    }
    const std::set<std::string> listable(usable.begin(), usable.end());
    std::erase_if(seeds.mAddresses, [&](const std::string& aAddress) {
      return !listable.contains(aAddress);
    });
    for (size_t i = 0; i < SeedList::kMaxSeeds && !usable.empty(); ++i) {
      add(usable[mRng.Below(usable.size())]);
    }
  } else if (mUnanswered >= kGoneRounds && !aMembership.HasHeardFromPeer()) {
    if (seeds.mAddresses.size() >= SeedList::kMaxSeeds) {
      seeds.mAddresses.erase(seeds.mAddresses.begin());
    }
    add(mOptions.mAddress);
  } else if (seeds.mAddresses.empty()) {
    add(mOptions.mAddress);
  }
  if (seeds.mAddresses == known.mSeeds.mAddresses) {
    NextScope(aNow, RefreshPause(aMembership));
    return;
  }
  known.mSeeds = seeds;
  aStore.Start(aNow,
               StoreCalls::Purpose::SeedsWrite,
               { .mOperation = StoreOperation::CompareAndSwap,
                 .mKey = Key(),
                 .mValue = seeds.ToText(),
                 .mRevision = known.mRevision },
               aActions);
}

void
JoinLogic::SeedsWritten(TimePoint aNow, const StoreAnswer& aAnswer)
{
  if (aAnswer.mVerdict == StoreVerdict::Done) {
    NextScope(aNow, mOver ? kRefreshPeriod : Duration(milliseconds(100)));
    return;
  }
  if (aAnswer.mVerdict == StoreVerdict::Conflict) {
    Current().mSeeds = SeedList::Parse(aAnswer.mCurrent.mValue);
    NextScope(aNow, mOver ? kRefreshPeriod : Duration(milliseconds(300)));
    return;
  }
  // Unclear: the next read shows whether it took effect.
  mNextRead = aNow + FromSeconds(mRng.Uniform(1, 3));
}

} // namespace amaranthgap
