#include "SlotGate.h"

#include <algorithm>
#include <array>

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace amaranthgap {

namespace {

// One event for each thread, since a thread waits for one slot at a time.
struct ThreadEvent
{
  int mFd = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  ~ThreadEvent() { ::close(mFd); }
};

thread_local ThreadEvent gEvent;

} // namespace

SlotGate::Entry
SlotGate::Enter(int aSocket)
{
  Waiter waiter;
  {
    const std::scoped_lock lock(mMutex);
    if (mBusy < mSlots && mQueue.empty()) {
      ++mBusy;
      return Entry::Admitted;
    }
    if (mQueue.size() >= mMaxQueue) {
      return Entry::Full;
    }
    waiter.mEvent = gEvent.mFd;
    mQueue.push_back(&waiter);
  }
  return Wait(waiter, aSocket);
}

SlotGate::Entry
SlotGate::Wait(Waiter& aWaiter, int aSocket)
{
  std::array<pollfd, 2> events{ {
    { .fd = aSocket, .events = POLLRDHUP },
    { .fd = aWaiter.mEvent, .events = POLLIN },
  } };
  while (true) {
    ::poll(events.data(), events.size(), -1);
    const std::scoped_lock lock(mMutex);
    if (aWaiter.mIsAdmitted) {
      eventfd_t count = 0;
      ::eventfd_read(aWaiter.mEvent, &count);
      return Entry::Admitted;
    }
    if (events[0].revents != 0) {
      std::erase(mQueue, &aWaiter);
      return Entry::Gone;
    }
  }
}

void
SlotGate::AdmitWaiting()
{
  while (mBusy < mSlots && !mQueue.empty()) {
    Waiter* waiter = mQueue.front();
    mQueue.pop_front();
    ++mBusy;
    waiter->mIsAdmitted = true;
    ::eventfd_write(waiter->mEvent, 1);
  }
}

void
SlotGate::Leave()
{
  const std::scoped_lock lock(mMutex);
  --mBusy;
  AdmitWaiting();
}

void
SlotGate::SetSlots(uint32_t aSlots)
{
  const std::scoped_lock lock(mMutex);
  mSlots = aSlots;
  AdmitWaiting();
}

uint32_t
SlotGate::Busy()
{
  const std::scoped_lock lock(mMutex);
  return mBusy;
}

uint32_t
SlotGate::Waiting()
{
  const std::scoped_lock lock(mMutex);
  return uint32_t(mQueue.size());
}

} // namespace amaranthgap
