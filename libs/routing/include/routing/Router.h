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

/** Chooses targets of one service for calls of one entry node; see section
 * 8.6 of the design page. Not safe for use by several threads. */
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
    double mExpectedBytes = 0; ///< Constraints and expected answer.
    std::set<NodeId> mExclude; ///< Targets that were tried already.
  };

  struct Choice
  {
    NodeRef mNode;
    std::string mPeerAddress;
    bool mCrossRegion = false;
  };

  explicit Router(const Options& aOptions);

  /** Replaces the known targets; load of those that stay is kept. */
  void SetTargets(TimePoint aNow, const std::vector<MemberUpdate>& aTargets);

  /** @return a target that accepts work, or nothing. */
  std::optional<Choice> Choose(TimePoint aNow,
                               const Constraints& aConstraints,
                               LinkBudget& aLink);

  /** @return a named target, whatever its load, or nothing when it is not
   * known in that incarnation or does not accept work. */
  [[nodiscard]] std::optional<Choice> Find(const NodeId& aNode) const;

  [[nodiscard]] std::vector<NodeId> AcceptingNodes() const;

  void RecordStart(TimePoint aNow, const NodeRef& aNode);
  void RecordReply(TimePoint aNow,
                   const NodeRef& aNode,
                   const TargetLoad& aLoad,
                   bool aRefused);
  /** A connection was refused or lost: no calls for a growing backoff. */
  void RecordFailure(TimePoint aNow, const NodeRef& aNode);
  /** A call ended without a reply, for instance cancelled. */
  void RecordCancellation(TimePoint aNow, const NodeRef& aNode);

  /** @return whether half of the targets or more have refused lately. */
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
    uint32_t mInFlight = 0; ///< From this node.
    TargetLoad mLoad;
    uint32_t mOthers = 0; ///< Calls of other nodes as of the last reply.
    TimePoint mLoadTime;
    bool mHasLoad = false;
    bool mLeaving = false;
    TimePoint mAdded;
    bool mWarm = true; ///< Known when this node started; no warm-up.
    Duration mBackoff{};
    TimePoint mBackoffUntil;
    TimePoint mLastTrial;
    bool mOnTrial = false; ///< Called once although in backoff.
    double mReplies = 0;   ///< Decayed count as of mRepliesTime.
    double mRefusals = 0;
    TimePoint mRepliesTime;
  };

  Target* FindTarget(const NodeRef& aNode);
  [[nodiscard]] static bool Accepts(const Target& aTarget);
  [[nodiscard]] static double Weight(TimePoint aNow, const Target& aTarget);
  [[nodiscard]] static double Score(TimePoint aNow, const Target& aTarget);
  [[nodiscard]] static bool IsPressed(TimePoint aNow, const Target& aTarget);
  [[nodiscard]] static bool HasRefusedLately(TimePoint aNow,
                                             const Target& aTarget);
  static void CountReply(TimePoint aNow, Target& aTarget, bool aRefused);
  static Choice MakeChoice(const Target& aTarget);
  Target* PickOfTwo(TimePoint aNow, const std::vector<Target*>& aTargets);

  Options mOptions;
  Rng mRng;
  std::vector<Target> mTargets;
  bool mHadTargets = false;
};

} // namespace amaranthgap
