#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "forwarding/HeartbeatTracker.h"
#include "forwarding/NoticeTracker.h"
#include "forwarding/RouteTable.h"
#include "platform/LeasedStore.h"
#include "wire/Http.h"

namespace amaranthgap {

class EventLoop;

/** Header names of the interface between callers, nodes and upstreams. */
struct HeaderNames
{
  std::string_view mRequestId; ///< Id of one attempt of a caller.
  std::string_view mTimeLeft;  ///< Milliseconds that the caller will wait.
  /** Proof of the upstream that it gave this answer. */
  std::string_view mSignature;
  std::string_view mExpectedInstance; ///< The one upstream that may run it.
  std::string_view mInstance;         ///< Upstream that answers a status check.
  std::string_view mNotExecuted;      ///< The upstream did not run it.
  /** Service of the host at which the request entered. */
  std::string_view mCallerService;
  std::string_view mCustomerKey; ///< Key that a customer sends.
  std::string_view mCustomer;    ///< Name of the customer, for the upstream.
};

/** The upstream says that it ends. */
struct UpstreamEnd
{
  std::string mInstance;
  int64_t mStartedMillis = 0; ///< Start of the run that ends; 0 if unknown.
};

using UpstreamMessage = std::variant<UpstreamReport, UpstreamEnd>;

/** What a deployment brings along: its names, its store, and the forms in
 * which its operators and upstreams write. */
struct Binding
{
  HeaderNames mHeaders;
  std::string mReadyPath;
  std::string mRoutesKey; ///< Key of the routes in the store.
  std::function<Result<RouteTablePtr>(std::string_view)> mReadRoutes;
  std::function<Result<UpstreamMessage>(const HttpRequest&)> mReadUpstream;
  std::function<AnswerNotice(const HttpHeaders&)> mReadNotice;
  /** @return the id of the request that made a call, by the id of the call;
   * empty for a request that no other one made. */
  std::function<std::string_view(std::string_view)> mParentId;
  std::function<std::unique_ptr<LeasedStore>(EventLoop&, const std::string&)>
    mOpenStore; ///< Takes the address of the store.
};

} // namespace amaranthgap
