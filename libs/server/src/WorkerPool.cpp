#include "server/WorkerPool.h"

namespace amaranthgap {

void
WorkerPool::Submit(std::function<void()> aTask)
{
  mTasks.push(std::move(aTask));
  // The size is negative while threads wait for a task.
  if (mTasks.size() <= 0) {
    return;
  }
  const std::scoped_lock lock(mMutex);
  if (!mStopping && mThreads.size() < mMaxThreads) {
    mThreads.emplace_back([this] { Work(); });
  }
}

void
WorkerPool::Work()
{
  std::function<void()> task;
  while (true) {
    mTasks.pop(task);
    if (!task) {
      return;
    }
    task();
    task = nullptr;
  }
}

void
WorkerPool::Stop()
{
  std::vector<std::thread> threads;
  {
    const std::scoped_lock lock(mMutex);
    mStopping = true;
    threads.swap(mThreads);
  }
  for (size_t n = threads.size(); n > 0; --n) {
    mTasks.push(nullptr);
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

size_t
WorkerPool::GetThreadCount()
{
  const std::scoped_lock lock(mMutex);
  return mThreads.size();
}

} // namespace amaranthgap
