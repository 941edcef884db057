#pragma once

#include <cstdint>
#include <deque>
#include <mutex>

namespace amaranthgap {

/** Bounds the parallel work of an upstream; further requests wait in order of
 * arrival. Safe for use by several threads. */
class SlotGate
{
public:
  enum class Entry : uint8_t
  {
    Admitted,
    Full, ///< The queue has its full length.
    Gone, ///< The connection was closed while waiting.
  };

  SlotGate(uint32_t aSlots, uint32_t aMaxQueue)
    : mSlots(aSlots)
    , mMaxQueue(aMaxQueue)
  {
  }

  /** Waits for a slot for as long as the connection is open. */
  Entry Enter(int aSocket);
  void Leave();
  void SetSlots(uint32_t aSlots);

  [[nodiscard]] uint32_t Busy();
  [[nodiscard]] uint32_t Waiting();

private:
  struct Waiter
  {
    int mEvent = -1;
    bool mIsAdmitted = false;
  };

  void AdmitWaiting();
  Entry Wait(Waiter& aWaiter, int aSocket);

  std::mutex mMutex;
  uint32_t mSlots;
  uint32_t mMaxQueue;
  uint32_t mBusy = 0;
  std::deque<Waiter*> mQueue;
};

} // namespace amaranthgap
