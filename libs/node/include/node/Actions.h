#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/Audit.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "platform/KeyValueStore.h"
#include "wire/Messages.h"

namespace amaranthgap {

// Events and actions between the decisions of a node and their shell.

// -- Events -----------------------------------------------------------------

/** Request of an external caller, or a child call of the local upstream. */
struct CallerCall
{
  CallerHandle mCaller;
  RequestId mRequest; ///< Empty: a new id is made.
  std::string mCallerName;
  std::string mService;
  std::string mRequestClass;
  Duration mTimeout{};  ///< Zero: the timeout of the class.
  std::string mKey;     ///< Idempotency-Key as received.
  std::string mContext; ///< Amaranthgap-Context; not empty on child calls.
  bool mFromUpstream = false; ///< Arrived on the local port.
  HttpRequest mHttp;
};

/** Request of a caller for an idempotency key ahead of time. */
struct CallerKeyRequest
{
  CallerHandle mCaller;
  std::string mCallerName;
  std::string mService;
  std::string mRequestClass;
};

/** Announcement of the upstream on this host, repeated each second. */
struct Announcement
{
  std::string mService;
  std::string mAddress; ///< Loopback or host IP number and port.
  uint32_t mSlots = 0;
  Duration mWarmUp{};
  std::string mRun; ///< Changes when the upstream process restarts.
  bool mLeaving = false;
};

/** How a call to the upstream failed. */
enum class UpstreamFailure : uint8_t
{
  NotConnected,   ///< Nothing was sent.
  ConnectionLost, ///< Broken after something was sent.
  Incomplete,     ///< Answer shorter than announced.
  TimedOut,
  TooLarge,
};

// -- Actions ----------------------------------------------------------------

enum class Transport : uint8_t
{
  Datagram,
  Stream,
};

/** Sends one message to a node. A broken stream is reported by PeerLost. */
struct SendMessage
{
  NodeRef mTo; ///< Id may be empty while joining.
  std::string mAddress;
  Transport mTransport = Transport::Stream;
  Message mMessage;
};

/** Final answer to a caller. */
struct AnswerCaller
{
  CallerHandle mCaller;
  RequestId mRequest;
  Outcome mOutcome = Outcome::NotRun;
  Reason mReason = Reason::None;
  HttpResponse mHttp; ///< Only when answered.
  Duration mRetryAfter{};
  std::string mIssuedKey;
};

struct StartUpstream
{
  ExecutionId mExecution;
  std::string mAddress;
  std::string mContext; ///< Value of Amaranthgap-Context.
  RequestId mRequest;
  Duration mTimeout{};
  HttpRequest mHttp;
  Duration mQueued{}; ///< From the arrival of the call to its start.
};

struct CancelUpstream
{
  ExecutionId mExecution;
};

struct StoreCallId
{
  uint64_t mValue = 0;
};

struct StartStoreCall
{
  StoreCallId mCall;
  StoreRequest mRequest;
};

using Action = std::variant<SendMessage,
                            AnswerCaller,
                            StartUpstream,
                            CancelUpstream,
                            StartStoreCall,
                            AuditEntry>;
using Actions = std::vector<Action>;

} // namespace amaranthgap
