#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <tbb/concurrent_hash_map.h>

#include "config/Settings.h"
#include "node/Actions.h"
#include "server/HttpListener.h"
#include "server/Metrics.h"

namespace amaranthgap {

/**
 * HTTP interface of a node: calls of external callers on the caller port, and
 * child calls, announcements and the operators' endpoints on the local port.
 * Each port has workers of its own, so that child calls never wait behind
 * external calls.
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
  /** Hands the final answer to the worker that waits for it. */
  void Answer(AnswerCaller aAnswer);
  void Sweep(TimePoint aNow);
  /** @return the number of requests that were cut off. */
  size_t Stop(Duration aGrace);

  [[nodiscard]] HttpListener& CallerPort() { return mCaller; }
  [[nodiscard]] HttpListener& LocalPort() { return mLocal; }

  /** @return settings of both ports that follow from those of the node. */
  static Options MakeOptions(const Settings& aSettings);

private:
  /** One request that waits for its answer. */
  struct Waiter
  {
    std::mutex mMutex; ///< Guards the members below.
    std::condition_variable mReady;
    std::optional<AnswerCaller> mAnswer;
    bool mGone = false;
  };

  HttpResponse ServeCaller(HttpRequest aRequest, HttpConnection& aConnection);
  HttpResponse ServeLocal(HttpRequest aRequest, HttpConnection& aConnection);
  HttpResponse ServeCall(HttpRequest aRequest,
                         HttpConnection& aConnection,
                         bool aFromUpstream);
  HttpResponse ServeKey(const HttpRequest& aRequest,
                        HttpConnection& aConnection);
  HttpResponse ServeAnnouncement(const HttpRequest& aRequest);
  template<class Submit>
  AnswerCaller Await(HttpConnection& aConnection, Submit aSubmit);

  const Hooks mHooks;
  Metrics& mMetrics;
  std::atomic<uint64_t> mNextHandle = 1;
  tbb::concurrent_hash_map<uint64_t, std::shared_ptr<Waiter>> mWaiters;
  HttpListener mCaller;
  HttpListener mLocal;
};

} // namespace amaranthgap
