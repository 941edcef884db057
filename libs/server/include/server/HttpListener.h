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
 * one only when input is there. A worker serves one complete request at a time;
 * senders that are slow hold no worker.
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

  /** Answers one request; called on a worker, and may block. */
  using Handler = std::function<HttpResponse(HttpRequest, HttpConnection&)>;
  /** Makes the answer to a request that cannot be read. */
  using Refusal = std::function<HttpResponse(int aStatus)>;

  HttpListener(Options aOptions, Handler aHandler, Refusal aRefusal);
  ~HttpListener() override;

  /** Opens the port and starts to serve. */
  Status Start();
  /** Closes the port. Open connections are served further, and each is closed
   * after its next answer. */
  void StopAccepting();
  /** Closes idle connections, waits up to aGrace for requests in flight, and
   * cuts off the rest.
   * @return the number of requests that were cut off. */
  size_t Stop(Duration aGrace);

  /** Closes connections whose time is over; to be called twice a second. */
  void Sweep(TimePoint aNow);

  [[nodiscard]] int Port() const { return mPort; }
  [[nodiscard]] size_t GetConnectionCount();
  [[nodiscard]] uint32_t GetWorkerCount() const { return mWorkers; }
  [[nodiscard]] const Counters& GetCounters() const { return mCounters; }

private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  bool process_and_close_socket(socket_t aSocket) override;

  void StartWorker();
  void Work();
  void TakeEvent(uint64_t aId, uint32_t aEvents);
  bool Serve(const ConnectionPtr& aConnection);
  bool Discard(const ConnectionPtr& aConnection);
  bool Release(HttpConnection& aConnection);
  bool ServeBuffered(const ConnectionPtr& aConnection, bool& aEnded);
  bool ServeRequest(const ConnectionPtr& aConnection);
  bool RefuseAndClose(const ConnectionPtr& aConnection, int aStatus);
  void Linger(const ConnectionPtr& aConnection);
  bool WriteAnswer(HttpConnection& aConnection,
                   HttpResponse aResponse,
                   bool aHead,
                   bool aClose);
  void Arm(HttpConnection& aConnection, uint32_t aEvents);
  void SetState(HttpConnection& aConnection,
                HttpConnection::State aState,
                Duration aLimit);
  void Remove(const ConnectionPtr& aConnection);
  ConnectionPtr Find(uint64_t aId);

  const Options mOptions;
  const Handler mHandler;
  const Refusal mRefusal;
  Counters mCounters;
  int mEpoll = -1;
  int mPort = 0;
  std::thread mAcceptThread;
  std::atomic<bool> mAccepting = false;
  std::atomic<bool> mStopping = false;
  std::atomic<uint32_t> mWorkers = 0;
  std::atomic<uint32_t> mIdleWorkers = 0;
  std::atomic<uint32_t> mServing = 0;

  std::mutex mMutex; ///< Guards the members below.
  std::condition_variable mWorkerEnded;
  uint64_t mNextId = 1;
  std::unordered_map<uint64_t, ConnectionPtr> mConnections;
};

} // namespace amaranthgap
