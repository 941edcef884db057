#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "base/EnumNames.h"
#include "wire/Http.h"

namespace amaranthgap {

// Messages between the node that a request enters and the node beside the
// target. Short field lists: their bytes between regions are billed.

/** Revision of these messages that a node reads. Messages of a later revision
 * are not sent to it, as a node closes a connection with an unknown one. */
enum class LinkRevision : uint8_t
{
  First = 0,
  CrashNotices = 1, ///< CrashNotice.
  UsageReports = 2, ///< CustomerUsageReport.
};
inline constexpr auto kLinkRevision = LinkRevision::UsageReports;

/** Scale of the shares and ratios in these messages. */
inline constexpr double kThousandths = 1000;

/** What an upstream told of itself, by answers or reports. The nodes that it is
 * passed on to return it to the node beside the upstream when that restarts. */
struct UpstreamNotice
{
  std::string mInstance;
  int64_t mStartedMillis = 0; ///< Start of the run; 0 if unknown.
  bool mIsLeaving = false;
  /** Rate of requests that it takes from all nodes; no limit if empty. */
  std::optional<double> mRequestsPerSecond;

  MSGPACK_DEFINE(mInstance, mStartedMillis, mIsLeaving, mRequestsPerSecond)
};

/** What a node tells others of itself and of the upstream beside it. */
struct NodeState
{
  std::string mNode;
  uint64_t mRun = 0;      ///< Start of the node process; a higher one replaces.
  uint64_t mRevision = 0; ///< Rises with each change within a run.
  std::string mPeerAddress;
  std::string mDataCentre;
  std::string mRegion;
  std::string mService;  ///< Empty while no upstream is known.
  std::string mInstance; ///< Run of the upstream.
  uint32_t mLimit = 0;   ///< Requests that run at once.
  bool mTakesWork = false;
  uint64_t mRoutesVersion = 0; ///< Version of the routes in force.
  bool mReachesStore = true;
  bool mWatchesStore = false; ///< Tells others what changes in the store.
  std::optional<UpstreamNotice> mNotice; ///< Empty if there is none.
  uint8_t mLinkRevision = 0;             ///< See LinkRevision.

  MSGPACK_DEFINE(mNode,
                 mRun,
                 mRevision,
                 mPeerAddress,
                 mDataCentre,
                 mRegion,
                 mService,
                 mInstance,
                 mLimit,
                 mTakesWork,
                 mRoutesVersion,
                 mReachesStore,
                 mWatchesStore,
                 mNotice,
                 mLinkRevision)
};

/** Address and location of a node, as stored and as exchanged between nodes. */
struct NodeAddress
{
  std::string mNode;
  uint64_t mRun = 0; ///< Start of the node process; a higher one replaces.
  std::string mAddress;
  std::string mDataCentre;
  std::string mRegion;
  std::string mService; ///< Of the upstream beside it, when it was written.

  MSGPACK_DEFINE(mNode, mRun, mAddress, mDataCentre, mRegion, mService)
};

/** First message on a connection, from the node that opened it, so that the
 * other one can connect back without reading the store, and knows again what
 * its upstream told before it restarted. */
struct LinkHello
{
  NodeAddress mFrom;
  std::optional<UpstreamNotice> mNotice; ///< Of the receiver's upstream.
  uint8_t mLinkRevision = 0;             ///< See LinkRevision.

  MSGPACK_DEFINE(mFrom, mNotice, mLinkRevision)
};

/** Nodes that the sender knows. */
struct NodeList
{
  std::vector<NodeAddress> mNodes;

  MSGPACK_DEFINE(mNodes)
};

/** What a node that watches the store has seen there. */
struct StoreNotice
{
  uint64_t mRoutesVersion = 0; ///< Newest version that the sender holds.
  /** The store is back after an outage, in which entries may have ended. */
  bool mIsRegained = false;
  uint64_t mStoreEra = 0; ///< 0 if unknown.

  MSGPACK_DEFINE(mRoutesVersion, mIsRegained, mStoreEra)
};

/** Load of the gate of a target, attached to each reply. */
struct GateLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mLimit = 0;
  uint32_t mWaitMs = 0; ///< Until such a request would get a slot.
  uint32_t mRunMs = 0;  ///< Mean time of the route's requests at the upstream.
  /** Part of such requests that this target and those below it can take, in
   * thousandths. */
  uint32_t mShare = 1000;
  /** Demand of such requests and of more important ones, before any refusal, in
   * thousandths of the capacity of the busiest target. */
  uint32_t mDemand = 0;
  /** Part of such requests that failed at this target, in thousandths. */
  uint32_t mFailed = 0;

  MSGPACK_DEFINE(mRunning,
                 mWaiting,
                 mLimit,
                 mWaitMs,
                 mRunMs,
                 mShare,
                 mDemand,
                 mFailed)
};

/** One attempt at a target. */
struct ForwardRequest
{
  uint64_t mCall = 0; ///< Unique for the connection.
  std::string mRequestId;
  std::string mCallerService; ///< Service of the host that the request entered.
  std::string mService;
  std::string mInstance;
  std::string mRoute;
  uint32_t mTimeLeftMs = 0;
  uint32_t mLatencyTargetMs = 0;
  uint32_t mPriority = 0;
  bool mIdempotent = false;
  bool mIsNested = false; ///< Called by a request that already runs.
  bool mIsRetry = false;
  /** Part of such requests that was admitted at the entry of the whole tree,
   * in thousandths. */
  uint32_t mShare = 1000;
  HttpRequest mHttp;
  bool mIsTrial = false; ///< The entry node chose this one to try a suspect.
  std::string mCustomer; ///< Whose key it came with; empty without one.

  MSGPACK_DEFINE(mCall,
                 mRequestId,
                 mCallerService,
                 mService,
                 mInstance,
                 mRoute,
                 mTimeLeftMs,
                 mLatencyTargetMs,
                 mPriority,
                 mIdempotent,
                 mIsNested,
                 mIsRetry,
                 mShare,
                 mHttp,
                 mIsTrial,
                 mCustomer)
};

/** Requests that meet the same load: of one route, with the priority of the
 * request at the root of their tree. */
struct CallKind
{
  std::string mRoute;
  uint32_t mPriority = 0;

  auto operator<=>(const CallKind&) const = default;
};

inline CallKind
KindOf(const ForwardRequest& aRequest)
{
  return { aRequest.mRoute, aRequest.mPriority };
}

/** What became of an attempt. */
enum class AttemptOutcome : uint8_t
{
  Answered,   ///< The complete response of the upstream.
  NotRun,     ///< Certain not to have run, now or later.
  MayHaveRun, ///< Sent, and no usable response came.
};

/** Why an attempt was not answered. */
enum class AttemptReason : uint8_t
{
  None,
  NoRoom,          ///< The gate has no slot in time.
  Leaving,         ///< The upstream or its node is leaving.
  OtherInstance,   ///< The upstream named is not there any more.
  Expired,         ///< The time was over.
  UpstreamRefused, ///< The upstream itself said that it did not run it.
  NotConnected,    ///< The upstream took no connection.
  ConnectionLost,  ///< The connection broke after the request was sent.
  InvalidResponse, ///< Not a complete response to this request.
  Quarantined,     ///< Crashed the upstreams that ran it.
  PeerLost,        ///< The connection between the nodes broke.
  NoTarget,        ///< No target takes work.
  Throttled,       ///< Refused at its entry because of load below.
  CallerGone,      ///< The caller closed its connection.
  Suspected,       ///< Under suspicion; another one runs, or runs elsewhere.
  // Only at the entry of a request; not sent to other nodes.
  Unauthorized,  ///< Its key belongs to no customer.
  OverAllowance, ///< Its customer sends more than it may.
};

template<>
struct EnumNames<AttemptOutcome>
{
  static constexpr std::array kNames{
    std::pair{ AttemptOutcome::Answered, std::string_view{ "answered" } },
    std::pair{ AttemptOutcome::NotRun, std::string_view{ "not-run" } },
    std::pair{ AttemptOutcome::MayHaveRun, std::string_view{ "may-have-run" } },
  };
};

template<>
struct EnumNames<AttemptReason>
{
  static constexpr std::array kNames{
    std::pair{ AttemptReason::None, std::string_view{ "none" } },
    std::pair{ AttemptReason::NoRoom, std::string_view{ "no-room" } },
    std::pair{ AttemptReason::Leaving, std::string_view{ "leaving" } },
    std::pair{ AttemptReason::OtherInstance,
               std::string_view{ "other-instance" } },
    std::pair{ AttemptReason::Expired, std::string_view{ "expired" } },
    std::pair{ AttemptReason::UpstreamRefused,
               std::string_view{ "upstream-refused" } },
    std::pair{ AttemptReason::NotConnected,
               std::string_view{ "not-connected" } },
    std::pair{ AttemptReason::ConnectionLost,
               std::string_view{ "connection-lost" } },
    std::pair{ AttemptReason::InvalidResponse,
               std::string_view{ "invalid-response" } },
    std::pair{ AttemptReason::Quarantined, std::string_view{ "quarantined" } },
    std::pair{ AttemptReason::PeerLost, std::string_view{ "peer-lost" } },
    std::pair{ AttemptReason::NoTarget, std::string_view{ "no-target" } },
    std::pair{ AttemptReason::Throttled, std::string_view{ "throttled" } },
    std::pair{ AttemptReason::CallerGone, std::string_view{ "caller-gone" } },
    std::pair{ AttemptReason::Suspected, std::string_view{ "suspected" } },
    std::pair{ AttemptReason::Unauthorized,
               std::string_view{ "unauthorized" } },
    std::pair{ AttemptReason::OverAllowance,
               std::string_view{ "over-allowance" } },
  };
};

struct ForwardReply
{
  uint64_t mCall = 0;
  AttemptOutcome mOutcome = AttemptOutcome::NotRun;
  AttemptReason mReason = AttemptReason::None;
  GateLoad mLoad;
  HttpResponse mHttp;                    ///< Only when answered.
  std::optional<UpstreamNotice> mNotice; ///< Empty if there is none.

  MSGPACK_DEFINE(mCall, mOutcome, mReason, mLoad, mHttp, mNotice)
};

struct ForwardCancel
{
  uint64_t mCall = 0;

  MSGPACK_DEFINE(mCall)
};

/** Asks whether the peer still answers, or says that it does. */
struct LinkProbe
{
  bool mIsAnswer = false;

  MSGPACK_DEFINE(mIsAnswer)
};

/** Asks for the routes when the peer has a version above this one. */
struct RoutesRequest
{
  uint64_t mHave = 0;

  MSGPACK_DEFINE(mHave)
};

/** What a node can take of one kind of first requests, in thousandths; see
 * GateLoad. */
struct KindLoad
{
  std::string mRoute;
  uint32_t mShare = 1000;
  uint32_t mDemand = 0;
  uint32_t mFailed = 0;
  uint32_t mPriority = 0; ///< Of the requests; see CallKind.

  MSGPACK_DEFINE(mRoute, mShare, mDemand, mFailed, mPriority)
};

/** Kinds of first requests that a node cannot take whole, or that fail there.
 */
struct LoadReport
{
  std::vector<KindLoad> mKinds;

  MSGPACK_DEFINE(mKinds)
};

/** Routes in the operators' own form, as they stand in the store. */
struct RoutesDocument
{
  std::string mDocument;

  MSGPACK_DEFINE(mDocument)
};

/** Crash of an upstream while a request was in flight there. */
struct CrashMark
{
  uint64_t mCrash = 0;     ///< Unique number of the crash.
  uint64_t mService = 0;   ///< Hash of the service of the upstream.
  bool mIsTrial = false;   ///< It was the only such suspect in flight.
  bool mIsCleared = false; ///< A request with the same content completed since.
  /** For a resource, a bit for each of its contents in flight, by their hash.
   */
  uint64_t mContents = 0;

  MSGPACK_DEFINE(mCrash, mService, mIsTrial, mIsCleared, mContents)
};

/** What is known of the requests with one fingerprint. */
struct CrashRecord
{
  uint64_t mFingerprint = 0;
  std::vector<CrashMark> mMarks;
  uint32_t mQuarantineMs = 0; ///< Left of the quarantine; 0 without one.

  MSGPACK_DEFINE(mFingerprint, mMarks, mQuarantineMs)
};

/** Resource in flight at a crash. */
struct InFlightResource
{
  uint64_t mFingerprint = 0;
  uint64_t mContents = 0; ///< As in CrashMark.

  MSGPACK_DEFINE(mFingerprint, mContents)
};

/** Tells the nodes of a service of a crash and of requests under suspicion, and
 * other nodes of the quarantined ones. */
struct CrashNotice
{
  std::string mService;
  uint64_t mCrash = 0;             ///< 0 if there is no crash to tell of.
  std::vector<uint64_t> mInFlight; ///< Contents, at that crash.
  std::vector<CrashRecord> mRecords;
  std::vector<InFlightResource> mInFlightResources;

  [[nodiscard]] bool IsEmpty() const
  {
    return mInFlight.empty() && mRecords.empty() && mInFlightResources.empty();
  }

  MSGPACK_DEFINE(mService, mCrash, mInFlight, mRecords, mInFlightResources)
};

/** Requests of one customer at some nodes within a reporting interval. */
struct CustomerUsage
{
  uint32_t mCustomer = 0; ///< See AllowanceLedger::NumberOf().
  uint32_t mAsked = 0;
  uint32_t mAdmitted = 0;

  MSGPACK_DEFINE(mCustomer, mAsked, mAdmitted)
};

/** Tells other nodes of the usage of customers with an allowance. */
struct CustomerUsageReport
{
  std::string mRegion;      ///< Of the nodes that it tells of.
  bool mIsOfRegion = false; ///< The sum of a region; otherwise of the sender.
  uint32_t mNodeCount = 0;  ///< Nodes in the sum.
  std::vector<CustomerUsage> mUsage;

  MSGPACK_DEFINE(mRegion, mIsOfRegion, mNodeCount, mUsage)
};

/** Order of the alternatives is the message kind on the wire. */
using LinkMessage = std::variant<NodeState,
                                 ForwardRequest,
                                 ForwardReply,
                                 ForwardCancel,
                                 LinkProbe,
                                 RoutesRequest,
                                 RoutesDocument,
                                 LoadReport,
                                 LinkHello,
                                 NodeList,
                                 StoreNotice,
                                 CrashNotice,
                                 CustomerUsageReport>;

} // namespace amaranthgap

MSGPACK_ADD_ENUM(amaranthgap::AttemptOutcome)
MSGPACK_ADD_ENUM(amaranthgap::AttemptReason)
