#include "membership/Membership.h"

#include <algorithm>

namespace amaranthgap {

namespace {

/** Members asked to probe a target that did not answer directly. */
constexpr size_t kHelpers = 3;

/** Limits timeouts to nine times their normal value. */
constexpr uint32_t kMaxMissedProbes = 8;

/** Limit of the direct timeout derived from the round trip of a slow member. */
constexpr Duration kMaxDirectTimeout = seconds(4);

/** Number of suspicions within the window from which an outage of the data
 * centre is assumed. Half of the probes then prefer it: with uniformly random
 * targets, detecting the last of 820 failed members takes about 8 s. */
constexpr size_t kOutageSuspicions = 3;
constexpr Duration kOutageWindow = seconds(8);

/** Mean period of probes of dead members, which reconnect regions after a
 * partition. */
constexpr Duration kDeadProbePeriod = seconds(10);

/** Period of probes of dead members that a peer's page shows as live. */
constexpr Duration kRecheckPeriod = milliseconds(250);

constexpr size_t kMaxRelays = 64;
constexpr size_t kMaxPastProbes = 8;

} // namespace

uint32_t
Membership::NextTarget(TimePoint aNow)
{
  const auto canProbe = [&](uint32_t aIndex) {
    const auto state = mTable.At(aIndex).mUpdate.mState;
    return IsLive(state) && state != MemberState::Suspect;
  };
  while (!mPriorityTargets.empty()) {
    const uint32_t index = mPriorityTargets.front();
    mPriorityTargets.pop_front();
    if (canProbe(index)) {
      return index;
    }
  }
  if (mOptions.mFollowOutages && mRng.Below(2) == 0) {
    for (auto& [dataCentre, suspicions] : mRecentSuspicions) {
      while (!suspicions.empty() && aNow - suspicions.front() > kOutageWindow) {
        suspicions.pop_front();
      }
      if (suspicions.size() < kOutageSuspicions) {
        continue;
      }
      for (const uint32_t index : mTable.Pick(20, mRng)) {
        if (mTable.At(index).mUpdate.mDataCentre == dataCentre &&
            canProbe(index)) {
          return index;
        }
      }
    }
  }
  // Each round probes all members once in a new random order, which bounds the
  // time until this node probes a given member.
  for (int round = 0; round < 2; ++round) {
    while (mProbeOrderNext < mProbeOrder.size()) {
      const uint32_t index = mProbeOrder[mProbeOrderNext++];
      if (canProbe(index)) {
        return index;
      }
    }
    mProbeOrder = mTable.Live();
    mProbeOrderNext = 0;
    for (size_t i = mProbeOrder.size(); i > 1; --i) {
      std::swap(mProbeOrder[i - 1], mProbeOrder[mRng.Below(i)]);
    }
  }
  return MemberTable::kNone;
}

void
Membership::StartProbe(TimePoint aNow, PeerOutput& aOut)
{
  const uint32_t factor = TimeoutFactor();
  mNextProbe = aNow + mOptions.mProbePeriod * factor;
  const uint32_t index = NextTarget(aNow);
  if (index == MemberTable::kNone) {
    return;
  }
  const auto& member = mTable.At(index);
  const Duration roundTrip = FromSeconds(member.mRoundTripMs / 1000);
  const Duration direct =
    std::max<Duration>(mOptions.mDirectTimeout * factor,
                       std::min(kMaxDirectTimeout, roundTrip * 2));
  const Duration total = std::max<Duration>(
    mOptions.mProbePeriod * factor, direct + mOptions.mDirectTimeout * 2);
  mProbe = Probe{ .mNumber = ++mLastProbeNumber,
                  .mIndex = index,
                  .mNode = member.mUpdate.mNode,
                  .mSent = aNow,
                  .mDirectDeadline = aNow + direct,
                  .mDeadline = aNow + total };
  SendPing(index, mProbe->mNumber, aOut);
}

void
Membership::SendPing(uint32_t aIndex, uint64_t aNumber, PeerOutput& aOut)
{
  const auto& update = mTable.At(aIndex).mUpdate;
  // Includes an accusation against the target, so that it can refute at once.
  const MemberUpdate accusation = ForGossip(update);
  Send(aIndex,
       Ping{ .mProbe = aNumber,
             .mManifest = mManifestStamp,
             .mMembersDigest = Digest(),
             .mUpdates = TakeUpdates(IsAccusation(update.mState) ? &accusation
                                                                 : nullptr) },
       aOut);
}

void
Membership::CheckProbe(TimePoint aNow, PeerOutput& aOut)
{
  if (!mProbe) {
    return;
  }
  auto& probe = *mProbe;
  const auto& update = mTable.At(probe.mIndex).mUpdate;
  if (update.mNode != probe.mNode || !IsLive(update.mState)) {
    mProbe.reset(); // The target was replaced, is dead or has left.
    return;
  }
  if (!probe.mHelpersAsked && aNow >= probe.mDirectDeadline) {
    probe.mHelpersAsked = true;
    if (mOptions.mIndirectProbes) {
      for (const uint32_t helper : mTable.Pick(kHelpers + 1, mRng)) {
        if (helper != probe.mIndex) {
          Send(helper,
               PingRequest{ .mProbe = probe.mNumber,
                            .mNode = update.mNode,
                            .mPeerAddress = update.mPeerAddress },
               aOut);
        }
      }
    }
  }
  if (aNow < probe.mDeadline) {
    return;
  }
  // If the helpers do not answer either, this node itself may be at fault.
  if (!probe.mNackReceived) {
    mMissedProbes = std::min(mMissedProbes + 1, kMaxMissedProbes);
  }
  mPastProbes.push_back(probe);
  if (mPastProbes.size() > kMaxPastProbes) {
    mPastProbes.pop_front();
  }
  const uint32_t index = probe.mIndex;
  mProbe.reset();
  if (mTable.At(index).mUpdate.mState != MemberState::Suspect) {
    Suspect(aNow, index, mSelf.mNode.mId.mValue, true, aOut);
    SendAccusation(aNow, index, aOut);
  }
}

void
Membership::CheckRelays(TimePoint aNow, PeerOutput& aOut)
{
  for (auto it = mRelays.begin(); it != mRelays.end();) {
    if (aNow < it->second.mDeadline) {
      ++it;
      continue;
    }
    aOut.mSends.push_back(
      { .mTo = it->second.mRequester,
        .mAddress = it->second.mAddress,
        .mDatagram = true,
        .mMessage = Ack{ .mProbe = it->second.mProbe, .mNotReached = true } });
    it = mRelays.erase(it);
  }
}

void
Membership::CheckSuspicions(TimePoint aNow, PeerOutput& aOut)
{
  std::vector<std::pair<uint32_t, std::string>> expired;
  for (const auto& [index, suspicion] : mSuspicions) {
    if (aNow >= suspicion.mDeadline) {
      expired.emplace_back(index, suspicion.mAccuser);
    }
  }
  for (const auto& [index, accuser] : expired) {
    auto update = mTable.At(index).mUpdate;
    update.mState = MemberState::Dead;
    ReplaceMember(
      aNow, index, std::move(update), "did not refute in time", accuser, aOut);
    // Every node that knows the suspicion runs the same timer, so that a few
    // sends suffice for those that missed it.
    Enqueue(index, 3);
  }
}

void
Membership::ProbeDead(TimePoint aNow, PeerOutput& aOut)
{
  if (aNow >= mNextDeadProbe) {
    mNextDeadProbe =
      aNow + FromSeconds(ToSeconds(kDeadProbePeriod) * mRng.Uniform(0.5, 1.5));
    if (const auto dead = mTable.Dead(); !dead.empty()) {
      SendPing(dead[mRng.Below(dead.size())], ++mLastProbeNumber, aOut);
    }
  }
  if (!mRecheckQueue.empty() && aNow >= mNextRecheck) {
    mNextRecheck = aNow + kRecheckPeriod;
    const uint32_t index = mRecheckQueue.front();
    mRecheckQueue.pop_front();
    if (mTable.At(index).mUpdate.mState == MemberState::Dead &&
        !mTable.At(index).mUpdate.mPeerAddress.empty()) {
      SendPing(index, ++mLastProbeNumber, aOut);
    }
  }
}

void
Membership::HandlePing(const Envelope& aFrom,
                       const Ping& aPing,
                       PeerOutput& aOut)
{
  if (!mAnnounced) {
    return;
  }
  const uint32_t index = mTable.Find(aFrom.mFrom.mId);
  MemberUpdate accusation;
  const MemberUpdate* first = nullptr;
  if (index != MemberTable::kNone &&
      mTable.At(index).mUpdate.mNode == aFrom.mFrom &&
      IsAccusation(mTable.At(index).mUpdate.mState)) {
    accusation = ForGossip(mTable.At(index).mUpdate);
    first = &accusation;
  }
  aOut.mSends.push_back({ .mTo = aFrom.mFrom,
                          .mAddress = aFrom.mFromAddress,
                          .mDatagram = true,
                          .mMessage = Ack{ .mProbe = aPing.mProbe,
                                           .mManifest = mManifestStamp,
                                           .mMembersDigest = Digest(),
                                           .mUpdates = TakeUpdates(first) } });
}

void
Membership::HandleAck(TimePoint aNow,
                      const Envelope& aFrom,
                      const Ack& aAck,
                      PeerOutput& aOut)
{
  mStale = false;
  if (const auto relay = mRelays.find(aAck.mProbe); relay != mRelays.end()) {
    if (!aAck.mNotReached) {
      aOut.mSends.push_back({ .mTo = relay->second.mRequester,
                              .mAddress = relay->second.mAddress,
                              .mDatagram = true,
                              .mMessage = Ack{ .mProbe = relay->second.mProbe,
                                               .mManifest = mManifestStamp,
                                               .mMembersDigest = Digest() } });
    }
    mRelays.erase(relay);
    return;
  }
  if (mProbe && mProbe->mNumber == aAck.mProbe) {
    if (aAck.mNotReached) {
      mProbe->mNackReceived = true;
      return;
    }
    if (mMissedProbes > 0) {
      --mMissedProbes;
    }
    auto& member = mTable.At(mProbe->mIndex);
    const auto millis = float(ToSeconds(aNow - mProbe->mSent) * 1000);
    if (aFrom.mFrom == mProbe->mNode) {
      member.mRoundTripMs = std::max(millis, member.mRoundTripMs * 0.75F);
    }
    mProbe.reset();
    return;
  }
  // An ack after the deadline shows that the member is slow, not dead. The
  // recorded round trip lengthens the timeout of its next probe.
  for (const auto& probe : mPastProbes) {
    if (probe.mNumber == aAck.mProbe && probe.mNode == aFrom.mFrom) {
      auto& member = mTable.At(probe.mIndex);
      if (member.mUpdate.mNode == probe.mNode) {
        member.mRoundTripMs = std::max(
          member.mRoundTripMs, float(ToSeconds(aNow - probe.mSent) * 1000));
      }
      return;
    }
  }
}

void
Membership::HandlePingRequest(TimePoint aNow,
                              const Envelope& aFrom,
                              const PingRequest& aRequest,
                              PeerOutput& aOut)
{
  if (!mAnnounced || mRelays.size() >= kMaxRelays) {
    return;
  }
  const uint64_t number = ++mLastProbeNumber;
  mRelays.emplace(number,
                  Relay{ .mRequester = aFrom.mFrom,
                         .mAddress = aFrom.mFromAddress,
                         .mProbe = aRequest.mProbe,
                         .mDeadline = aNow + mOptions.mDirectTimeout });
  aOut.mSends.push_back(
    { .mTo = aRequest.mNode,
      .mAddress = aRequest.mPeerAddress,
      .mDatagram = true,
      .mMessage = Ping{ .mProbe = number,
                        .mManifest = mManifestStamp,
                        .mMembersDigest = Digest(),
                        .mUpdates = TakeUpdates(nullptr) } });
}

} // namespace amaranthgap
