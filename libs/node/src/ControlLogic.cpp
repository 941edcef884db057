#include "node/ControlLogic.h"

#include <algorithm>
#include <set>

#include "HeadWatch.h"
#include "JoinLogic.h"
#include "base/Hash.h"
#include "discovery/WatcherElection.h"
#include "membership/Membership.h"

namespace amaranthgap {

namespace {

/** Peers that a new node asks for the version in force. */
constexpr size_t kAskedPeers = 5;
constexpr Duration kAskTime = milliseconds(1500);

/** A new node that is not a watcher leaves the loading of the first version to
 * the watchers for this time, since 4,100 nodes that load at once would exceed
 * the store's rates. */
constexpr Duration kLoadByPeers = seconds(5);

/** Period at which a node that is not ready reads a head that is absent. */
constexpr Duration kHeadReadPeriod = seconds(10);

constexpr Duration kElectionPeriod = milliseconds(500);

/** A snapshot of 4,100 members takes about 2 ms to build; at most this often,
 * for each member, while many change at once. */
constexpr Duration kSnapshotPerMember = microseconds(50);

/** Numbers of the pings that ask for the version in force; the numbers of
 * probes count up from 1. */
constexpr uint64_t kAskNumbers = 1ULL << 62;

Membership::Options
MembershipOptions(const ControlLogic::Options& aOptions)
{
  const auto& switches = aOptions.mSwitches;
  return { .mSelf = { .mNode = aOptions.mSelf,
                      .mState = MemberState::Joined,
                      .mRegion = aOptions.mRegion,
                      .mDataCentre = aOptions.mDataCentre,
                      .mPeerAddress = aOptions.mPeerAddress },
           .mSeed = Hash64("membership", aOptions.mSeed),
           .mIndirectProbes = switches.mIndirectProbes,
           .mRefute = switches.mRefute,
           .mWidenTimeouts = switches.mWidenTimeouts,
           .mDetectPause = switches.mDetectPause,
           .mSuspectFirst = switches.mSuspectFirst,
           .mProbeDead = switches.mProbeDead,
           .mPushPull = switches.mPushPull,
           .mFollowOutages = switches.mFollowOutages };
}

ManifestReplica::Options
ReplicaOptions(const ControlLogic::Options& aOptions)
{
  const auto& switches = aOptions.mSwitches;
  return { .mSeed = Hash64("manifest", aOptions.mSeed),
           .mRumors = switches.mRumors,
           .mPulls = switches.mPulls,
           .mCheckVersion = switches.mCheckVersion,
           .mCheckDigest = switches.mCheckDigest };
}

} // namespace

struct ControlLogic::Parts
{
  explicit Parts(Options aOptions)
    : mOptions(std::move(aOptions))
    , mRng(Hash64("control", mOptions.mSeed))
    , mMembership(MembershipOptions(mOptions))
    , mReplica(ReplicaOptions(mOptions))
    , mJoin({ .mDataCentre = mOptions.mDataCentre,
              .mAddress = mOptions.mPeerAddress,
              .mStaticPeers = mOptions.mStaticPeers,
              .mHasStore = mOptions.mHasStore,
              .mSeed = Hash64("join", mOptions.mSeed) })
    , mHead(Hash64("head", mOptions.mSeed))
    , mStore(Hash64("store", mOptions.mSeed))
  {
  }

  void Begin(TimePoint aNow)
  {
    mNow = std::max(mNow, aNow);
    mMembership.SetManifestStamp(mReplica.Stamp());
  }

  /** Hands over what an event produced. */
  void Finish(PeerOutput& aOut, Actions& aActions)
  {
    for (auto& send : aOut.mSends) {
      aActions.emplace_back(SendMessage{
        .mTo = std::move(send.mTo),
        .mAddress = std::move(send.mAddress),
        .mTransport = send.mDatagram ? Transport::Datagram : Transport::Stream,
        .mMessage = std::move(send.mMessage) });
    }
    for (auto& entry : aOut.mAudit) {
      aActions.emplace_back(std::move(entry));
    }
    aOut = {};
  }

  void NoteStamp(TimePoint aNow,
                 const ManifestStamp& aStamp,
                 const Envelope& aFrom,
                 PeerOutput& aOut)
  {
    mReplica.HandlePeerStamp(
      aNow,
      aStamp,
      { .mNode = aFrom.mFrom, .mAddress = aFrom.mFromAddress },
      aOut);
  }

  void AskForManifest(TimePoint aNow, PeerOutput& aOut, Actions& aActions);
  void CheckReady(TimePoint aNow, PeerOutput& aOut, Actions& aActions);
  void Elect(TimePoint aNow);
  void HandleStoreAnswer(TimePoint aNow,
                         StoreCalls::Purpose aPurpose,
                         const StoreAnswer& aAnswer,
                         PeerOutput& aOut,
                         Actions& aActions);
  [[nodiscard]] MemberListPtr MakeSnapshot() const;

  Options mOptions;
  Rng mRng;
  Membership mMembership;
  ManifestReplica mReplica;
  JoinLogic mJoin;
  HeadWatch mHead;
  StoreCalls mStore;
  TimePoint mNow{};

  bool mReady = false;
  bool mReportedNone = false;
  bool mAsked = false;
  bool mHeadFailed = false;
  std::set<uint64_t> mAskPending;
  uint64_t mLastAsk = kAskNumbers;
  uint32_t mAnswers = 0;
  TimePoint mAskedAt{};
  TimePoint mLoadAt{};
  TimePoint mNextHeadRead{};

  bool mWatcher = false;
  uint64_t mElectionChanges = 0;
  TimePoint mNextElection{};

  std::shared_ptr<const Manifest> mTakenManifest;
  uint64_t mTakenChanges = 0;
  TimePoint mTakenAt{};
  bool mTakenAny = false;
};

// -- Becoming ready ----------------------------------------------------------

void
ControlLogic::Parts::AskForManifest(TimePoint aNow,
                                    PeerOutput& aOut,
                                    Actions& aActions)
{
  if (!mAsked) {
    mLoadAt =
      aNow + FromSeconds(ToSeconds(kLoadByPeers) * mRng.Uniform(0.8, 1.6));
  }
  mAsked = true;
  mAskedAt = aNow;
  mAskPending.clear();
  if (mOptions.mSwitches.mAskPeers) {
    for (const uint32_t index : mMembership.PickLive(kAskedPeers)) {
      const auto& update = mMembership.Table().At(index).mUpdate;
      mAskPending.insert(++mLastAsk);
      aOut.mSends.push_back(
        { .mTo = update.mNode,
          .mAddress = update.mPeerAddress,
          .mDatagram = true,
          .mMessage =
            Ping{ .mProbe = mLastAsk, .mManifest = mReplica.Stamp() } });
    }
  }
  // Once the head is known, watchers and peers bring the content.
  if (mOptions.mHasStore && mStore.MayCall(aNow) && !mHead.Head() &&
      aNow >= mNextHeadRead &&
      !mStore.IsPending(StoreCalls::Purpose::HeadRead)) {
    mNextHeadRead =
      aNow + FromSeconds(ToSeconds(kHeadReadPeriod) * mRng.Uniform(0.5, 1.5));
    mHeadFailed = false;
    mHead.ReadHeadOnce(aNow, mStore, aActions);
  }
}

void
ControlLogic::Parts::CheckReady(TimePoint aNow,
                                PeerOutput& aOut,
                                Actions& aActions)
{
  if (mReady) {
    return;
  }
  if (!mAsked) {
    AskForManifest(aNow, aOut, aActions);
  }
  const bool late = aNow - mAskedAt >= kAskTime;
  const bool headKnown = !mOptions.mHasStore || mHead.HasAnswer() ||
                         mHeadFailed || mStore.IsDown() ||
                         aNow - mAskedAt >= 2 * kAskTime;
  if (!headKnown || (!mAskPending.empty() && !late)) {
    return;
  }
  // Watchers load the head anyway. Others do it when no peer has brought it.
  const bool alone = mMembership.Table().Live().empty();
  if (!mWatcher && (alone || aNow >= mLoadAt)) {
    mHead.LoadHead(aNow, mReplica);
  }
  const bool asked = mAnswers > 0 || mHead.HasAnswer();
  if (asked && mReplica.Stamp().mVersion > 0 &&
      mReplica.Stamp().mVersion >= mReplica.HighestKnownVersion()) {
    mReady = true;
    mMembership.FixIncarnation();
    aOut.mAudit.push_back(
      { .mKind = AuditKind::MemberState,
        .mSubject = mMembership.Self().mNode.mId.mValue,
        .mCause = "ready with version " +
                  std::to_string(mReplica.Stamp().mVersion) + " and " +
                  std::to_string(mMembership.Table().Live().size()) +
                  " other members",
        .mPeer = {} });
    return;
  }
  if (late) {
    if (!mReportedNone && mReplica.Stamp().mVersion == 0) {
      mReportedNone = true;
      aOut.mAudit.push_back(
        { .mKind = AuditKind::MemberState,
          .mSubject = mMembership.Self().mNode.mId.mValue,
          .mCause = mStore.IsDown()
                      ? "not ready: no peer has a manifest, store is down"
                      : "not ready: no manifest yet",
          .mPeer = {} });
    }
    if (aNow - mAskedAt >= 2 * kAskTime) {
      AskForManifest(aNow, aOut, aActions);
    }
  }
}

void
ControlLogic::Parts::Elect(TimePoint aNow)
{
  if (aNow < mNextElection || mElectionChanges == mMembership.ChangeCount()) {
    return;
  }
  mNextElection = aNow + kElectionPeriod;
  mElectionChanges = mMembership.ChangeCount();
  const auto& self = mMembership.Self();
  const auto eligible = [](MemberState aState) {
    return aState == MemberState::Joined || aState == MemberState::Warm;
  };
  std::vector<NodeId> others;
  const auto& table = mMembership.Table();
  for (const uint32_t index : table.Live()) {
    const auto& update = table.At(index).mUpdate;
    if (update.mDataCentre == self.mDataCentre && eligible(update.mState)) {
      others.push_back(update.mNode.mId);
    }
  }
  mWatcher =
    mOptions.mHasStore && eligible(self.mState) &&
    (!mOptions.mSwitches.mElectWatchers ||
     WatcherElection::IsElected(self.mDataCentre, self.mNode.mId, others));
}

void
ControlLogic::Parts::HandleStoreAnswer(TimePoint aNow,
                                       StoreCalls::Purpose aPurpose,
                                       const StoreAnswer& aAnswer,
                                       PeerOutput& aOut,
                                       Actions& aActions)
{
  const bool reachable = aAnswer.mVerdict != StoreVerdict::NotDone &&
                         aAnswer.mVerdict != StoreVerdict::Unclear;
  mStore.NoteReachable(aNow, reachable);
  switch (aPurpose) {
    case StoreCalls::Purpose::SeedsRead:
      mJoin.SeedsRead(aNow, aAnswer, mMembership, mStore, aActions);
      break;
    case StoreCalls::Purpose::SeedsWrite:
      mJoin.SeedsWritten(aNow, aAnswer);
      break;
    case StoreCalls::Purpose::HeadRead:
    case StoreCalls::Purpose::HeadWatch:
      mHeadFailed = mHeadFailed || !reachable;
      mHead.HeadAnswered(aNow,
                         aAnswer,
                         aPurpose == StoreCalls::Purpose::HeadWatch,
                         mReplica,
                         aOut);
      break;
    case StoreCalls::Purpose::LoadRead:
      mHead.LoadAnswered(aNow, aAnswer, mReplica, aOut);
      break;
  }
}

MemberListPtr
ControlLogic::Parts::MakeSnapshot() const
{
  auto list = std::make_shared<MemberList>();
  const auto& self = mMembership.Self();
  uint32_t regionNodes = 0;
  const auto add = [&](MemberUpdate aUpdate) {
    const bool usable = aUpdate.mState == MemberState::Warm ||
                        aUpdate.mState == MemberState::Leaving ||
                        aUpdate.mState == MemberState::Suspect;
    if (IsLive(aUpdate.mState) && aUpdate.mRegion == self.mRegion) {
      ++regionNodes;
    }
    if (usable && !aUpdate.mService.empty()) {
      list->mByService[aUpdate.mService].push_back(aUpdate);
    }
    auto id = aUpdate.mNode.mId;
    list->mByNode.emplace(std::move(id), std::move(aUpdate));
  };
  mMembership.Table().ForEach([&](const Member& aMember) {
    auto update = aMember.mUpdate;
    update.mState = aMember.RoutingState();
    add(std::move(update));
  });
  if (mMembership.IsAnnounced()) {
    add(self);
  }
  list->mRegionNodes = std::max(1U, regionNodes);
  return list;
}

// -- Events ------------------------------------------------------------------

ControlLogic::ControlLogic(Options aOptions)
  : mParts(std::make_unique<Parts>(std::move(aOptions)))
{
}

ControlLogic::~ControlLogic() = default;
ControlLogic::ControlLogic(ControlLogic&& aOther) noexcept = default;
ControlLogic&
ControlLogic::operator=(ControlLogic&& aOther) noexcept = default;

void
ControlLogic::MessageArrived(TimePoint aNow,
                             const Envelope& aEnvelope,
                             Actions& aActions)
{
  auto& parts = *mParts;
  parts.Begin(aNow);
  const auto& self = Self();
  const auto& to = aEnvelope.mTo;
  if ((!to.mId.IsEmpty() && to.mId != self.mId) ||
      (to.mIncarnation.mValue != 0 && to.mIncarnation != self.mIncarnation)) {
    return;
  }
  PeerOutput out;
  if (parts.mMembership.MessageArrived(aNow, aEnvelope, out)) {
    const auto& message = aEnvelope.mMessage;
    if (const auto* ping = std::get_if<Ping>(&message)) {
      parts.NoteStamp(aNow, ping->mManifest, aEnvelope, out);
    } else if (const auto* ack = std::get_if<Ack>(&message)) {
      if (parts.mAskPending.erase(ack->mProbe) > 0) {
        ++parts.mAnswers;
      }
      parts.NoteStamp(aNow, ack->mManifest, aEnvelope, out);
    } else {
      parts.mReplica.MessageArrived(aNow, aEnvelope, out);
    }
  }
  parts.Finish(out, aActions);
}

void
ControlLogic::StoreAnswered(TimePoint aNow,
                            StoreCallId aCall,
                            const StoreAnswer& aAnswer,
                            Actions& aActions)
{
  auto& parts = *mParts;
  parts.Begin(aNow);
  PeerOutput out;
  if (const auto purpose = parts.mStore.Finish(aCall)) {
    parts.HandleStoreAnswer(aNow, *purpose, aAnswer, out, aActions);
  }
  parts.Finish(out, aActions);
}

void
ControlLogic::PeerLost(TimePoint aNow,
                       const NodeRef& aPeer,
                       Actions& /*aActions*/)
{
  mParts->Begin(aNow);
  mParts->mMembership.PeerLost(aNow, aPeer);
}

void
ControlLogic::Tick(TimePoint aNow, Actions& aActions)
{
  auto& parts = *mParts;
  parts.Begin(aNow);
  auto& membership = parts.mMembership;
  if (membership.IsSuperseded() ||
      membership.Self().mState == MemberState::Left) {
    return;
  }
  PeerOutput out;
  while (const auto purpose = parts.mStore.Expire(aNow)) {
    parts.HandleStoreAnswer(
      aNow,
      *purpose,
      { .mVerdict = StoreVerdict::Unclear, .mDetail = "no answer" },
      out,
      aActions);
  }
  membership.Tick(aNow, out);
  parts.mJoin.Tick(
    aNow, membership, parts.mStore, parts.mWatcher, out, aActions);
  if (parts.mJoin.IsOver()) {
    if (!membership.IsAnnounced()) {
      membership.Announce(aNow, out);
    }
    parts.Elect(aNow);
    parts.CheckReady(aNow, out, aActions);
  }
  if (parts.mOptions.mHasStore) {
    parts.mHead.Tick(
      aNow, parts.mWatcher, parts.mReplica, parts.mStore, out, aActions);
  }
  parts.mReplica.Tick(
    aNow,
    [&](size_t aCount) {
      std::vector<PeerAddress> peers;
      for (const uint32_t index : membership.PickLive(aCount)) {
        const auto& update = membership.Table().At(index).mUpdate;
        peers.push_back(
          { .mNode = update.mNode, .mAddress = update.mPeerAddress });
      }
      return peers;
    },
    out);
  parts.Finish(out, aActions);
}

// -- Own entry ---------------------------------------------------------------

void
ControlLogic::SetUpstream(TimePoint aNow,
                          const std::string& aService,
                          uint32_t aSlots,
                          Duration aWarmUp,
                          Actions& aActions)
{
  mParts->Begin(aNow);
  PeerOutput out;
  mParts->mMembership.SetUpstream(
    aNow, aService, aSlots, uint32_t(ToMillis(aWarmUp)), out);
  mParts->Finish(out, aActions);
}

void
ControlLogic::Leave(TimePoint aNow, Actions& aActions)
{
  mParts->Begin(aNow);
  PeerOutput out;
  mParts->mMembership.Leave(aNow, out);
  mParts->Finish(out, aActions);
}

void
ControlLogic::Left(TimePoint aNow, Actions& aActions)
{
  mParts->Begin(aNow);
  PeerOutput out;
  mParts->mMembership.CompleteLeave(aNow, out);
  mParts->Finish(out, aActions);
}

// -- State -------------------------------------------------------------------

const NodeRef&
ControlLogic::Self() const
{
  return mParts->mMembership.Self().mNode;
}

bool
ControlLogic::IsReady() const
{
  return mParts->mReady && !mParts->mMembership.IsStale();
}

bool
ControlLogic::IsSuperseded() const
{
  return mParts->mMembership.IsSuperseded();
}

ManifestPtr
ControlLogic::TakeManifest()
{
  auto& parts = *mParts;
  if (!parts.mReady || parts.mTakenManifest == parts.mReplica.InForce()) {
    return nullptr;
  }
  parts.mTakenManifest = parts.mReplica.InForce();
  return parts.mTakenManifest;
}

MemberListPtr
ControlLogic::TakeMembers()
{
  auto& parts = *mParts;
  const auto& membership = parts.mMembership;
  const Duration pause = kSnapshotPerMember * membership.Table().Count();
  if (parts.mTakenChanges == membership.ChangeCount() ||
      (parts.mTakenAny && parts.mNow - parts.mTakenAt < pause)) {
    return nullptr;
  }
  parts.mTakenAny = true;
  parts.mTakenChanges = membership.ChangeCount();
  parts.mTakenAt = parts.mNow;
  return parts.MakeSnapshot();
}

ManifestStamp
ControlLogic::Stamp() const
{
  return mParts->mReplica.Stamp();
}

std::vector<MemberUpdate>
ControlLogic::Members() const
{
  std::vector<MemberUpdate> members;
  if (mParts->mMembership.IsAnnounced()) {
    members.push_back(mParts->mMembership.Self());
  }
  mParts->mMembership.Table().ForEach(
    [&](const Member& aMember) { members.push_back(aMember.mUpdate); });
  return members;
}

const MemberUpdate*
ControlLogic::FindMember(const NodeId& aNode) const
{
  const auto& table = mParts->mMembership.Table();
  const uint32_t index = table.Find(aNode);
  return index == MemberTable::kNone ? nullptr : &table.At(index).mUpdate;
}

size_t
ControlLogic::LiveMembers() const
{
  return mParts->mMembership.Table().Live().size();
}

bool
ControlLogic::IsWatcher() const
{
  return mParts->mWatcher;
}

} // namespace amaranthgap
