#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/MemoryAccount.h"
#include "base/Time.h"

namespace amaranthgap {

class EventLoop;

/** How a TCP connection ended. */
enum class StreamEnd : uint8_t
{
  NotConnected,   ///< Never established; nothing was sent.
  ClosedByPeer,   ///< The peer sent a FIN.
  ConnectionLost, ///< Reset or failed, e.g. after the user timeout.
  Finished,       ///< Finish() is over; the peer acknowledged all data.
};

/** Callbacks of a TcpStream. */
struct StreamCallbacks
{
  std::function<void()> mOnConnected;
  std::function<void(std::string_view)> mOnData;
  /** All buffered data was written to the socket. Called only if some of it had
   * to wait, or if it was more than some kilobytes. */
  std::function<void()> mOnDrained;
  /** The peer sent a FIN while data was unsent, which it may still read: the
   * callback calls Finish(). Without this callback the connection ends. */
  std::function<void()> mOnHalfClosed;
  /** Called at most once, and not after Close() or Reset(). */
  std::function<void(StreamEnd)> mOnClosed;
};

/** One TCP connection on an EventLoop. Writes are buffered and sent once per
 * loop iteration. Not thread-safe. */
class TcpStream
{
public:
  struct Options
  {
    Duration mConnectTimeout = seconds(1);
    /** TCP_USER_TIMEOUT: the longest time that sent data may stay
     * unacknowledged. */
    Duration mUserTimeout = seconds(3);
    /** Idle time before TCP keep-alive probes, rounded to 1 s; zero disables
     * them. */
    Duration mKeepAlive{};
    /** Counts the unsent bytes if it is set, also those of a stream that was
     * closed. */
    std::shared_ptr<MemoryAccount> mAccount;
    MemoryUse mUse = MemoryUse::CallerOutput;
  };

  /** Starts connecting to `ip:port`; reports success to mOnConnected and
   * failure to mOnClosed. */
  static std::unique_ptr<TcpStream> Connect(EventLoop& aLoop,
                                            const std::string& aAddress,
                                            const Options& aOptions,
                                            StreamCallbacks aCallbacks);
  /** Calls Close(). */
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void SetCallbacks(StreamCallbacks aCallbacks);
  void Write(std::string aData);
  /** Sends the buffered data, then a FIN, and discards what the peer still
   * sends until it closes or LingeringClose gives it up: it loses nothing by
   * sending late. Only mOnClosed follows, in a later turn of the loop.
   * @param aLastMoved when data was last sent or received. */
  void Finish(TimePoint aLastMoved);
  /** Closes after sending the buffered data. What the peer still sends is
   * answered with a reset, by which it may lose data. No callbacks follow. */
  void Close();
  /** Sends a TCP reset and discards buffered data. No callbacks follow. */
  void Reset();
  void PauseReading();
  void ResumeReading();

  /** @return the bytes not yet written to the socket. */
  [[nodiscard]] size_t UnsentBytes() const;
  [[nodiscard]] bool IsOpen() const;
  /** @return whether the connection was established. */
  [[nodiscard]] bool IsConnected() const;
  [[nodiscard]] const std::string& Peer() const;

private:
  friend class TcpListener;
  struct Parts;
  explicit TcpStream(Parts* aParts);

  Parts* mParts; ///< Deleted when libuv has closed the handle.
};

/** Accepts TCP connections on an EventLoop. */
class TcpListener
{
public:
  using AcceptCallback = std::function<void(std::unique_ptr<TcpStream>)>;

  explicit TcpListener(EventLoop& aLoop);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /** Binds `ip:port` and passes each accepted connection to aOnAccept. Fails
   * when the address is invalid or cannot be bound. */
  Status Listen(const std::string& aAddress,
                const TcpStream::Options& aOptions,
                AcceptCallback aOnAccept);
  /** @return the bound port, for a listener on port 0. */
  [[nodiscard]] uint16_t Port() const;
  /** Stops accepting connections. */
  void Close();

private:
  struct Parts;
  Parts* mParts; ///< Deleted when libuv has closed the handle.
};

} // namespace amaranthgap
