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

/** SWIM-style group membership of all nodes: failure detection by probes,
 * dissemination by gossip, and anti-entropy by push-pull; see section 8.8 of
 * the design page. Performs no I/O and reads no clock: events come in with
 * their time, messages go out through PeerOutput. Not thread-safe. */
class Membership
{
public:
  struct Options
  {
    MemberUpdate mSelf; ///< Identity, region, data centre and address.
    uint64_t mSeed = 1;
    Duration mProbePeriod = seconds(1);
    /** Timeout of a direct probe; a round trip between regions takes 40 ms. */
    Duration mDirectTimeout = milliseconds(300);
    /** Time that a suspect has to refute before it is declared dead. */
    Duration mSuspicionTimeout = seconds(3);
    Duration mGossipPeriod = milliseconds(200);
    /** Time for which members that are dead or have left stay in the table. */
    Duration mRetention = std::chrono::hours(24);
    /** Bytes for updates in a datagram; the envelope takes the rest of the
     * 1,200 bytes. */
    size_t mDatagramBytes = 960;

    // Mechanisms that tests disable to verify that each one is needed.
    bool mIndirectProbes = true;
    bool mRefute = true;        ///< Answers accusations against this node.
    bool mWidenTimeouts = true; ///< Own missed probes lengthen timeouts.
    bool mDetectPause = true;
    bool mSuspectFirst = true; ///< Live members turn Suspect before Dead.
    bool mProbeDead = true;
    bool mPushPull = true;
    bool mFollowOutages = true; ///< Favours data centres with an outage.
  };

  explicit Membership(Options aOptions);

  // -- Events --

  void Tick(TimePoint aNow, PeerOutput& aOut);
  /** Handles membership messages; those of other kinds only have their sender
   * checked.
   * @return false when the caller must ignore the message: this node has left
   *   or is superseded, or the sender is invalid or outdated. */
  bool MessageArrived(TimePoint aNow,
                      const Envelope& aEnvelope,
                      PeerOutput& aOut);
  /** Schedules an early probe of a live member after a stream to it broke. */
  void PeerLost(TimePoint aNow, const NodeRef& aPeer);

  // -- Own entry --

  /** Requests the member list of the node at the address. */
  void JoinVia(TimePoint aNow, const std::string& aAddress, PeerOutput& aOut);
  /** Starts to gossip the own entry and to probe members. */
  void Announce(TimePoint aNow, PeerOutput& aOut);
  /** Makes the own incarnation final: from now on a higher one of the same id
   * supersedes this node. Until then, the node raises its own above it. */
  void FixIncarnation() { mIncarnationFixed = true; }
  /** Updates the upstream in the own entry; an empty service means none. */
  void SetUpstream(TimePoint aNow,
                   const std::string& aService,
                   uint32_t aSlots,
                   uint32_t aWarmUpMs,
                   PeerOutput& aOut);
  /** Announces the state Leaving. */
  void Leave(TimePoint aNow, PeerOutput& aOut);
  /** Announces the state Left; nothing is sent or handled afterwards. */
  void CompleteLeave(TimePoint aNow, PeerOutput& aOut);
  /** Sets the stamp that pings and acks carry. */
  void SetManifestStamp(const ManifestStamp& aStamp)
  {
    mManifestStamp = aStamp;
  }

  // -- State --

  [[nodiscard]] const MemberUpdate& Self() const { return mSelf; }
  [[nodiscard]] bool IsAnnounced() const { return mAnnounced; }
  [[nodiscard]] bool IsSuperseded() const { return mSuperseded; }
  /** @return whether the process resumed from a long pause and no member has
   * answered yet. */
  [[nodiscard]] bool IsStale() const { return mStale; }
  /** @return whether the member list has matched that of a peer, up to a few
   * pages. */
  [[nodiscard]] bool IsSynchronised() const { return mSynchronised; }
  /** @return whether any valid message of a peer has arrived. */
  [[nodiscard]] bool HasHeardFromPeer() const { return mHeardFromPeer; }
  [[nodiscard]] const MemberTable& Table() const { return mTable; }
  /** @return a counter that increases with each change visible to routing. */
  [[nodiscard]] uint64_t ChangeCount() const { return mChangeCount; }
  /** @return the factor of probe periods and timeouts, which grows with missed
   * probes of this node. */
  [[nodiscard]] uint32_t TimeoutFactor() const
  {
    return mOptions.mWidenTimeouts ? 1 + mMissedProbes : 1;
  }
  /** @return table indices of up to aCount random live members, without this
   * node. */
  std::vector<uint32_t> PickLive(size_t aCount)
  {
    return mTable.Pick(aCount, mRng);
  }

private:
  /** Initial and largest page budget: four full lists of 4,100 members, for
   * nodes that join at the same time. */
  static constexpr double kPageBytesBurst = 1'600'000;

  /** A probe of one member: a direct ping, then pings through helpers. */
  struct Probe
  {
    uint64_t mNumber = 0;
    uint32_t mIndex = 0;
    NodeRef mNode;
    TimePoint mSent{};
    TimePoint mDirectDeadline{};
    TimePoint mDeadline{};
    bool mHelpersAsked = false; ///< Ping requests have been sent.
    bool mNackReceived = false; ///< A helper could not reach it.
  };

  /** A ping sent on behalf of another node. */
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
  uint32_t mSelfSendsLeft = 0; ///< Remaining sends of the own entry.
  bool mAnnounced = false;
  bool mIncarnationFixed = false;
  bool mSuperseded = false;
  bool mSynchronised = false;
  bool mHeardFromPeer = false;
  uint64_t mChangeCount = 1;

  std::optional<Probe> mProbe;
  std::deque<Probe> mPastProbes;     ///< Timed out; acks may still arrive.
  std::vector<uint32_t> mProbeOrder; ///< Random order of the current round.
  size_t mProbeOrderNext = 0;
  std::deque<uint32_t> mPriorityTargets; ///< Probed before mProbeOrder.
  uint64_t mLastProbeNumber = 0;
  std::map<uint64_t, Relay> mRelays;
  std::map<uint32_t, Suspicion> mSuspicions;
  std::deque<uint32_t> mRecheckQueue; ///< Dead here, live on a peer's page.
  /** Times of the latest suspicions, by data centre. */
  std::map<std::string, std::deque<TimePoint>> mRecentSuspicions;
  /** Own probes without any answer, less timely acks; at most
   * kMaxMissedProbes. */
  uint32_t mMissedProbes = 0;

  bool mStarted = false; ///< Tick has run.
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
  uint32_t mMismatchScore = 0; ///< Digest mismatches less matches.
  double mPageBudgetBytes = kPageBytesBurst;
  TimePoint mPageBudgetTime{};
};

} // namespace amaranthgap
