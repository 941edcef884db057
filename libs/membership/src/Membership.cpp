#include "membership/Membership.h"

#include <algorithm>

namespace amaranthgap {

namespace {

/** A longer gap between events counts as a pause of the process. Ticks come
 * every 10 to 20 ms; shorter gaps are normal scheduling delays. */
constexpr Duration kPauseThreshold = milliseconds(700);

/** Without an ack for this long, a resumed node stops being stale: its peers
 * are assumed to be unreachable. */
constexpr Duration kMaxStaleTime = seconds(3);

/** Number of members to which a leaving node sends its state directly. This
 * saves two gossip rounds compared with a single sender; gossip then reaches
 * the other members in a few rounds. */
constexpr size_t kLeaveRecipients = 24;

} // namespace

Membership::Membership(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRng(mOptions.mSeed)
  , mSelf(mOptions.mSelf)
{
}

void
Membership::Tick(TimePoint aNow, PeerOutput& aOut)
{
  if (!mStarted) {
    mStarted = true;
    mLastEvent = aNow;
    mPageBudgetTime = aNow;
    mNextProbe =
      aNow + FromSeconds(mRng.Uniform() * ToSeconds(mOptions.mProbePeriod));
    mNextGossip = aNow;
    mNextDeadProbe = aNow + seconds(5);
    mNextForget = aNow + minutes(1);
  }
  CheckForPause(aNow, aOut);
  if (mStale && (aNow >= mStaleUntil || mTable.Live().empty())) {
    mStale = false;
  }
  if (!mAnnounced || mSuperseded || mSelf.mState == MemberState::Left) {
    return;
  }
  CheckRelays(aNow, aOut);
  CheckProbe(aNow, aOut);
  CheckSuspicions(aNow, aOut);
  if (!mProbe && aNow >= mNextProbe) {
    StartProbe(aNow, aOut);
  }
  if (mOptions.mProbeDead) {
    ProbeDead(aNow, aOut);
  }
  if (aNow >= mNextGossip) {
    Gossip(aNow, aOut);
  }
  if (aNow >= mNextForget) {
    mNextForget = aNow + minutes(1);
    mTable.Forget(aNow - mOptions.mRetention);
  }
}

void
Membership::CheckForPause(TimePoint aNow, PeerOutput& aOut)
{
  const Duration gap = aNow - mLastEvent;
  mLastEvent = aNow;
  if (mStarted && gap > kPauseThreshold && mOptions.mDetectPause) {
    ResumeAfterPause(aNow, gap, aOut);
  }
}

void
Membership::ResumeAfterPause(TimePoint aNow, Duration aPause, PeerOutput& aOut)
{
  // Deadlines that expired during the pause are no evidence against the peers.
  mProbe.reset();
  mPastProbes.clear();
  mRelays.clear();
  for (auto& [index, suspicion] : mSuspicions) {
    suspicion.mDeadline += aPause;
  }
  mNextProbe = aNow;
  mMismatchScore = 0;
  if (mAnnounced && aPause > mOptions.mSuspicionTimeout &&
      !mTable.Live().empty()) {
    mStale = true;
    mStaleUntil = aNow + kMaxStaleTime;
    aOut.mAudit.push_back({ .mKind = AuditKind::MemberState,
                            .mSubject = mSelf.mNode.mId.mValue,
                            .mCause = "resumed after a pause of " +
                                      std::to_string(ToMillis(aPause)) +
                                      " ms; asking peers",
                            .mPeer = {} });
    for (const uint32_t index : mTable.Pick(3, mRng)) {
      SendPing(index, ++mLastProbeNumber, aOut);
    }
  }
}

bool
Membership::MessageArrived(TimePoint aNow,
                           const Envelope& aEnvelope,
                           PeerOutput& aOut)
{
  // A message may be the first event after a pause.
  CheckForPause(aNow, aOut);
  if (mSuperseded || mSelf.mState == MemberState::Left ||
      !CheckSender(aNow, aEnvelope, aOut)) {
    return false;
  }
  const auto applyAll = [&](const std::vector<MemberUpdate>& aUpdates) {
    for (const auto& update : aUpdates) {
      ApplyUpdate(aNow, update, aEnvelope, true, aOut);
    }
  };
  const auto& message = aEnvelope.mMessage;
  if (const auto* ping = std::get_if<Ping>(&message)) {
    applyAll(ping->mUpdates);
    HandlePing(aEnvelope, *ping, aOut);
    CompareDigest(aNow, aEnvelope, ping->mMembersDigest, aOut);
  } else if (const auto* ack = std::get_if<Ack>(&message)) {
    applyAll(ack->mUpdates);
    HandleAck(aNow, aEnvelope, *ack, aOut);
    if (!ack->mNotReached) {
      CompareDigest(aNow, aEnvelope, ack->mMembersDigest, aOut);
    }
  } else if (const auto* request = std::get_if<PingRequest>(&message)) {
    HandlePingRequest(aNow, aEnvelope, *request, aOut);
  } else if (const auto* updates = std::get_if<MemberUpdates>(&message)) {
    applyAll(updates->mUpdates);
  } else if (const auto* digest = std::get_if<MemberDigest>(&message)) {
    HandleDigest(aNow, aEnvelope, *digest, aOut);
  } else if (const auto* page = std::get_if<MemberPage>(&message)) {
    HandlePage(aNow, aEnvelope, *page, aOut);
  }
  return true;
}

void
Membership::PeerLost(TimePoint aNow, const NodeRef& aPeer)
{
  const uint32_t index = mTable.Find(aPeer.mId);
  if (index == MemberTable::kNone || mTable.At(index).mUpdate.mNode != aPeer ||
      mTable.At(index).mUpdate.mState == MemberState::Suspect ||
      !IsLive(mTable.At(index).mUpdate.mState) ||
      std::find(mPriorityTargets.begin(), mPriorityTargets.end(), index) !=
        mPriorityTargets.end()) {
    return;
  }
  // Only the first probe comes earlier; further targets follow one period
  // apart, which keeps the probe load constant.
  if (mPriorityTargets.size() < 16) {
    mPriorityTargets.push_back(index);
    mNextProbe = std::min(mNextProbe, aNow + mOptions.mProbePeriod / 4);
  }
}

void
Membership::Announce(TimePoint aNow, PeerOutput& aOut)
{
  mAnnounced = true;
  mNextProbe =
    aNow + FromSeconds(mRng.Uniform() * ToSeconds(mOptions.mProbePeriod));
  ReannounceSelf(aOut, "announced");
  SendUpdates(3, aOut);
}

void
Membership::SetUpstream(TimePoint /*aNow*/,
                        const std::string& aService,
                        uint32_t aSlots,
                        uint32_t aWarmUpMs,
                        PeerOutput& aOut)
{
  const auto state = aService.empty() ? MemberState::Joined : MemberState::Warm;
  const bool sameState =
    mSelf.mState == state || mSelf.mState == MemberState::Leaving;
  if (mSelf.mState == MemberState::Left ||
      (sameState && mSelf.mService == aService && mSelf.mSlots == aSlots &&
       mSelf.mWarmUpMs == aWarmUpMs)) {
    return;
  }
  mSelf.mService = aService;
  mSelf.mSlots = aSlots;
  mSelf.mWarmUpMs = aWarmUpMs;
  if (mSelf.mState != MemberState::Leaving) {
    mSelf.mState = state;
  }
  ReannounceSelf(
    aOut, aService.empty() ? "upstream gone" : "upstream of " + aService);
  if (mAnnounced) {
    SendUpdates(3, aOut);
  }
}

void
Membership::Leave(TimePoint /*aNow*/, PeerOutput& aOut)
{
  if (mSelf.mState == MemberState::Leaving ||
      mSelf.mState == MemberState::Left) {
    return;
  }
  mSelf.mState = MemberState::Leaving;
  ReannounceSelf(aOut, "leaving");
  if (mAnnounced) {
    SendUpdates(kLeaveRecipients, aOut);
  }
}

void
Membership::CompleteLeave(TimePoint /*aNow*/, PeerOutput& aOut)
{
  if (mSelf.mState == MemberState::Left) {
    return;
  }
  mSelf.mState = MemberState::Left;
  ReannounceSelf(aOut, "left");
  if (mAnnounced) {
    SendUpdates(kLeaveRecipients, aOut);
  }
}

void
Membership::ReannounceSelf(PeerOutput& aOut, const std::string& aCause)
{
  ++mSelf.mRefutation;
  ++mChangeCount;
  mSelfSendsLeft = RetransmitCount();
  aOut.mAudit.push_back(
    { .mKind = AuditKind::MemberState,
      .mSubject = mSelf.mNode.mId.mValue,
      .mCause =
        "this node is " + std::string(ToName(mSelf.mState)) + ": " + aCause,
      .mPeer = {} });
}

void
Membership::Send(uint32_t aIndex, Message aMessage, PeerOutput& aOut) const
{
  const auto& update = mTable.At(aIndex).mUpdate;
  aOut.mSends.push_back({ .mTo = update.mNode,
                          .mAddress = update.mPeerAddress,
                          .mDatagram = true,
                          .mMessage = std::move(aMessage) });
}

std::string
Membership::NameOf(uint32_t aIndex) const
{
  return mTable.At(aIndex).mUpdate.mNode.mId.mValue;
}

} // namespace amaranthgap
