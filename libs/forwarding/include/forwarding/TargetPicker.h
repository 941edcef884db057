#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "forwarding/EntryAdmission.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Attempt that needs a target. */
struct PickRequest
{
  std::string_view mService;
  CallKind mKind;
  Duration mLatencyTarget = seconds(1); ///< In which an answer is wanted.
  double mKilobytes = 1; ///< Expected size of request and answer.
  /** Where it is to run if possible; empty for any place. */
  std::string_view mDataCentre;
};

/** Chooses the target of each attempt at one entry node, by the time until its
 * answer and by what its bytes cost: the own data centre first, then the own
 * region, then any other. Answers targets that are busy, slow or failing, as
 * their replies tell it, and requests that this node has sent since. Not safe
 * for use by several threads.
 */
class TargetPicker
{
public:
  struct Options
  {
    std::string mDataCentre;
    std::string mRegion;
    uint64_t mSeed = 1;
  };

  struct Choice
  {
    std::string mNode;
    std::string mInstance;
  };

  /** How an attempt at a target ended. */
  struct Result
  {
    CallKind mKind;
    bool mIsRefused = false; ///< For lack of a slot.
    bool mIsFailed = false;  ///< The upstream gave no usable answer.
  };

  explicit TargetPicker(const Options& aOptions);

  /** Takes over what a node says of its upstream; load that is known of the
   * same instance is kept. */
  void SetTarget(TimePoint aNow, const NodeState& aState);
  void RemoveNode(const std::string& aNode);

  /** @return the best target, or nothing when none takes work. */
  std::optional<Choice> Choose(TimePoint aNow,
                               const PickRequest& aRequest,
                               const std::set<std::string>& aExclude);
  /** @return the data centres with targets of the service that take work. */
  [[nodiscard]] std::vector<CandidateDataCentre> DataCentresOf(
    TimePoint aNow,
    std::string_view aService) const;
  /** @return the data centre of a node, or an empty string. */
  [[nodiscard]] const std::string& DataCentreOf(const std::string& aNode) const;

  void Sent(const std::string& aNode);
  /** Notes how an attempt ended. */
  void Replied(TimePoint aNow,
               const std::string& aNode,
               const Result& aResult,
               const GateLoad& aLoad);
  /** Notes that a target or the way to it failed: no requests for a backoff
   * that doubles with each failure in a row. */
  void Failed(TimePoint aNow, const std::string& aNode);
  /** Notes the end of an attempt that tells nothing of the target. */
  void Abandoned(const std::string& aNode);

private:
  /** Priorities whose waits are told apart; less important ones share the
   * last. */
  static constexpr size_t kRanks = 4;

  /** What is known of one kind of requests at a target. */
  struct KindState
  {
    double mRunMillis = 0;   ///< Mean time at the upstream.
    double mFailedShare = 0; ///< Smoothed.
    double mDemand = 0;      ///< Of the tree below it, smoothed.
    TimePoint mTime{};
    TimePoint mNextProbe{}; ///< While it is avoided.
  };

  /** Wait for a slot, as of a reply. */
  struct Wait
  {
    double mMillis = 0;
    TimePoint mTime{};
  };

  struct Target
  {
    NodeState mState;
    Distance mDistance = Distance::SameDataCentre;
    uint32_t mOutstanding = 0;
    double mOthers = 0; ///< Requests of other nodes as of the last reply.
    TimePoint mLoadTime{};
    std::array<Wait, kRanks> mWaits;
    std::map<CallKind, KindState> mKinds;
    Duration mBackoff{};
    TimePoint mBackoffUntil{};
  };

  [[nodiscard]] static double Load(TimePoint aNow, const Target& aTarget);
  [[nodiscard]] static bool Accepts(TimePoint aNow, const Target& aTarget);
  /** What a request costs at a target, in milliseconds of waiting. */
  struct Costs
  {
    double mUsual = 0;
    double mFault = 0; ///< Because the target is slow or fails.
  };

  /** @return what is known of such requests there, or null. */
  [[nodiscard]] static const KindState* Known(TimePoint aNow,
                                              const Target& aTarget,
                                              const PickRequest& aRequest);
  /** @param aUsualRun milliseconds that the request takes at a sound target. */
  [[nodiscard]] static Costs CostsOf(TimePoint aNow,
                                     const Target& aTarget,
                                     const PickRequest& aRequest,
                                     double aUsualRun);
  void Ended(const std::string& aNode);

  Options mOptions;
  Rng mRng;
  std::map<std::string, Target> mTargets; ///< By node.
  std::map<std::string, std::set<std::string>, std::less<>> mByService;
};

} // namespace amaranthgap
