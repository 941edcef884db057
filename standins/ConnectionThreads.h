#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace amaranthgap {

/** Task queue that adds a thread whenever all of its threads are busy, up to a
 * bound; beyond it tasks wait. Safe for use by several threads. */
class ConnectionThreads : public httplib::TaskQueue
{
public:
  explicit ConnectionThreads(size_t aMostThreads)
    : mMostThreads(aMostThreads)
  {
  }

  void enqueue(std::function<void()> aTask) override
  {
    const std::scoped_lock lock(mMutex);
    mTasks.push_back(std::move(aTask));
    if (mIdle < mTasks.size() && mThreads.size() < mMostThreads) {
      mThreads.emplace_back([this] { Run(); });
    }
    mWake.notify_one();
  }

  void shutdown() override
  {
    {
      const std::scoped_lock lock(mMutex);
      mStop = true;
    }
    mWake.notify_all();
    for (auto& thread : mThreads) {
      thread.join();
    }
  }

private:
  void Run()
  {
    std::unique_lock lock(mMutex);
    while (true) {
      ++mIdle;
      mWake.wait(lock, [this] { return mStop || !mTasks.empty(); });
      --mIdle;
      if (mTasks.empty()) {
        return;
      }
      auto task = std::move(mTasks.front());
      mTasks.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  size_t mMostThreads;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::deque<std::function<void()>> mTasks;
  std::vector<std::thread> mThreads;
  size_t mIdle = 0;
  bool mStop = false;
};

} // namespace amaranthgap
