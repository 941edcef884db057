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

/** Requirements of an attempt that needs a target. */
struct PickRequest
{
  std::string_view mService;
  CallKind mKind;
  Duration mLatencyTarget = seconds(1); ///< Desired response time.
  double mKilobytes = 1; ///< Expected total size of request and answer.
  /** Preferred data centre; empty for any. */
  std::string_view mDataCentre;
};

/** Chooses the target of each attempt at one entry node by expected cost:
 * queueing time, distance and traffic, with penalties for slow or failing
 * targets. Of targets with about the same cost, fast ones get most requests
 * until they are nearly full. Without load, this prefers the own data centre,
 * then the own region, then any other. The state comes from replies and from
 * the requests that this node has sent since. Not thread-safe. */
class TargetPicker
{
public:
  struct Options
  {
    std::string mDataCentre;
    std::string mRegion;
    uint64_t mSeed = 1;
    /** Targets of a service that a node connects to in each other region. */
    size_t mMostInOtherRegion = 2;
  };

  struct Choice
  {
    std::string mNode;
    std::string mInstance;
  };

  /** Outcome of an attempt that a target replied to. */
  struct Result
  {
    CallKind mKind;
    bool mIsRefused = false; ///< No slot was free in time.
    bool mIsFailed = false;  ///< The upstream gave no usable answer.
  };

  explicit TargetPicker(const Options& aOptions);

  /** Adds or updates the target of a node, and ignores outdated states. Load
   * data of an unchanged instance is kept. */
  void SetTarget(TimePoint aNow, const NodeState& aState);
  void RemoveNode(const std::string& aNode);

  /** @return the target with the lowest cost, or nothing if none takes work. */
  std::optional<Choice> Choose(TimePoint aNow,
                               const PickRequest& aRequest,
                               const std::set<std::string>& aExclude);
  /** Chooses the target that tries requests under suspicion of crashing
   * upstreams. Entry nodes of one region choose the same one, and all entry
   * nodes do where they are connected to all targets of the service.
   * @param aKey the same for requests that must not run at two targets. */
  [[nodiscard]] std::optional<Choice> ChooseForTrial(
    TimePoint aNow,
    std::string_view aService,
    uint64_t aKey,
    const std::set<std::string>& aExclude) const;
  /** @return the data centres with available targets of the service. */
  [[nodiscard]] std::vector<CandidateDataCentre> DataCentresOf(
    TimePoint aNow,
    std::string_view aService) const;
  /** @return the data centre of a node, or an empty string if unknown. */
  [[nodiscard]] const std::string& DataCentreOf(const std::string& aNode) const;

  void Sent(const std::string& aNode);
  /** Records the reply of a target. */
  void Replied(TimePoint aNow,
               const std::string& aNode,
               const Result& aResult,
               const GateLoad& aLoad);
  /** Records that a target or the connection to it failed. The target gets no
   * requests for a backoff that doubles with each consecutive failure. */
  void Failed(TimePoint aNow, const std::string& aNode);
  /** Records the end of an attempt that says nothing about the target. */
  void Abandoned(const std::string& aNode);

private:
  /** Priorities with separate wait times; lower ones share the last class. */
  static constexpr size_t kPriorityClasses = 4;

  /** Observed behaviour of one kind of request at a target. */
  struct KindState
  {
    double mRunMillis = 0;   ///< Mean run time at the upstream.
    double mFailedShare = 0; ///< Smoothed.
    double mDemand = 0; ///< Demand of the call tree below the target, smoothed.
    TimePoint mTime{};
    TimePoint mNextProbe{}; ///< Next request to the target while it is avoided.
  };

  /** Time to wait for a slot, from a reply. */
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
    double mOtherRequests = 0; ///< Requests of other nodes, at the last reply.
    TimePoint mLoadTime{};
    std::array<Wait, kPriorityClasses> mWaits;
    std::map<CallKind, KindState> mKinds;
    Duration mBackoff{};
    TimePoint mBackoffUntil{};
  };

  /** Target that a request may be sent to. */
  struct Candidate
  {
    Target* mTarget = nullptr;
    double mRunMillis = 0; ///< Expected, without waiting.
    double mCost = 0;
  };

  /** @param aRunMillis run time of a request there.
   * @return the part of the slots in use, as far as this node knows. */
  [[nodiscard]] static double Load(TimePoint aNow,
                                   const Target& aTarget,
                                   double aRunMillis);
  /** Chooses one of several targets of about the same cost. */
  const Target& ChooseBySpeed(TimePoint aNow,
                              const std::vector<Candidate>& aCandidates);
  [[nodiscard]] static bool IsAvailable(TimePoint aNow, const Target& aTarget);
  /** Cost of a request at a target, in milliseconds of waiting time. */
  struct Costs
  {
    double mBase = 0;
    double mPenalty = 0; ///< Added if the target is slow or failing.
  };

  /** @return the behaviour of this kind of request at the target, or null if it
   * is unknown or outdated. */
  [[nodiscard]] static const KindState* FindKind(TimePoint aNow,
                                                 const Target& aTarget,
                                                 const PickRequest& aRequest);
  /** @param aFastestRun run time of this kind of request at the fastest target,
   * in milliseconds; 0 if unknown. */
  [[nodiscard]] static Costs CostsOf(TimePoint aNow,
                                     const Target& aTarget,
                                     const PickRequest& aRequest,
                                     double aFastestRun);
  void DecrementOutstanding(const std::string& aNode);

  Options mOptions;
  Rng mRng;
  std::map<std::string, Target> mTargets; ///< By node.
  std::map<std::string, std::set<std::string>, std::less<>> mByService;
};

} // namespace amaranthgap
