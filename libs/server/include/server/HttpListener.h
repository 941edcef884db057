#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include <httplib.h>

#include "base/Error.h"
#include "base/Time.h"
#include "server/HttpConnection.h"
#include "server/HttpFraming.h"
#include "wire/Http.h"

namespace amaranthgap {

/**
 * HTTP/1.1 server on the library's accept loop and answer writer, with its own
 * handling of connections: open ones wait in one epoll set, and a worker gets
 * one only when something can be done. A handler gets complete requests only;
 * the answer may be given later, by any thread, so that neither slow clients
 * nor calls in flight hold a worker.
 *
 * Workers grow on demand up to a limit. Safe for use by several threads.
 */
class HttpListener : private httplib::Server
{
public:
  struct Options
  {
    std::string mAddress;
    uint32_t mMaxConnections = 2000;
    uint32_t mMaxWorkers = 64;
    RequestFramer::Limits mLimits;
    /** Input kept over all connections. Above it, requests that have arrived in
     * part and are larger than a head are refused. */
    size_t mMaxBufferedBytes = size_t(64) * 1024 * 1024;
    Duration mIdleTimeout = seconds(75);
    /** From the first byte of a request to its last. */
    Duration mRequestTimeout = seconds(10);
    Duration mWriteTimeout = seconds(5);
  };

  struct Counters
  {
    std::atomic<uint64_t> mAccepted = 0;
    std::atomic<uint64_t> mRefusedConnections = 0;
    std::atomic<uint64_t> mBadRequests = 0;
    std::atomic<uint64_t> mSlowRequests = 0;
    std::atomic<uint64_t> mGoneWhileServed = 0;
  };

  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  /** Takes one request on a worker. Respond is to be called once for it, by
   * the handler or later. */
  using Handler = std::function<void(HttpRequest, const ConnectionPtr&)>;
  /** Makes the answer to a request that cannot be read. */
  using Refusal = std::function<HttpResponse(int aStatus)>;

  HttpListener(Options aOptions, Handler aHandler, Refusal aRefusal);
  ~HttpListener() override;

  /** Opens the port and starts to serve. */
  Status Start();
  /** Closes the port. Open connections are served further, and each is closed
   * after its next answer. */
  void StopAccepting();
  /** Closes idle connections, waits up to aGrace for requests in flight and for
   * clients that still read their answers, and cuts off the rest.
   * @return the number of requests that were cut off. */
  size_t Stop(Duration aGrace);

  /** Answers the request that a connection serves. Never blocks. */
  void Respond(const ConnectionPtr& aConnection, HttpResponse aResponse);

  /** Closes connections whose time is over; to be called twice a second. */
  void Sweep(TimePoint aNow);

  [[nodiscard]] int Port() const { return mPort; }
  [[nodiscard]] size_t GetConnectionCount();
  [[nodiscard]] uint32_t GetWorkerCount() const { return mWorkers; }
  [[nodiscard]] const Counters& GetCounters() const { return mCounters; }

private:
  /** What the thread that holds a connection does next. */
  enum class Next : uint8_t
  {
    Read,   ///< Go on with the buffer and the socket.
    Wait,   ///< Give the connection back until an event comes.
    Handed, ///< The connection belongs to whoever answers the request.
    Removed,
  };

  bool process_and_close_socket(socket_t aSocket) override;

  void StartWorker();
  void Work();
  void TakeEvent(uint64_t aId, uint32_t aEvents);
  void Hold(const ConnectionPtr& aConnection);
  Next Step(const ConnectionPtr& aConnection);
  Next Read(const ConnectionPtr& aConnection);
  Next ServeBuffered(const ConnectionPtr& aConnection, bool aEnded);
  Next ServeRequest(const ConnectionPtr& aConnection);
  Next WaitForMore(const ConnectionPtr& aConnection, bool aEnded);
  Next FinishRequest(const ConnectionPtr& aConnection, HttpResponse aResponse);
  Next ContinueWriting(const ConnectionPtr& aConnection);
  Next Discard(const ConnectionPtr& aConnection);
  Next Refuse(const ConnectionPtr& aConnection, int aStatus);
  bool Release(HttpConnection& aConnection);
  static std::string RenderBytes(HttpListener& aServer,
                                 HttpResponse aResponse,
                                 bool aHead,
                                 bool aClose);
  void Arm(HttpConnection& aConnection, uint32_t aEvents);
  void SetState(HttpConnection& aConnection,
                HttpConnection::State aState,
                Duration aLimit);
  void Uncount(HttpConnection& aConnection);
  void Charge(HttpConnection& aConnection);
  Next Remove(const ConnectionPtr& aConnection);
  ConnectionPtr Find(uint64_t aId);

  Options mOptions; ///< Constant, like the next two.
  Handler mHandler;
  Refusal mRefusal;
  Counters mCounters;
  std::atomic<int> mEpoll = -1;
  int mPort = 0;
  std::thread mAcceptThread;
  std::atomic<bool> mAccepting = false;
  std::atomic<bool> mStopping = false;
  std::atomic<uint32_t> mWorkers = 0;
  std::atomic<uint32_t> mIdleWorkers = 0;
  std::atomic<size_t> mBuffered = 0;  ///< Bytes in the buffers of connections.
  std::atomic<uint32_t> mServing = 0; ///< Requests without a written answer.

  /** @return whether clients may still read answers after which their
   * connections are closed. */
  bool HasClosing(TimePoint aNow);

  std::mutex mMutex; ///< Guards the members below.
  std::condition_variable mWorkerEnded;
  uint64_t mNextId = 1;
  std::unordered_map<uint64_t, ConnectionPtr> mConnections;
};

} // namespace amaranthgap
