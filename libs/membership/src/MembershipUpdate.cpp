#include "membership/Membership.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace amaranthgap {

namespace {

constexpr uint32_t kGossipTargets = 3;
constexpr Duration kChallengePeriod = milliseconds(500);
constexpr size_t kMaxRecheck = 4096;
constexpr size_t kMaxFailures = 64;

} // namespace

bool
Membership::CheckSender(TimePoint aNow, const Envelope& aFrom, PeerOutput& aOut)
{
  if (aFrom.mFrom.mId.IsEmpty()) {
    return false;
  }
  const auto tell = [&](const MemberUpdate& aUpdate) {
    aOut.mSends.push_back(
      { .mTo = aFrom.mFrom,
        .mAddress = aFrom.mFromAddress,
        .mDatagram = true,
        .mMessage = MemberUpdates{ .mUpdates = { aUpdate } } });
  };
  if (aFrom.mFrom.mId == mSelf.mNode.mId) {
    if (aFrom.mFrom.mIncarnation.mValue < mSelf.mNode.mIncarnation.mValue &&
        mAnnounced) {
      tell(mSelf);
    }
    return false;
  }
  const uint32_t index = mTable.Find(aFrom.mFrom.mId);
  if (index == MemberTable::kNone) {
    mContact = true;
    return true;
  }
  auto& member = mTable.At(index);
  const auto& known = member.mUpdate;
  if (aFrom.mFrom.mIncarnation.mValue < known.mNode.mIncarnation.mValue) {
    // Superseded, or a new host whose clock is behind that of the old one.
    tell(known);
    return false;
  }
  if (aFrom.mFrom.mIncarnation == known.mNode.mIncarnation) {
    if (known.mState == MemberState::Left) {
      return false;
    }
    if (known.mState == MemberState::Dead &&
        aNow - member.mAccusationSent >= kChallengePeriod) {
      member.mAccusationSent = aNow;
      tell(ForGossip(known));
    }
  }
  mContact = true;
  return true;
}

void
Membership::Apply(TimePoint aNow,
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
      return; // Nothing is known of it that could be doubted.
    }
    const uint32_t added = mTable.Add(aUpdate, partial, aNow);
    ++mChanges;
    mLastChange = aNow;
    if (aUpdate.mState == MemberState::Suspect) {
      mSuspicions[added] = { .mUntil = aNow + mOptions.mSuspicionTimeout *
                                                TimeoutFactor(),
                             .mAccuser = peer };
    }
    if (IsLive(aUpdate.mState) && !mOrder.empty()) {
      // Probed in the present round already, at a random position.
      mOrder.push_back(added);
      std::swap(mOrder.back(),
                mOrder[mOrderNext + mRng.Below(mOrder.size() - mOrderNext)]);
    }
    if (aGossip) {
      Enqueue(added, Repeats());
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
    Set(aNow, index, aUpdate, cause, peer, aOut);
    if (aGossip) {
      Enqueue(index, Repeats());
    }
    return;
  }
  const bool sameRun =
    aUpdate.mNode == known.mNode && aUpdate.mRefutation == known.mRefutation;
  if (sameRun && member.mPartial) {
    auto whole = aUpdate;
    whole.mState = known.mState;
    mTable.Replace(index, std::move(whole), false, aNow);
    ++mChanges;
  } else if (sameRun && !aGossip && known.mState == MemberState::Dead &&
             mRecheck.size() < kMaxRecheck) {
    mRecheck.push_back(index);
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
    if (mFinal) {
      mSuperseded = true;
      ++mChanges;
      aOut.mAudit.push_back({ .mKind = AuditKind::MemberState,
                              .mSubject = mSelf.mNode.mId.mValue,
                              .mCause = "superseded by a newer incarnation",
                              .mPeer = aFrom.mFrom.mId.mValue });
      return;
    }
    // The clock of this host is behind that of its predecessor.
    mSelf.mNode.mIncarnation.mValue = claimed + 1 + mRng.Below(1024);
    mSelf.mRefutation = 0;
    ChangeSelf(aOut, "a higher incarnation was known");
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
    ChangeSelf(aOut,
               "refuted to be " + std::string(ToName(aUpdate.mState)) +
                 " for " + aFrom.mFrom.mId.mValue);
  }
  // An accuser that missed an earlier refutation needs the answer as well.
  // The accuser stops its timer at once, without waiting for gossip.
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
  // A node that was declared dead, or resumed after a pause, judges others by
  // outdated facts.
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
    // The announcement that the accusation refers to has been missed; it comes
    // with a refutation or with a page.
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
    Set(aNow,
        aIndex,
        std::move(update),
        "accused to be " + std::string(ToName(aUpdate.mState)),
        accuser,
        aOut);
    mTable.Replace(aIndex, mTable.At(aIndex).mUpdate, true, aNow);
    if (!dead) {
      mSuspicions[aIndex] = { .mUntil = aNow + mOptions.mSuspicionTimeout *
                                                 TimeoutFactor(),
                              .mAccuser = accuser };
    }
    if (aGossip) {
      Enqueue(aIndex, Repeats());
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
    Set(aNow, aIndex, std::move(update), "declared dead", accuser, aOut);
    if (aGossip) {
      Enqueue(aIndex, 3);
    }
    return;
  }
  if (known.mState != MemberState::Suspect) {
    Suspect(aNow, aIndex, accuser, aGossip, aOut);
    if (!aGossip) {
      Challenge(aNow, aIndex, aOut);
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
  auto& failures = mFailures[update.mDataCentre];
  failures.push_back(aNow);
  if (failures.size() > kMaxFailures) {
    failures.pop_front();
  }
  update.mState = MemberState::Suspect;
  Set(aNow, aIndex, std::move(update), "did not answer probes", aAccuser, aOut);
  mSuspicions[aIndex] = { .mUntil =
                            aNow + mOptions.mSuspicionTimeout * TimeoutFactor(),
                          .mAccuser = aAccuser };
  if (aGossip) {
    Enqueue(aIndex, Repeats());
  }
}

void
Membership::Challenge(TimePoint aNow, uint32_t aIndex, PeerOutput& aOut)
{
  auto& member = mTable.At(aIndex);
  if (aNow - member.mAccusationSent < kChallengePeriod ||
      member.mUpdate.mPeerAddress.empty()) {
    return;
  }
  member.mAccusationSent = aNow;
  Send(
    aIndex, MemberUpdates{ .mUpdates = { ForGossip(member.mUpdate) } }, aOut);
}

void
Membership::Set(TimePoint aNow,
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
  ++mChanges;
  mLastChange = aNow;
}

void
Membership::Gossip(TimePoint aNow, PeerOutput& aOut)
{
  mNextGossip = aNow + mOptions.mGossipPeriod;
  if (!mQueue.IsEmpty() || mSelfSends > 0) {
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
  size_t room = mOptions.mDatagramBytes;
  std::vector<MemberUpdate> updates;
  if (aFirst != nullptr) {
    updates.push_back(*aFirst);
    room -= std::min(room, PackedSize(*aFirst));
  }
  if (mSelfSends > 0) {
    --mSelfSends;
    updates.push_back(mSelf);
    room -= std::min(room, PackedSize(mSelf));
  }
  for (auto& update : mQueue.Take(mTable, room)) {
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
Membership::Repeats() const
{
  // With fan-out 3 and r sends, about e^-r of the members miss an update by
  // gossip; they get it from pings and pages.
  return 4 + 3 * uint32_t(
                   std::ceil(std::log10(2.0 + double(mTable.Live().size()))));
}

} // namespace amaranthgap
