#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/Rng.h"
#include "node/Actions.h"
#include "node/Snapshots.h"

namespace amaranthgap {

/** Mutex for drivers with a single thread. */
struct NullMutex
{
  void lock() {}
  void unlock() {}
  bool try_lock() { return true; }
};

struct NodeOptions
{
  NodeRef mSelf;
  std::string mRegion;
  std::string mDataCentre;
  std::string mPeerAddress;
  std::vector<std::string> mStaticPeers;
  std::string mKeySecret; ///< Authenticates issued idempotency keys.
  bool mHasStore = true;
  uint32_t mEntryShards = 4;
  uint32_t mMaxExternalCalls = 512;
  uint32_t mMaxUpstreamCalls = 256;
  uint32_t mAuditRecords = 4096;
  uint64_t mSeed = 1;
  bool mPolicyOff = false;
  /** Wall clock less monotonic clock, for the times that operators see. */
  Duration mWallOffset{};
};

/** What a node tells operators of itself. */
struct NodeStatus
{
  NodeRef mSelf;
  bool mReady = false;
  bool mDraining = false;
  ManifestStamp mManifest;
  std::string mService;
  std::string mUpstreamState;
  TargetLoad mLoad;
  uint64_t mCallsInFlight = 0; ///< As entry node.
  std::map<std::string, uint64_t> mCounters;
  std::vector<MemberUpdate> mMembers;
};

struct QueueView;

/** One thing that happened to a request at this node. */
struct ExplainStep
{
  int64_t mWallMillis = 0;
  std::string mRole; ///< `entry` or `target`.
  std::string mEvent;
  std::string mPeer;
  std::string mDetail;
};

/**
 * All decisions of one node. Events go in with the present time; the caller
 * carries out the actions that come out, in order. Holds no thread, socket or
 * clock.
 *
 * With `std::mutex` it is safe for use by several threads: entry shards, the
 * retry ledger, the target side and the control side each have a lock of their
 * own, and no two are held at once. With `NullMutex` a single thread may drive
 * many nodes.
 */
template<class Mutex>
class NodeLogic
{
public:
  explicit NodeLogic(NodeOptions aOptions);
  ~NodeLogic();

  // -- Callers --

  void CallArrived(TimePoint aNow, CallerCall aCall, Actions& aActions);
  void KeyRequested(TimePoint aNow,
                    CallerKeyRequest aRequest,
                    Actions& aActions);
  void CallerGone(TimePoint aNow, CallerHandle aCaller, Actions& aActions);

  // -- Peers --

  /** Takes a message that the codec has verified. */
  void MessageArrived(TimePoint aNow, Envelope aEnvelope, Actions& aActions);
  /** A stream to a node broke or could not be opened. Messages handed over
   * before may or may not have arrived, unless aNeverSent is set. */
  void PeerLost(TimePoint aNow,
                const NodeRef& aPeer,
                bool aNeverSent,
                Actions& aActions);

  // -- Upstream --

  void UpstreamAnnounced(TimePoint aNow,
                         const Announcement& aAnnouncement,
                         Actions& aActions);
  void UpstreamAnswered(TimePoint aNow,
                        ExecutionId aExecution,
                        const HttpResponse& aResponse,
                        Actions& aActions);
  void UpstreamFailed(TimePoint aNow,
                      ExecutionId aExecution,
                      UpstreamFailure aFailure,
                      Actions& aActions);

  // -- Store --

  void StoreAnswered(TimePoint aNow,
                     StoreCallId aCall,
                     const StoreAnswer& aAnswer,
                     Actions& aActions);

  // -- Time and shutdown --

  /** To be called every 10 to 20 ms. */
  void Tick(TimePoint aNow, Actions& aActions);
  void DrainStarted(TimePoint aNow, Actions& aActions);
  /** @return whether nothing is in flight any more after DrainStarted, and the
   * closing record has been handed over. */
  [[nodiscard]] bool IsDrained(TimePoint aNow);

  // -- Operators --

  /** @return own identity; the incarnation may still rise while joining. */
  [[nodiscard]] NodeRef Self();
  /** @return version of the manifest in force, 0 without one. */
  [[nodiscard]] uint64_t Version();
  [[nodiscard]] NodeStatus GetStatus(TimePoint aNow);
  /** @return calls waiting for the upstream, by importance and party. */
  [[nodiscard]] QueueView GetQueue(TimePoint aNow);
  [[nodiscard]] std::vector<ExplainStep> Explain(const RequestId& aRequest);

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

extern template class NodeLogic<std::mutex>;
extern template class NodeLogic<NullMutex>;

} // namespace amaranthgap
