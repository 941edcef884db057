#include "membership/Membership.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace amaranthgap {

namespace {

/** Members that receive updates in each gossip round. */
constexpr uint32_t kGossipTargets = 3;
/** Minimum interval between accusations sent to the accused member. */
constexpr Duration kAccusationPeriod = milliseconds(500);
constexpr size_t kMaxRechecks = 4096;
constexpr size_t kMaxRecentSuspicions = 64;

} // namespace

bool
Membership::CheckSender(TimePoint aNow, const Envelope& aFrom, PeerOutput& aOut)
{
  if (aFrom.mFrom.mId.IsEmpty()) {
    return false;
  }
  const auto sendUpdate = [&](const MemberUpdate& aUpdate) {
    aOut.mSends.push_back(
      { .mTo = aFrom.mFrom,
        .mAddress = aFrom.mFromAddress,
        .mDatagram = true,
        .mMessage = MemberUpdates{ .mUpdates = { aUpdate } } });
  };
  if (aFrom.mFrom.mId == mSelf.mNode.mId) {
    if (aFrom.mFrom.mIncarnation.mValue < mSelf.mNode.mIncarnation.mValue &&
        mAnnounced) {
      sendUpdate(mSelf);
    }
    return false;
  }
  const uint32_t index = mTable.Find(aFrom.mFrom.mId);
  if (index == MemberTable::kNone) {
    mHeardFromPeer = true;
    return true;
  }
  auto& member = mTable.At(index);
  const auto& known = member.mUpdate;
  if (aFrom.mFrom.mIncarnation.mValue < known.mNode.mIncarnation.mValue) {
    // Either a superseded node, or a new host whose clock is behind that of the
    // old one.
    sendUpdate(known);
    return false;
  }
  if (aFrom.mFrom.mIncarnation == known.mNode.mIncarnation) {
    if (known.mState == MemberState::Left) {
      return false;
    }
    if (known.mState == MemberState::Dead &&
        aNow - member.mAccusationSent >= kAccusationPeriod) {
      member.mAccusationSent = aNow;
      sendUpdate(ForGossip(known));
    }
  }
  mHeardFromPeer = true;
  return true;
}

void
Membership::ApplyUpdate(TimePoint aNow,
                        const MemberUpdate& aUpdate,
                        const Envelope& aFrom,
                        bool aGossip,
                        PeerOutput& aOut)
{
  if (aUpdate.mNode.mId.IsEmpty()) {
    return;
  }
  if (aUpdate.mNode.mId == mSelf.mNode.mId) {
    ApplyToSelf(aNow, aUpdate, aFrom, aOut);
    return;
  }
  const auto& peer = aFrom.mFrom.mId.mValue;
  const uint32_t index = mTable.Find(aUpdate.mNode.mId);
  if (index == MemberTable::kNone) {
    const bool partial = aUpdate.mPeerAddress.empty();
    if (partial && IsLive(aUpdate.mState)) {
      return; // A suspicion of an unknown member has no use.
    }
    const uint32_t added = mTable.Add(aUpdate, partial, aNow);
    ++mChangeCount;
    mLastChange = aNow;
    if (aUpdate.mState == MemberState::Suspect) {
      mSuspicions[added] = { .mDeadline = aNow + mOptions.mSuspicionTimeout *
                                                   TimeoutFactor(),
                             .mAccuser = peer };
    }
    if (IsLive(aUpdate.mState) && !mProbeOrder.empty()) {
      // Adds the member to the current probe round at a random position.
      mProbeOrder.push_back(added);
      std::swap(mProbeOrder.back(),
                mProbeOrder[mProbeOrderNext +
                            mRng.Below(mProbeOrder.size() - mProbeOrderNext)]);
    }
    if (aGossip) {
      Enqueue(added, RetransmitCount());
    }
    if (mAnnounced) {
      aOut.mAudit.push_back(
        { .mKind = AuditKind::MemberState,
          .mSubject = aUpdate.mNode.mId.mValue,
          .mCause = "new member is " + std::string(ToName(aUpdate.mState)),
          .mPeer = peer });
    }
    return;
  }
  if (IsAccusation(aUpdate.mState)) {
    ApplyAccusation(aNow, index, aUpdate, aFrom, aGossip, aOut);
    return;
  }
  const auto& member = mTable.At(index);
  const auto& known = member.mUpdate;
  if (Supersedes(aUpdate, known)) {
    const std::string cause =
      aUpdate.mNode.mIncarnation != known.mNode.mIncarnation
        ? "new incarnation is " + std::string(ToName(aUpdate.mState))
        : "announced to be " + std::string(ToName(aUpdate.mState));
    ReplaceMember(aNow, index, aUpdate, cause, peer, aOut);
    if (aGossip) {
      Enqueue(index, RetransmitCount());
    }
    return;
  }
  const bool sameAnnouncement =
    aUpdate.mNode == known.mNode && aUpdate.mRefutation == known.mRefutation;
  if (sameAnnouncement && member.mPartial) {
    auto complete = aUpdate;
    complete.mState = known.mState;
    mTable.Replace(index, std::move(complete), false, aNow);
    ++mChangeCount;
  } else if (sameAnnouncement && !aGossip &&
             known.mState == MemberState::Dead &&
             mRecheckQueue.size() < kMaxRechecks) {
    mRecheckQueue.push_back(index);
  }
}

void
Membership::ApplyToSelf(TimePoint /*aNow*/,
                        const MemberUpdate& aUpdate,
                        const Envelope& aFrom,
                        PeerOutput& aOut)
{
  const uint64_t claimed = aUpdate.mNode.mIncarnation.mValue;
  const uint64_t own = mSelf.mNode.mIncarnation.mValue;
  if (claimed > own) {
    if (mIncarnationFixed) {
      mSuperseded = true;
      ++mChangeCount;
      aOut.mAudit.push_back({ .mKind = AuditKind::MemberState,
                              .mSubject = mSelf.mNode.mId.mValue,
                              .mCause = "superseded by a newer incarnation",
                              .mPeer = aFrom.mFrom.mId.mValue });
      return;
    }
    // The clock of this host is behind that of its predecessor, so that the
    // incarnation taken from it is too low.
    mSelf.mNode.mIncarnation.mValue = claimed + 1 + mRng.Below(1024);
    mSelf.mRefutation = 0;
    ReannounceSelf(aOut, "a higher incarnation was known");
    return;
  }
  if (claimed < own || !mAnnounced || !mOptions.mRefute) {
    return;
  }
  const bool accusation = IsAccusation(aUpdate.mState);
  const bool accused = accusation && aUpdate.mRefutation >= mSelf.mRefutation;
  if (!accusation && aUpdate.mRefutation <= mSelf.mRefutation) {
    return;
  }
  if (accused || aUpdate.mRefutation > mSelf.mRefutation) {
    mSelf.mRefutation = aUpdate.mRefutation;
    ReannounceSelf(aOut,
                   "refuted to be " + std::string(ToName(aUpdate.mState)) +
                     " for " + aFrom.mFrom.mId.mValue);
  }
  // Replies also to an accuser that missed an earlier refutation. A direct
  // reply stops the suspicion timer of the accuser before gossip reaches it.
  aOut.mSends.push_back({ .mTo = aFrom.mFrom,
                          .mAddress = aFrom.mFromAddress,
                          .mDatagram = true,
                          .mMessage = MemberUpdates{ .mUpdates = { mSelf } } });
}

void
Membership::ApplyAccusation(TimePoint aNow,
                            uint32_t aIndex,
                            const MemberUpdate& aUpdate,
                            const Envelope& aFrom,
                            bool aGossip,
                            PeerOutput& aOut)
{
  const auto& member = mTable.At(aIndex);
  const auto& known = member.mUpdate;
  if (known.mState == MemberState::Dead && !Supersedes(aUpdate, known)) {
    return;
  }
  // Ignores accusations by a node that is considered dead: its view may be
  // outdated, for instance after a pause.
  const uint32_t sender = mTable.Find(aFrom.mFrom.mId);
  if (sender != MemberTable::kNone &&
      mTable.At(sender).mUpdate.mNode == aFrom.mFrom &&
      mTable.At(sender).mUpdate.mState == MemberState::Dead) {
    return;
  }
  const auto& accuser = aFrom.mFrom.mId.mValue;
  const bool newer =
    aUpdate.mNode != known.mNode || aUpdate.mRefutation != known.mRefutation;
  if (newer) {
    if (!Supersedes(aUpdate, known)) {
      return;
    }
    // This node missed the announcement that the accusation refers to; a
    // refutation or a page will bring it.
    auto update = known;
    update.mRefutation = aUpdate.mRefutation;
    const bool replaced = aUpdate.mNode != known.mNode;
    if (replaced) {
      update.mNode = aUpdate.mNode;
      update.mService.clear();
      update.mSlots = 0;
    }
    const bool dead =
      aUpdate.mState == MemberState::Dead &&
      (replaced || !mOptions.mSuspectFirst || !IsLive(known.mState));
    update.mState = dead ? MemberState::Dead : MemberState::Suspect;
    ReplaceMember(aNow,
                  aIndex,
                  std::move(update),
                  "accused to be " + std::string(ToName(aUpdate.mState)),
                  accuser,
                  aOut);
    mTable.Replace(aIndex, mTable.At(aIndex).mUpdate, true, aNow);
    if (!dead) {
      mSuspicions[aIndex] = { .mDeadline = aNow + mOptions.mSuspicionTimeout *
                                                    TimeoutFactor(),
                              .mAccuser = accuser };
    }
    if (aGossip) {
      Enqueue(aIndex, RetransmitCount());
    }
    return;
  }
  if (known.mState == MemberState::Left) {
    return;
  }
  if (aUpdate.mState == MemberState::Dead &&
      (known.mState == MemberState::Suspect || !mOptions.mSuspectFirst)) {
    auto update = known;
    update.mState = MemberState::Dead;
    ReplaceMember(
      aNow, aIndex, std::move(update), "declared dead", accuser, aOut);
    if (aGossip) {
      Enqueue(aIndex, 3);
    }
    return;
  }
  if (known.mState != MemberState::Suspect) {
    Suspect(aNow, aIndex, accuser, aGossip, aOut);
    if (!aGossip) {
      SendAccusation(aNow, aIndex, aOut);
    }
  }
}

void
Membership::Suspect(TimePoint aNow,
                    uint32_t aIndex,
                    const std::string& aAccuser,
                    bool aGossip,
                    PeerOutput& aOut)
{
  auto update = mTable.At(aIndex).mUpdate;
  auto& suspicions = mRecentSuspicions[update.mDataCentre];
  suspicions.push_back(aNow);
  if (suspicions.size() > kMaxRecentSuspicions) {
    suspicions.pop_front();
  }
  update.mState = MemberState::Suspect;
  ReplaceMember(
    aNow, aIndex, std::move(update), "did not answer probes", aAccuser, aOut);
  mSuspicions[aIndex] = { .mDeadline =
                            aNow + mOptions.mSuspicionTimeout * TimeoutFactor(),
                          .mAccuser = aAccuser };
  if (aGossip) {
    Enqueue(aIndex, RetransmitCount());
  }
}

void
Membership::SendAccusation(TimePoint aNow, uint32_t aIndex, PeerOutput& aOut)
{
  auto& member = mTable.At(aIndex);
  if (aNow - member.mAccusationSent < kAccusationPeriod ||
      member.mUpdate.mPeerAddress.empty()) {
    return;
  }
  member.mAccusationSent = aNow;
  Send(
    aIndex, MemberUpdates{ .mUpdates = { ForGossip(member.mUpdate) } }, aOut);
}

void
Membership::ReplaceMember(TimePoint aNow,
                          uint32_t aIndex,
                          MemberUpdate aUpdate,
                          const std::string& aCause,
                          const std::string& aPeer,
                          PeerOutput& aOut)
{
  const auto& member = mTable.At(aIndex);
  if (aUpdate.mState != MemberState::Suspect) {
    mSuspicions.erase(aIndex);
  }
  const bool partial = IsAccusation(aUpdate.mState) && member.mPartial;
  if (mAnnounced) {
    aOut.mAudit.push_back(
      { .mKind = AuditKind::MemberState,
        .mSubject = aUpdate.mNode.mId.mValue,
        .mCause = std::string(ToName(aUpdate.mState)) + ": " + aCause,
        .mPeer = aPeer });
  }
  mTable.Replace(aIndex, std::move(aUpdate), partial, aNow);
  ++mChangeCount;
  mLastChange = aNow;
}

void
Membership::Gossip(TimePoint aNow, PeerOutput& aOut)
{
  mNextGossip = aNow + mOptions.mGossipPeriod;
  if (!mQueue.IsEmpty() || mSelfSendsLeft > 0) {
    SendUpdates(kGossipTargets, aOut);
  }
}

void
Membership::SendUpdates(uint32_t aCount, PeerOutput& aOut)
{
  for (const uint32_t index : mTable.Pick(aCount, mRng)) {
    auto updates = TakeUpdates(nullptr);
    if (updates.empty()) {
      return;
    }
    Send(index, MemberUpdates{ .mUpdates = std::move(updates) }, aOut);
  }
}

std::vector<MemberUpdate>
Membership::TakeUpdates(const MemberUpdate* aFirst)
{
  size_t bytesLeft = mOptions.mDatagramBytes;
  std::vector<MemberUpdate> updates;
  if (aFirst != nullptr) {
    updates.push_back(*aFirst);
    bytesLeft -= std::min(bytesLeft, PackedSize(*aFirst));
  }
  if (mSelfSendsLeft > 0) {
    --mSelfSendsLeft;
    updates.push_back(mSelf);
    bytesLeft -= std::min(bytesLeft, PackedSize(mSelf));
  }
  for (auto& update : mQueue.Take(mTable, bytesLeft)) {
    updates.push_back(std::move(update));
  }
  return updates;
}

void
Membership::Enqueue(uint32_t aIndex, uint32_t aSends)
{
  mQueue.Add(mTable, aIndex, aSends);
}

uint32_t
Membership::RetransmitCount() const
{
  // With a fan-out of 3 and r sends, gossip misses about e^-r of the members;
  // those get the update from pings and pages.
  return 4 + 3 * uint32_t(
                   std::ceil(std::log10(2.0 + double(mTable.Live().size()))));
}

} // namespace amaranthgap
