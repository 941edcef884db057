#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "base/Time.h"
#include "server/HttpFraming.h"

namespace amaranthgap {

/**
 * One accepted connection of an HttpListener. At most one worker reads, serves
 * and writes at a time; the mutex covers what other threads look at.
 */
class HttpConnection
{
public:
  enum class State : uint8_t
  {
    Idle,    ///< Waits for the first byte of a request.
    Reading, ///< A request has arrived in part.
    Serving,
    Closing, ///< The answer is sent; what still arrives is discarded.
  };

  HttpConnection(int aSocket, uint64_t aId, RequestFramer::Limits aLimits);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Sets what is called, on any thread, when the client disconnects while its
   * request is served. An empty function ends it. */
  void SetOnGone(std::function<void()> aOnGone);

  /** @return whether the client is known to have disconnected. */
  [[nodiscard]] bool IsGone();

private:
  friend class HttpListener;

  enum class ReadResult : uint8_t
  {
    Drained, ///< Nothing more to read at present.
    Full,    ///< A request of the largest size is in the buffer.
    Ended,   ///< The client closed its side, or the connection broke.
  };

  ReadResult ReadAvailable(size_t aMaxBuffer);
  bool WriteAll(const std::string& aData, Duration aTimeout);
  void MarkGone();

  const int mSocket;
  const uint64_t mId;

  // Used by the worker that holds the connection.
  std::string mBuffer;
  RequestFramer mFramer;

  std::mutex mMutex; ///< Guards the members below.
  State mState = State::Idle;
  TimePoint mDeadline{}; ///< End of the present state; none while serving.
  bool mTimedOut = false;
  bool mHeld = false;  ///< A worker reads, serves or writes.
  bool mAgain = false; ///< An event came while a worker held the connection.
  bool mGone = false;
  std::function<void()> mOnGone;
};

} // namespace amaranthgap
