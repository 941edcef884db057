#include "net/EventLoop.h"

#include <ctime>
#include <list>
#include <utility>
#include <vector>

#include <uv.h>

namespace amaranthgap {

namespace {

struct SignalHandler
{
  uv_signal_t mHandle{};
  std::function<void()> mCallback;
};

// Rounds up so that a timer never fires early.
uint64_t
TimerMillis(Duration aDuration)
{
  return aDuration <= Duration::zero()
           ? 0
           : uint64_t(std::chrono::ceil<milliseconds>(aDuration).count());
}

} // namespace

struct EventLoop::Parts
{
  uv_loop_t mLoop{};
  uv_prepare_t mPrepare{};
  std::vector<std::function<void()>> mDeferred;
  std::list<SignalHandler> mSignals;

  void RunDeferred()
  {
    // A deferred callback may defer another one.
    while (!mDeferred.empty()) {
      auto calls = std::exchange(mDeferred, {});
      for (auto& call : calls) {
        call();
      }
    }
  }
};

EventLoop::EventLoop()
  : mParts(std::make_unique<Parts>())
{
  uv_loop_init(&mParts->mLoop);
  uv_prepare_init(&mParts->mLoop, &mParts->mPrepare);
  mParts->mPrepare.data = mParts.get();
  uv_prepare_start(&mParts->mPrepare, [](uv_prepare_t* aHandle) {
    static_cast<Parts*>(aHandle->data)->RunDeferred();
  });
}

EventLoop::~EventLoop()
{
  mParts->RunDeferred();
  for (SignalHandler& it : mParts->mSignals) {
    uv_close(reinterpret_cast<uv_handle_t*>(&it.mHandle), nullptr);
  }
  uv_close(reinterpret_cast<uv_handle_t*>(&mParts->mPrepare), nullptr);
  // The close callback of one handle may close another handle.
  constexpr int kMaxIterations = 10;
  for (int n = 0;
       uv_loop_close(&mParts->mLoop) == UV_EBUSY && n < kMaxIterations;
       ++n) {
    uv_run(&mParts->mLoop, UV_RUN_NOWAIT);
  }
}

// CLOCK_MONOTONIC stops while a host is suspended: requests that were due in
// that time would seem to have time left.
TimePoint
EventLoop::Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

void
EventLoop::Run()
{
  uv_run(&mParts->mLoop, UV_RUN_DEFAULT);
}

void
EventLoop::RunFor(Duration aWait)
{
  Timer limit(*this);
  limit.Start(aWait, Duration::zero(), [] {});
  uv_run(&mParts->mLoop, UV_RUN_ONCE);
}

void
EventLoop::Stop()
{
  uv_stop(&mParts->mLoop);
}

void
EventLoop::Defer(std::function<void()> aCallback)
{
  mParts->mDeferred.push_back(std::move(aCallback));
}

void
EventLoop::OnSignal(int aSignal, std::function<void()> aCallback)
{
  SignalHandler& handler = mParts->mSignals.emplace_back();
  handler.mCallback = std::move(aCallback);
  uv_signal_init(&mParts->mLoop, &handler.mHandle);
  handler.mHandle.data = &handler;
  uv_signal_start(
    &handler.mHandle,
    [](uv_signal_t* aHandle, int) {
      static_cast<SignalHandler*>(aHandle->data)->mCallback();
    },
    aSignal);
}

uv_loop_s*
EventLoop::Handle()
{
  return &mParts->mLoop;
}

struct Timer::Parts
{
  uv_timer_t mHandle{};
  std::function<void()> mCallback;
};

Timer::Timer(EventLoop& aLoop)
  : mParts(new Parts)
{
  uv_timer_init(aLoop.Handle(), &mParts->mHandle);
  mParts->mHandle.data = mParts;
}

Timer::~Timer()
{
  mParts->mCallback = nullptr;
  uv_close(
    reinterpret_cast<uv_handle_t*>(&mParts->mHandle),
    [](uv_handle_t* aHandle) { delete static_cast<Parts*>(aHandle->data); });
}

void
Timer::Start(Duration aDelay, Duration aRepeat, std::function<void()> aCallback)
{
  mParts->mCallback = std::move(aCallback);
  uv_timer_start(
    &mParts->mHandle,
    [](uv_timer_t* aHandle) {
      // The callback may replace itself or destroy the timer.
      const auto call = static_cast<Parts*>(aHandle->data)->mCallback;
      if (call) {
        call();
      }
    },
    TimerMillis(aDelay),
    TimerMillis(aRepeat));
}

void
Timer::Stop()
{
  uv_timer_stop(&mParts->mHandle);
}

} // namespace amaranthgap
