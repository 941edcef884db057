#pragma once

#include <cstddef>

#include "base/Time.h"

namespace amaranthgap {

/** Decides how long a connection is kept after its sending side was shut down
 * (RFC 9112, 9.6). A socket that is closed earlier answers further bytes of the
 * peer with a reset, which discards what the peer has not acknowledged. Not
 * thread-safe. */
class LingeringClose
{
public:
  struct Options
  {
    /** Longest wait for a peer that acknowledges nothing more. */
    Duration mStallTime = seconds(5);
    /** Longest wait for a peer that has acknowledged everything and neither
     * sends nor closes. */
    Duration mQuietTime = seconds(1);
    /** Longest wait for a peer that has acknowledged everything and goes on
     * sending. */
    Duration mSendingTime = seconds(10);
  };

  /** @param aLastMoved when data was last sent or received.
   * @param aUnacknowledged bytes that the peer has not acknowledged. */
  LingeringClose(TimePoint aNow,
                 TimePoint aLastMoved,
                 size_t aUnacknowledged,
                 const Options& aOptions);

  /** Notes data that was received and discarded. */
  void Received(TimePoint aNow) { mLastMoved = aNow; }

  /** @param aUnacknowledged bytes that the peer has not acknowledged.
   * @return whether the connection is kept no longer. */
  [[nodiscard]] bool IsOver(TimePoint aNow, size_t aUnacknowledged);

private:
  Options mOptions;
  TimePoint mLastMoved;
  TimePoint mLastAcknowledged;
  size_t mUnacknowledged;
};

} // namespace amaranthgap
