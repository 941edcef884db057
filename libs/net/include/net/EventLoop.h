#pragma once

#include <functional>
#include <memory>

#include "base/Time.h"

struct uv_loop_s;

namespace amaranthgap {

/** Single-threaded event loop on libuv. Does not own the streams, listeners and
 * timers that use it; they must be closed before it is destroyed. Not
 * thread-safe. */
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Runs the loop until Stop() is called. */
  void Run();
  /** Waits at most aWait for an event, then handles all pending events. */
  void RunFor(Duration aWait);
  void Stop();

  [[nodiscard]] static TimePoint Now();

  /** Calls aCallback once, after the pending events are handled and before the
   * loop waits for new ones. */
  void Defer(std::function<void()> aCallback);

  /** Calls aCallback each time the process receives aSignal. */
  void OnSignal(int aSignal, std::function<void()> aCallback);

  [[nodiscard]] uv_loop_s* Handle();

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

/** Timer on an EventLoop. Destroying it stops it. */
class Timer
{
public:
  explicit Timer(EventLoop& aLoop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /** Calls aCallback after aDelay, then every aRepeat unless that is zero.
   * Replaces an earlier Start(). Durations are rounded up to 1 ms. */
  void Start(Duration aDelay,
             Duration aRepeat,
             std::function<void()> aCallback);
  void Stop();

private:
  struct Parts;
  Parts* mParts; ///< Deleted when libuv has closed the handle.
};

} // namespace amaranthgap
