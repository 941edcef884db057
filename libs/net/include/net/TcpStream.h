#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/Error.h"
#include "base/Time.h"

namespace amaranthgap {

class EventLoop;

/** How a TCP connection ended. */
enum class StreamEnd : uint8_t
{
  NotConnected,   ///< It was never established, so nothing was sent.
  ClosedByPeer,   ///< The peer closed it in order.
  ConnectionLost, ///< Reset, or silent for longer than the user timeout.
};

/** What a TcpStream tells its owner. */
struct StreamCallbacks
{
  std::function<void()> mOnConnected;
  std::function<void(std::string_view)> mOnData;
  std::function<void(StreamEnd)>
    mOnClosed; ///< At most once; not after Close().
};

/** One TCP connection on an EventLoop. Writes are collected and sent once per
 * turn of the loop. Not safe for use by several threads. */
class TcpStream
{
public:
  struct Options
  {
    Duration mConnectTimeout = seconds(1);
    /** TCP_USER_TIMEOUT: how long sent data may stay unacknowledged. */
    Duration mUserTimeout = seconds(3);
    /** Keep-alive probes after so much silence; zero for none. Resolution:
     * 1 s. */
    Duration mKeepAlive{};
  };

  /** Opens a connection to `ip:port`; the events tell how that went. */
  static std::unique_ptr<TcpStream> Connect(EventLoop& aLoop,
                                            const std::string& aAddress,
                                            const Options& aOptions,
                                            StreamCallbacks aCallbacks);
  /** Ends the connection as Close() does. */
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void SetCallbacks(StreamCallbacks aCallbacks);
  void Write(std::string_view aData);
  /** Sends what is unsent, then closes. No events follow. */
  void Close();
  /** Closes with a reset and drops what is unsent. No events follow. */
  void Reset();
  void PauseReading();
  void ResumeReading();

  /** @return bytes that the kernel has not yet taken. */
  [[nodiscard]] size_t UnsentBytes() const;
  [[nodiscard]] bool IsOpen() const;
  [[nodiscard]] const std::string& Peer() const;

private:
  friend class TcpListener;
  struct Parts;
  explicit TcpStream(Parts* aParts);

  Parts* mParts; ///< Freed by the loop once its handle is closed.
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

  /** Binds `ip:port` and hands over each connection that arrives. */
  Status Listen(const std::string& aAddress,
                const TcpStream::Options& aOptions,
                AcceptCallback aOnAccept);
  /** @return the bound port, for a listener on port 0. */
  [[nodiscard]] uint16_t Port() const;
  /** Accepts no more connections. */
  void Close();

private:
  struct Parts;
  Parts* mParts; ///< Freed by the loop once its handle is closed.
};

} // namespace amaranthgap
