#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/Rng.h"
#include "node/Actions.h"
#include "node/Snapshots.h"

namespace amaranthgap {

/** Membership and manifest of one node: joining, failure detection,
 * propagation, and the watch on the store when this node is elected for it.
 * Not safe for use by several threads. */
class ControlLogic
{
public:
  /** Mechanisms that tests switch off to show that they are needed. */
  struct Switches
  {
    bool mIndirectProbes = true;
    bool mRefute = true;
    bool mWidenTimeouts = true;
    bool mDetectPause = true;
    bool mSuspectFirst = true;
    bool mProbeDead = true;
    bool mPushPull = true;
    bool mFollowOutages = true;
    bool mRumors = true;
    bool mPulls = true;
    bool mCheckVersion = true;
    bool mCheckDigest = true;
    bool mElectWatchers = true; ///< Off: every node watches the store.
    bool mAskPeers = true;      ///< Off: a new node asks only the store.
  };

  struct Options
  {
    NodeRef mSelf;
    std::string mRegion;
    std::string mDataCentre;
    std::string mPeerAddress;
    std::vector<std::string> mStaticPeers;
    bool mHasStore = true;
    uint64_t mSeed = 1;
    Switches mSwitches{};
  };

  explicit ControlLogic(Options aOptions);
  ~ControlLogic();
  ControlLogic(ControlLogic&& aOther) noexcept;
  ControlLogic& operator=(ControlLogic&& aOther) noexcept;

  /** Takes a message of membership or manifest. */
  void MessageArrived(TimePoint aNow,
                      const Envelope& aEnvelope,
                      Actions& aActions);
  void StoreAnswered(TimePoint aNow,
                     StoreCallId aCall,
                     const StoreAnswer& aAnswer,
                     Actions& aActions);
  void PeerLost(TimePoint aNow, const NodeRef& aPeer, Actions& aActions);
  void Tick(TimePoint aNow, Actions& aActions);

  /** Publishes a change of this node's own entry. An empty service means that
   * no upstream accepts work here. */
  void SetUpstream(TimePoint aNow,
                   const std::string& aService,
                   uint32_t aSlots,
                   Duration aWarmUp,
                   Actions& aActions);
  /** Announces that this node leaves; tells members directly. */
  void Leave(TimePoint aNow, Actions& aActions);
  /** Announces the end, as the last message of a drained node. */
  void Left(TimePoint aNow, Actions& aActions);

  /** @return own identity; the incarnation is final once IsReady. */
  [[nodiscard]] const NodeRef& Self() const;
  /** @return whether a manifest is in force and joining is over. */
  [[nodiscard]] bool IsReady() const;
  /** @return whether a newer incarnation of this node exists. */
  [[nodiscard]] bool IsSuperseded() const;
  /** @return a new snapshot when it changed since the last call, else null. */
  [[nodiscard]] ManifestPtr TakeManifest();
  [[nodiscard]] MemberListPtr TakeMembers();
  [[nodiscard]] ManifestStamp Stamp() const;
  [[nodiscard]] std::vector<MemberUpdate> Members() const;
  /** @return the entry of another node, or null when it is not known. Valid
   * until the next event. */
  [[nodiscard]] const MemberUpdate* FindMember(const NodeId& aNode) const;
  /** @return the number of other nodes that are live. */
  [[nodiscard]] size_t LiveMembers() const;
  /** @return whether this node watches the store for its data centre. */
  [[nodiscard]] bool IsWatcher() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace amaranthgap
