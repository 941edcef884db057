#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Rng.h"
#include "membership/MemberTable.h"
#include "membership/UpdateQueue.h"
#include "wire/Outgoing.h"

namespace amaranthgap {

/** Failure detection and dissemination among all nodes; see section 8.8 of the
 * design page. Holds no clock or socket. Not safe for use by several threads.
 */
class Membership
{
public:
  struct Options
  {
    MemberUpdate mSelf; ///< Identity, region, data centre and address.
    uint64_t mSeed = 1;
    Duration mProbePeriod = seconds(1);
    /** Time for a direct answer; a round trip between regions takes 40 ms. */
    Duration mDirectTimeout = milliseconds(300);
    Duration mSuspicionTimeout = seconds(3);
    Duration mGossipPeriod = milliseconds(200);
    Duration mRetention = std::chrono::hours(24);
    /** Body of a datagram; the rest of 1,200 bytes is for the envelope. */
    size_t mDatagramBytes = 960;

    // Mechanisms that tests switch off to show that they are needed.
    bool mIndirectProbes = true;
    bool mRefute = true;
    bool mWidenTimeouts = true;
    bool mDetectPause = true;
    bool mSuspectFirst = true; ///< An accusation never skips the suspicion.
    bool mProbeDead = true;
    bool mPushPull = true;
    bool mFollowOutages = true;
  };

  explicit Membership(Options aOptions);

  // -- Events --

  void Tick(TimePoint aNow, PeerOutput& aOut);
  /** Takes a message of any kind; only those of membership are handled.
   * @return false when the sender is outdated and must be ignored. */
  bool MessageArrived(TimePoint aNow,
                      const Envelope& aEnvelope,
                      PeerOutput& aOut);
  /** A stream to the member broke: it is probed next. */
  void PeerLost(TimePoint aNow, const NodeRef& aPeer);

  // -- Own entry --

  /** Asks the node at the address for its member list. */
  void JoinVia(TimePoint aNow, const std::string& aAddress, PeerOutput& aOut);
  /** Makes the own entry known; probes start. */
  void Announce(TimePoint aNow, PeerOutput& aOut);
  /** Fixes the incarnation; a higher one supersedes it from now on. */
  void FixIncarnation() { mIncarnationFixed = true; }
  void SetUpstream(TimePoint aNow,
                   const std::string& aService,
                   uint32_t aSlots,
                   uint32_t aWarmUpMs,
                   PeerOutput& aOut);
  void Leave(TimePoint aNow, PeerOutput& aOut);
  void CompleteLeave(TimePoint aNow, PeerOutput& aOut);
  /** Stamp carried on pings and answers. */
  void SetManifestStamp(const ManifestStamp& aStamp)
  {
    mManifestStamp = aStamp;
  }

  // -- State --

  [[nodiscard]] const MemberUpdate& Self() const { return mSelf; }
  [[nodiscard]] bool IsAnnounced() const { return mAnnounced; }
  [[nodiscard]] bool IsSuperseded() const { return mSuperseded; }
  /** @return whether no member has answered since this process was paused. */
  [[nodiscard]] bool IsStale() const { return mStale; }
  /** @return whether a peer has sent its member list as far as it differs. */
  [[nodiscard]] bool IsSynchronised() const { return mSynchronised; }
  /** @return whether any peer has answered. */
  [[nodiscard]] bool HasHeardFromPeer() const { return mHeardFromPeer; }
  [[nodiscard]] const MemberTable& Table() const { return mTable; }
  /** @return a number that grows with each change that routing can see. */
  [[nodiscard]] uint64_t ChangeCount() const { return mChangeCount; }
  [[nodiscard]] uint32_t TimeoutFactor() const
  {
    return mOptions.mWidenTimeouts ? 1 + mMissedProbes : 1;
  }
  /** @return up to aCount live members, not this node itself. */
  std::vector<uint32_t> PickLive(size_t aCount)
  {
    return mTable.Pick(aCount, mRng);
  }

private:
  /** Page budget at the start: four whole lists of 4,100 members, for nodes
   * that join together. */
  static constexpr double kPageBytesBurst = 1'600'000;

  struct Probe
  {
    uint64_t mNumber = 0;
    uint32_t mIndex = 0;
    NodeRef mNode;
    TimePoint mSent{};
    TimePoint mDirectDeadline{};
    TimePoint mDeadline{};
    bool mHelpersAsked = false; ///< Helpers have been asked.
    bool mNackReceived = false; ///< A helper could not reach it either.
  };

  struct Relay
  {
    NodeRef mRequester;
    std::string mAddress;
    uint64_t mProbe = 0;
    TimePoint mDeadline{};
  };

  struct Suspicion
  {
    TimePoint mDeadline{};
    std::string mAccuser;
  };

  // -- Probing (MembershipProbe.cpp) --
  void StartProbe(TimePoint aNow, PeerOutput& aOut);
  void CheckProbe(TimePoint aNow, PeerOutput& aOut);
  void CheckRelays(TimePoint aNow, PeerOutput& aOut);
  void CheckSuspicions(TimePoint aNow, PeerOutput& aOut);
  void ProbeDead(TimePoint aNow, PeerOutput& aOut);
  uint32_t NextTarget(TimePoint aNow);
  void SendPing(uint32_t aIndex, uint64_t aNumber, PeerOutput& aOut);
  void HandlePing(const Envelope& aFrom, const Ping& aPing, PeerOutput& aOut);
  void HandleAck(TimePoint aNow,
                 const Envelope& aFrom,
                 const Ack& aAck,
                 PeerOutput& aOut);
  void HandlePingRequest(TimePoint aNow,
                         const Envelope& aFrom,
                         const PingRequest& aRequest,
                         PeerOutput& aOut);
  void CheckForPause(TimePoint aNow, PeerOutput& aOut);
  void ResumeAfterPause(TimePoint aNow, Duration aPause, PeerOutput& aOut);

  // -- Updates (MembershipUpdate.cpp) --
  bool CheckSender(TimePoint aNow, const Envelope& aFrom, PeerOutput& aOut);
  void ApplyUpdate(TimePoint aNow,
                   const MemberUpdate& aUpdate,
                   const Envelope& aFrom,
                   bool aGossip,
                   PeerOutput& aOut);
  void ApplyToSelf(TimePoint aNow,
                   const MemberUpdate& aUpdate,
                   const Envelope& aFrom,
                   PeerOutput& aOut);
  void ApplyAccusation(TimePoint aNow,
                       uint32_t aIndex,
                       const MemberUpdate& aUpdate,
                       const Envelope& aFrom,
                       bool aGossip,
                       PeerOutput& aOut);
  void Suspect(TimePoint aNow,
               uint32_t aIndex,
               const std::string& aAccuser,
               bool aGossip,
               PeerOutput& aOut);
  void SendAccusation(TimePoint aNow, uint32_t aIndex, PeerOutput& aOut);
  void ReplaceMember(TimePoint aNow,
                     uint32_t aIndex,
                     MemberUpdate aUpdate,
                     const std::string& aCause,
                     const std::string& aPeer,
                     PeerOutput& aOut);
  void ReannounceSelf(PeerOutput& aOut, const std::string& aCause);
  void Gossip(TimePoint aNow, PeerOutput& aOut);
  void SendUpdates(uint32_t aCount, PeerOutput& aOut);
  void Enqueue(uint32_t aIndex, uint32_t aSends);
  [[nodiscard]] uint32_t RetransmitCount() const;
  [[nodiscard]] std::vector<MemberUpdate> TakeUpdates(
    const MemberUpdate* aFirst);

  // -- Push-pull (MembershipSync.cpp) --
  void CompareDigest(TimePoint aNow,
                     const Envelope& aFrom,
                     uint64_t aDigest,
                     PeerOutput& aOut);
  void HandleDigest(TimePoint aNow,
                    const Envelope& aFrom,
                    const MemberDigest& aDigest,
                    PeerOutput& aOut);
  void HandlePage(TimePoint aNow,
                  const Envelope& aFrom,
                  const MemberPage& aPage,
                  PeerOutput& aOut);
  void SendDigest(const NodeRef& aTo,
                  const std::string& aAddress,
                  bool aReply,
                  PeerOutput& aOut) const;
  [[nodiscard]] std::vector<uint64_t> PageDigests() const;
  [[nodiscard]] uint64_t Digest() const;
  bool SpendPageBytes(TimePoint aNow, size_t aBytes);

  void Send(uint32_t aIndex, Message aMessage, PeerOutput& aOut) const;
  [[nodiscard]] std::string NameOf(uint32_t aIndex) const;

  Options mOptions;
  Rng mRng;
  MemberUpdate mSelf;
  MemberTable mTable;
  UpdateQueue mQueue;
  ManifestStamp mManifestStamp;
  uint32_t mSelfSendsLeft = 0; ///< How often the own entry is still to be sent.
  bool mAnnounced = false;
  bool mIncarnationFixed = false;
  bool mSuperseded = false;
  bool mSynchronised = false;
  bool mHeardFromPeer = false;
  uint64_t mChangeCount = 1;

  std::optional<Probe> mProbe;
  std::deque<Probe> mPastProbes; ///< For answers that arrive late.
  std::vector<uint32_t> mProbeOrder;
  size_t mProbeOrderNext = 0;
  std::deque<uint32_t> mPriorityTargets;
  uint64_t mLastProbeNumber = 0;
  std::map<uint64_t, Relay> mRelays;
  std::map<uint32_t, Suspicion> mSuspicions;
  std::deque<uint32_t> mRecheckQueue; ///< Dead here, but live on a peer's page.
  std::map<std::string, std::deque<TimePoint>>
    mRecentSuspicions; ///< By data centre.
  uint32_t mMissedProbes =
    0; ///< Own unanswered probes, up to kMaxMissedProbes.

  bool mStarted = false;
  bool mStale = false;
  TimePoint mStaleUntil{};
  TimePoint mLastEvent{};
  TimePoint mNextProbe{};
  TimePoint mNextGossip{};
  TimePoint mNextDeadProbe{};
  TimePoint mNextRecheck{};
  TimePoint mNextForget{};
  TimePoint mNextSync{};
  TimePoint mLastChange{};
  uint32_t mMismatchScore = 0;
  double mPageBudgetBytes = kPageBytesBurst;
  TimePoint mPageBudgetTime{};
};

} // namespace amaranthgap
