#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <msgpack.hpp>

#include "base/Ids.h"
#include "wire/Http.h"
#include "wire/Outcome.h"

namespace amaranthgap {

// Bodies of the inner protocol. Fields are only ever appended, so that two
// neighbouring versions understand each other during a rolling replacement.

// -- Calls ------------------------------------------------------------------

/** Load of a target, attached to each reply. */
struct TargetLoad
{
  uint32_t mInFlight = 0;
  uint32_t mWaiting = 0;
  uint32_t mLimit = 0;
  bool mLeaving = false;

  MSGPACK_DEFINE(mInFlight, mWaiting, mLimit, mLeaving)
};

struct CallMessage
{
  CallId mCall; ///< Unique for the sending incarnation, also over attempts.
  RequestId mRequest;
  NodeRef mRoot;
  std::string mCaller;
  std::string mParty;
  std::string mService;
  std::string mRequestClass;
  uint32_t mImportance = 0;
  uint32_t mDepth = 0; ///< 1 for the call of a root request.
  uint32_t mTimeoutMs = 0;
  bool mIdempotent = true;
  std::string mKey; ///< Issued idempotency key, or empty.
  uint64_t mFingerprint = 0;
  HttpRequest mHttp;

  MSGPACK_DEFINE(mCall,
                 mRequest,
                 mRoot,
                 mCaller,
                 mParty,
                 mService,
                 mRequestClass,
                 mImportance,
                 mDepth,
                 mTimeoutMs,
                 mIdempotent,
                 mKey,
                 mFingerprint,
                 mHttp)
};

struct ReplyMessage
{
  CallId mCall;
  Outcome mOutcome = Outcome::NotRun;
  Reason mReason = Reason::None;
  HttpResponse mHttp; ///< Only when answered.
  uint32_t mRetryAfterMs = 0;
  TargetLoad mLoad;
  /** Highest fill of any queue that the subtree met, 0 when none was waited
   * in; 1 and above when a queue refused calls. */
  double mPressure = 0;
  bool mSuspect = false;     ///< The fingerprint was in flight at a crash.
  bool mTouchedOnce = false; ///< A non-idempotent call was made below.
  std::string mIssuedKey;    ///< Fresh key in place of one that did not run.

  MSGPACK_DEFINE(mCall,
                 mOutcome,
                 mReason,
                 mHttp,
                 mRetryAfterMs,
                 mLoad,
                 mPressure,
                 mSuspect,
                 mTouchedOnce,
                 mIssuedKey)
};

struct CancelCall
{
  CallId mCall;

  MSGPACK_DEFINE(mCall)
};

// -- Retries ----------------------------------------------------------------

struct RetryGrantRequest
{
  RequestId mRequest;
  CallId mCall;

  MSGPACK_DEFINE(mRequest, mCall)
};

struct RetryGrant
{
  CallId mCall;
  bool mGranted = false;

  MSGPACK_DEFINE(mCall, mGranted)
};

// -- Idempotency keys -------------------------------------------------------

struct KeyRequest
{
  CallId mCall;
  std::string mParty;
  std::string mService;
  std::string mRequestClass;

  MSGPACK_DEFINE(mCall, mParty, mService, mRequestClass)
};

struct KeyIssued
{
  CallId mCall;
  std::string mKey; ///< Empty when refused.
  Reason mReason = Reason::None;

  MSGPACK_DEFINE(mCall, mKey, mReason)
};

/** One key that a drained incarnation ran, with its answer. */
struct ClosingEntry
{
  std::string mKey;
  uint64_t mFingerprint = 0;
  Outcome mOutcome = Outcome::Answered;
  HttpResponse mHttp;

  MSGPACK_DEFINE(mKey, mFingerprint, mOutcome, mHttp)
};

/** Piece of the closing record of a drained incarnation. The record is used
 * only when all pieces have arrived. */
struct ClosingRecordTransfer
{
  NodeRef mNode;
  std::string mService;
  uint32_t mPiece = 0;
  uint32_t mPieces = 1;
  std::vector<ClosingEntry> mEntries;
  int64_t mClosedMillis = 0; ///< Monotonic clock of mNode at its end.
  bool mStored = false;      ///< Confirmation of a piece; without entries.

  MSGPACK_DEFINE(mNode,
                 mService,
                 mPiece,
                 mPieces,
                 mEntries,
                 mClosedMillis,
                 mStored)
};

// -- Service group ----------------------------------------------------------

/** Change of the state of request fingerprints after a crash. */
struct CrashReport
{
  std::string mService;
  std::vector<uint64_t> mSuspects;
  std::vector<uint64_t> mQuarantined;
  std::vector<uint64_t> mCleared;

  MSGPACK_DEFINE(mService, mSuspects, mQuarantined, mCleared)
};

struct PartyShare
{
  std::string mParty;
  uint32_t mImportance = 0;
  double mAttainedSeconds = 0; ///< Decayed upstream time, see PartyUsage.

  MSGPACK_DEFINE(mParty, mImportance, mAttainedSeconds)
};

struct UsageReport
{
  std::string mService;
  std::vector<PartyShare> mShares;

  MSGPACK_DEFINE(mService, mShares)
};

// -- Membership -------------------------------------------------------------

enum class MemberState : uint8_t
{
  Joined,
  Warm, ///< The upstream is announced and accepts calls.
  Leaving,
  Left,
  Suspect,
  Dead,
};

/** What is known of one node, as carried in messages. */
struct MemberUpdate
{
  NodeRef mNode;
  uint32_t mRefutation = 0; ///< Raised by the node itself to refute.
  MemberState mState = MemberState::Joined;
  std::string mRegion;
  std::string mDataCentre;
  std::string mPeerAddress; ///< IP number and port, for UDP and nng alike.
  std::string mService;     ///< Empty until the upstream announces itself.
  uint32_t mSlots = 0;
  uint32_t mWarmUpMs = 0;

  MSGPACK_DEFINE(mNode,
                 mRefutation,
                 mState,
                 mRegion,
                 mDataCentre,
                 mPeerAddress,
                 mService,
                 mSlots,
                 mWarmUpMs)
};

/** Version of a manifest with the digest of its whole content. */
struct ManifestStamp
{
  uint64_t mVersion = 0;
  uint64_t mDigest = 0;

  bool operator==(const ManifestStamp&) const = default;
  MSGPACK_DEFINE(mVersion, mDigest)
};

struct Ping
{
  uint64_t mProbe = 0;
  ManifestStamp mManifest;
  uint64_t mMembersDigest = 0;
  std::vector<MemberUpdate> mUpdates;

  MSGPACK_DEFINE(mProbe, mManifest, mMembersDigest, mUpdates)
};

struct Ack
{
  uint64_t mProbe = 0;
  ManifestStamp mManifest;
  uint64_t mMembersDigest = 0;
  std::vector<MemberUpdate> mUpdates;
  /** Set by a helper that got no answer from the member either. */
  bool mNotReached = false;

  MSGPACK_DEFINE(mProbe, mManifest, mMembersDigest, mUpdates, mNotReached)
};

/** Asks a member to probe another one on behalf of the sender. */
struct PingRequest
{
  uint64_t mProbe = 0;
  NodeRef mNode;
  std::string mPeerAddress;

  MSGPACK_DEFINE(mProbe, mNode, mPeerAddress)
};

struct MemberUpdates
{
  std::vector<MemberUpdate> mUpdates;

  MSGPACK_DEFINE(mUpdates)
};

/** Digests of the sender's member pages; the receiver answers with the pages
 * that differ and its own digests when mReply is set. */
struct MemberDigest
{
  std::vector<uint64_t> mPages;
  bool mReply = false;
  bool mJoining = false; ///< The sender is not a member yet.

  MSGPACK_DEFINE(mPages, mReply, mJoining)
};

struct MemberPage
{
  uint32_t mPage = 0;
  std::vector<MemberUpdate> mUpdates;

  MSGPACK_DEFINE(mPage, mUpdates)
};

// -- Manifest ---------------------------------------------------------------

/** Entries that differ between one version and the next. */
struct ManifestDelta
{
  ManifestStamp mFrom;
  ManifestStamp mTo;
  std::vector<std::pair<std::string, std::string>> mSet; ///< Entry, value.
  std::vector<std::string> mRemoved;
  std::string mPublishId;
  std::string mPublisher;
  int64_t mWallMillis = 0;
  std::string mPreviousId; ///< Publish id of mFrom; empty for version 0.

  MSGPACK_DEFINE(mFrom,
                 mTo,
                 mSet,
                 mRemoved,
                 mPublishId,
                 mPublisher,
                 mWallMillis,
                 mPreviousId)
};

struct ManifestRumor
{
  ManifestStamp mManifest;
  std::vector<ManifestDelta> mDeltas; ///< At most one; none when too large.

  MSGPACK_DEFINE(mManifest, mDeltas)
};

struct ManifestPull
{
  ManifestStamp mHave;
  uint32_t mFirstEntry = 0;   ///< Where a whole transfer goes on.
  uint64_t mWholeVersion = 0; ///< Version of a whole transfer under way.

  MSGPACK_DEFINE(mHave, mFirstEntry, mWholeVersion)
};

/** Either differences in order, or a part of the whole content. */
struct ManifestPage
{
  std::vector<ManifestDelta> mDeltas;
  ManifestStamp mWhole;
  uint32_t mFirstEntry = 0;
  uint32_t mEntryCount = 0;
  std::vector<std::pair<std::string, std::string>> mEntries;

  MSGPACK_DEFINE(mDeltas, mWhole, mFirstEntry, mEntryCount, mEntries)
};

// -- Envelope ---------------------------------------------------------------

/** Order of the alternatives is the message kind on the wire. */
using Message = std::variant<CallMessage,
                             ReplyMessage,
                             CancelCall,
                             RetryGrantRequest,
                             RetryGrant,
                             KeyRequest,
                             KeyIssued,
                             ClosingRecordTransfer,
                             CrashReport,
                             UsageReport,
                             Ping,
                             Ack,
                             PingRequest,
                             MemberUpdates,
                             MemberDigest,
                             MemberPage,
                             ManifestRumor,
                             ManifestPull,
                             ManifestPage>;

struct Envelope
{
  NodeRef mFrom;
  std::string mFromAddress; ///< Where answers go.
  NodeRef mTo; ///< Incarnation 0 (and an empty id) when not yet known.
  uint64_t mSequence = 0;
  Message mMessage;
};

} // namespace amaranthgap

MSGPACK_ADD_ENUM(amaranthgap::MemberState)

template<>
struct amaranthgap::EnumNames<amaranthgap::MemberState>
{
  static constexpr std::array kNames{
    std::pair{ MemberState::Joined, std::string_view{ "joined" } },
    std::pair{ MemberState::Warm, std::string_view{ "warm" } },
    std::pair{ MemberState::Leaving, std::string_view{ "leaving" } },
    std::pair{ MemberState::Left, std::string_view{ "left" } },
    std::pair{ MemberState::Suspect, std::string_view{ "suspect" } },
    std::pair{ MemberState::Dead, std::string_view{ "dead" } },
  };
};
