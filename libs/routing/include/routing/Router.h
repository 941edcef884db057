#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Ids.h"
#include "base/Rng.h"
#include "base/Time.h"
#include "routing/LinkBudget.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** Chooses targets of one service for the calls of one entry node, by locality
 * and load; see section 8.6 of the design page. Not thread-safe. */
class Router
{
public:
  struct Options
  {
    std::string mRegion;
    std::string mDataCentre;
    uint64_t mSeed = 1;
  };

  /** Constraints of one choice. */
  struct Constraints
  {
    double mExpectedBytes = 0; ///< Of the request and its answer.
    std::set<NodeId> mExclude; ///< Targets that were already tried.
  };

  struct Choice
  {
    NodeRef mNode;
    std::string mPeerAddress;
    bool mCrossRegion = false;
  };

  explicit Router(const Options& aOptions);

  /** Replaces the known targets. A target that stays in the same incarnation
   * keeps its load and backoff. */
  void SetTargets(TimePoint aNow, const std::vector<MemberUpdate>& aTargets);

  /** Prefers the data centre, then the region, then other regions as far as
   * aLinkBudget allows, and skips saturated targets while there are others.
   * @return a target that accepts work, or nothing. */
  std::optional<Choice> Choose(TimePoint aNow,
                               const Constraints& aConstraints,
                               LinkBudget& aLinkBudget);

  /** @return the target aNode, regardless of load and backoff, or nothing if it
   * is unknown or does not accept work. */
  [[nodiscard]] std::optional<Choice> Find(const NodeId& aNode) const;

  /** @return the targets that accept work. */
  [[nodiscard]] std::vector<NodeId> AcceptingNodes() const;

  void RecordStart(TimePoint aNow, const NodeRef& aNode);
  void RecordReply(TimePoint aNow,
                   const NodeRef& aNode,
                   const TargetLoad& aLoad,
                   bool aRefused);
  /** Records a refused or lost connection; starts an exponential backoff. */
  void RecordFailure(TimePoint aNow, const NodeRef& aNode);
  /** Records that a call ended without a reply, for instance cancelled. */
  void RecordCancellation(TimePoint aNow, const NodeRef& aNode);

  /** @return whether at least half of the targets that accept work have
   * recently refused calls. */
  [[nodiscard]] bool IsShedding(TimePoint aNow) const;

private:
  enum class Tier : uint8_t
  {
    DataCentre,
    Region,
    OtherRegion,
  };

  struct Target
  {
    MemberUpdate mMember;
    Tier mTier = Tier::DataCentre;
    uint32_t mInFlight = 0; ///< Calls from this node.
    TargetLoad mLoad;
    uint32_t mOtherCalls = 0; ///< Calls of other nodes as of the last reply.
    TimePoint mLoadTime;
    bool mHasLoad = false;
    bool mLeaving = false;
    TimePoint mAddedTime;
    bool mSkipsWarmUp = true; ///< Was in the first list of targets.
    Duration mBackoff{};
    TimePoint mBackoffUntil;
    TimePoint mLastProbe;
    bool mIsProbed = false; ///< Was probed in the current backoff.
    double mReplies = 0;    ///< Decayed count as of mRepliesTime.
    double mRefusals = 0;   ///< Decayed count as of mRepliesTime.
    TimePoint mRepliesTime;
  };

  Target* FindTarget(const NodeRef& aNode);
  [[nodiscard]] static bool Accepts(const Target& aTarget);
  /** @return the slots, reduced during warm-up. */
  [[nodiscard]] static double TargetWeight(TimePoint aNow,
                                           const Target& aTarget);
  /** @return the estimated load relative to the limit, plus penalties for
   * refusals and a suspect member; lower is better. */
  [[nodiscard]] static double LoadScore(TimePoint aNow, const Target& aTarget);
  /** @return whether the target is refusing or recently reported a queue. */
  [[nodiscard]] static bool IsSaturated(TimePoint aNow, const Target& aTarget);
  /** @return whether the target has recently refused calls. */
  [[nodiscard]] static bool IsRefusing(TimePoint aNow, const Target& aTarget);
  static void CountReply(TimePoint aNow, Target& aTarget, bool aRefused);
  static Choice MakeChoice(const Target& aTarget);
  /** Draws two targets by weight.
   * @return the one with the lower load score, or nullptr without targets. */
  Target* PickBetterOfTwo(TimePoint aNow, const std::vector<Target*>& aTargets);

  Options mOptions;
  Rng mRng;
  std::vector<Target> mTargets;
  bool mHadTargets = false;
};

} // namespace amaranthgap
