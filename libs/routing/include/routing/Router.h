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
  struct Request
  {
    double mExpectedBytes = 0; ///< Request and expected answer.
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
                               const Request& aRequest,
                               LinkBudget& aLink);

  /** @return a named target, whatever its load, or nothing when it is not
   * known in that incarnation or does not accept work. */
  [[nodiscard]] std::optional<Choice> Find(const NodeId& aNode) const;

  [[nodiscard]] std::vector<NodeId> Nodes() const;

  void Started(TimePoint aNow, const NodeRef& aNode);
  void Replied(TimePoint aNow,
               const NodeRef& aNode,
               const TargetLoad& aLoad,
               bool aRefused);
  /** A connection was refused or lost: no calls for a growing backoff. */
  void Failed(TimePoint aNow, const NodeRef& aNode);
  /** A call ended without a reply, for instance cancelled. */
  void Abandoned(TimePoint aNow, const NodeRef& aNode);

  /** @return whether half of the targets or more have refused lately. */
  [[nodiscard]] bool IsShedding(TimePoint aNow) const;
};

} // namespace amaranthgap
