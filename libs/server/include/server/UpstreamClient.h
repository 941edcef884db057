#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

#include <tbb/concurrent_hash_map.h>

#include "base/Time.h"
#include "node/Actions.h"
#include "server/WorkerPool.h"
#include "wire/Http.h"

namespace amaranthgap {

class UpstreamConnection;

/**
 * HTTP calls to the upstream on this host over pooled connections. A request is
 * written at most once: a pooled connection is checked before use, and what
 * breaks after the first byte is reported, never sent again.
 *
 * Safe for use by several threads. The hook is called on a worker with no lock
 * held.
 */
class UpstreamClient
{
public:
  struct Options
  {
    uint32_t mMaxCalls = 256;
    /** Below the limit of a reply, which carries the answer. */
    size_t mMaxAnswerBytes = size_t(960) * 1024;
    Duration mConnectTimeout = seconds(1);
    /** Shorter than the keep-alive time of common servers, so that they seldom
     * close a connection at the moment of its use. */
    Duration mMaxIdle = seconds(2);
  };

  using Outcome = std::variant<HttpResponse, UpstreamFailure>;
  using Hook = std::function<void(ExecutionId, Outcome, Duration aTime)>;

  UpstreamClient(Options aOptions, Hook aHook);
  ~UpstreamClient();

  /** Starts a call; its end is reported by the hook, also after Cancel. */
  void Start(StartUpstream aCall);
  /** Breaks off a call. */
  void Cancel(ExecutionId aExecution);
  /** Breaks off all calls and ends the workers.
   * @return the number of calls that were cut off. */
  size_t Stop();

  /** Closes connections that are unused; about once a second. */
  void Tick(TimePoint aNow);

  [[nodiscard]] size_t GetCallCount() const { return mCalls.size(); }

private:
  /** One call on its way, shared with Cancel. */
  struct Call
  {
    std::mutex mMutex; ///< Guards the members below.
    bool mCancelled = false;
    std::shared_ptr<UpstreamConnection> mConnection;
  };
  using CallPtr = std::shared_ptr<Call>;
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

  void Run(const StartUpstream& aCall, const CallPtr& aState, TimePoint aStart);
  Outcome Exchange(const StartUpstream& aCall,
                   const CallPtr& aState,
                   TimePoint aStart);
  bool Send(const StartUpstream& aCall,
            Call& aState,
            ConnectionPtr aConnection,
            TimePoint aDeadline);
  static ConnectionPtr Connect(const std::string& aAddress,
                               TimePoint aDeadline);
  ConnectionPtr TakeIdle(const std::string& aAddress);
  void PutIdle(const std::string& aAddress, ConnectionPtr aConnection);

  Options mOptions; ///< Constant.
  Hook mHook;       ///< Constant.
  std::atomic<bool> mStopping = false;
  tbb::concurrent_hash_map<uint64_t, CallPtr> mCalls;

  std::mutex mMutex; ///< Guards the idle connections, latest last.
  std::map<std::string, std::vector<ConnectionPtr>> mIdle;

  WorkerPool mPool; ///< Last, so that its threads end first.
};

} // namespace amaranthgap
