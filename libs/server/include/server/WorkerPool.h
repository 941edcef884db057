#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <tbb/concurrent_queue.h>

namespace amaranthgap {

/**
 * Threads for blocking work, started on demand up to a limit. Tasks beyond the
 * limit wait in order. Safe for use by several threads.
 */
class WorkerPool
{
public:
  explicit WorkerPool(uint32_t aMaxThreads)
    : mMaxThreads(aMaxThreads)
  {
  }
  ~WorkerPool() { Stop(); }
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Submit(std::function<void()> aTask);

  /** Runs the tasks that are queued and ends the threads. Tasks submitted
   * later are dropped. */
  void Stop();

  [[nodiscard]] size_t GetThreadCount();

private:
  void Work();

  uint32_t mMaxThreads; ///< Constant.
  tbb::concurrent_bounded_queue<std::function<void()>> mTasks;
  std::mutex mMutex; ///< Guards the members below.
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace amaranthgap
