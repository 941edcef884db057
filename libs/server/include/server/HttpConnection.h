#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "base/Time.h"
#include "server/HttpFraming.h"
#include "wire/Http.h"

namespace amaranthgap {

/**
 * One accepted connection of an HttpListener. At most one thread holds it at a
 * time: a worker that reads, or whoever answers its request. The mutex covers
 * what other threads look at.
 */
class HttpConnection
{
public:
  enum class State : uint8_t
  {
    Idle,    ///< Waits for the first byte of a request.
    Reading, ///< A request has arrived in part.
    Serving, ///< A request is with its handler.
    Writing, ///< A part of an answer waits for the client to read.
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
  /** Writes what the socket takes at once and keeps the rest in mOutput.
   * @return false when the connection is broken. */
  bool WriteAvailable();
  void MarkGone();

  int mSocket;  ///< Constant.
  uint64_t mId; ///< Constant.

  // Used by the thread that holds the connection.
  std::string mBuffer;
  size_t mCharged = 0; ///< Share of mBuffer in the total of the listener.
  RequestFramer mFramer;
  std::string mOutput;      ///< Rest of an answer.
  bool mCounted = false;    ///< Is among the requests without a written answer.
  bool mKeepAfter = true;   ///< Whether the present request allows another.
  bool mCloseAfter = false; ///< Whether the present answer is the last.
  bool mIsHead = false;     ///< The present request is a HEAD request.

  /** End of the present state; not applied while serving. Read without the
   * mutex, so that a sweep over idle connections takes no lock for each. */
  std::atomic<TimePoint> mDeadline{ TimePoint{} };

  std::mutex mMutex; ///< Guards the members below.
  State mState = State::Idle;
  bool mTimedOut = false;
  bool mHeld = false;
  bool mAgain = false; ///< An event came while the connection was held.
  bool mInHandler = false;
  std::optional<HttpResponse> mResponse; ///< Given while in the handler.
  bool mGone = false;
  std::function<void()> mOnGone;
};

} // namespace amaranthgap
