#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <tbb/concurrent_hash_map.h>

#include "config/NodeSettings.h"
#include "node/Actions.h"
#include "server/HttpListener.h"
#include "server/Metrics.h"

namespace amaranthgap {

/**
 * HTTP interface of a node: calls of external callers on the caller port, and
 * child calls, announcements and the operators' endpoints on the local port.
 * Each port has workers of its own, so that child calls never wait behind
 * external calls. No worker waits for an answer.
 *
 * Safe for use by several threads. Hooks are called on workers.
 */
class CallerServer
{
public:
  struct Options
  {
    HttpListener::Options mCaller;
    HttpListener::Options mLocal;
  };

  /** Events for the decisions of the node. Answers come by Answer. */
  struct Hooks
  {
    std::function<void(CallerCall)> mCallArrived;
    std::function<void(CallerKeyRequest)> mKeyRequested;
    std::function<void(CallerHandle)> mCallerGone;
    std::function<void(Announcement)> mAnnounced;
    /** Answers a GET of an operator; status 404 for an unknown path. */
    std::function<HttpResponse(const std::string& aPath,
                               const std::string& aQuery)>
      mOperator;
  };

  CallerServer(Options aOptions, Hooks aHooks, Metrics& aMetrics);

  Status Start();
  /** Writes the final answer to its caller. Never blocks. */
  void Answer(AnswerCaller aAnswer);
  void Sweep(TimePoint aNow);
  /** @return the number of requests that were cut off. */
  size_t Stop(Duration aGrace);

  [[nodiscard]] HttpListener& CallerPort() { return mCaller; }
  [[nodiscard]] HttpListener& LocalPort() { return mLocal; }

  /** @return settings of both ports that follow from those of the node. */
  static Options MakeOptions(const NodeSettings& aSettings);

private:
  /** One request that waits for its answer. */
  struct Waiter
  {
    HttpListener* mListener = nullptr;
    HttpListener::ConnectionPtr mConnection;
    TimePoint mStart{};
    std::string mTrace; ///< Header traceparent of the request.
    bool mForKey = false;
  };
  using ConnectionPtr = HttpListener::ConnectionPtr;

  void ServeCaller(HttpRequest aRequest, const ConnectionPtr& aConnection);
  void ServeLocal(HttpRequest aRequest, const ConnectionPtr& aConnection);
  void ServeCall(HttpRequest aRequest,
                 const ConnectionPtr& aConnection,
                 bool aFromUpstream);
  void ServeKey(const HttpRequest& aRequest, const ConnectionPtr& aConnection);
  HttpResponse ServeAnnouncement(const HttpRequest& aRequest);
  CallerHandle Enter(Waiter aWaiter);
  bool Leave(CallerHandle aHandle, Waiter& aWaiter);
  void WatchConnection(CallerHandle aHandle, const ConnectionPtr& aConnection);
  HttpResponse Render(const Waiter& aWaiter, AnswerCaller aAnswer);

  Hooks mHooks; ///< Constant.
  Metrics& mMetrics;
  std::atomic<uint64_t> mNextHandle = 1;
  tbb::concurrent_hash_map<uint64_t, Waiter> mWaiters;
  HttpListener mCaller;
  HttpListener mLocal;
};

} // namespace amaranthgap
