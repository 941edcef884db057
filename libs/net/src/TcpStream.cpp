#include "net/TcpStream.h"

#include <array>
#include <cmath>
#include <deque>
#include <optional>
#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <uv.h>

#include "base/Address.h"
#include "net/EventLoop.h"
#include "net/LingeringClose.h"

namespace amaranthgap {

namespace {

constexpr size_t kReadBufferBytes = size_t(64) * 1024;
// Data beyond a send buffer of this size waits in pieces: a buffer that grows
// takes up to three times its size while it is copied.
constexpr size_t kMaxBufferBytes = size_t(256) * 1024;
// A larger send buffer is freed once it is empty.
constexpr size_t kMaxKeptBytes = size_t(16) * 1024;
// Listen backlog, in connections. The kernel drops connection attempts beyond
// it, which TCP retransmits only after a second.
constexpr int kBacklog = 1024;
// Pause between looks at what the peer of a finished stream has acknowledged.
constexpr Duration kLingerPause = milliseconds(100);

bool
ReadAddress(const std::string& aAddress, sockaddr_in& aParsed)
{
  const auto address = ParseAddress(aAddress);
  return address &&
         uv_ip4_addr(address->mHost.c_str(), address->mPort, &aParsed) == 0;
}

std::string
FormatAddress(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  uv_ip4_name(&aAddress, text.data(), text.size());
  return std::string(text.data()) + ':' +
         std::to_string(ntohs(aAddress.sin_port));
}

} // namespace

struct TcpStream::Parts
{
  struct WriteRequest
  {
    uv_write_t mRequest{};
    std::string mData;
    Parts* mStream = nullptr;
  };

  explicit Parts(EventLoop& aLoop)
    : mLoop(aLoop)
  {
    uv_tcp_init(aLoop.Handle(), &mTcp);
    mTcp.data = this;
  }

  uv_stream_t* Stream() { return reinterpret_cast<uv_stream_t*>(&mTcp); }
  uv_handle_t* AsHandle() { return reinterpret_cast<uv_handle_t*>(&mTcp); }

  void Configure(const Options& aOptions)
  {
    mUserTimeout = aOptions.mUserTimeout;
    mUnsentShare = MemoryAccount::Share(aOptions.mAccount, aOptions.mUse);
    uv_tcp_nodelay(&mTcp, 1);
    if (aOptions.mKeepAlive > Duration::zero()) {
      uv_tcp_keepalive(
        &mTcp, 1, unsigned(std::lround(ToSeconds(aOptions.mKeepAlive))));
    }
    uv_os_fd_t fd = -1;
    if (uv_fileno(AsHandle(), &fd) == 0) {
      const auto timeout = unsigned(ToMillis(aOptions.mUserTimeout));
      setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    }
  }

  void StartReading()
  {
    if (!mClosing && mConnected && !mPaused) {
      uv_read_start(Stream(), &Parts::Allocate, &Parts::Received);
    }
  }

  static void Allocate(uv_handle_t*, size_t, uv_buf_t* aBuffer)
  {
    // All streams of a thread share one buffer: the data callback returns
    // before the next read.
    thread_local std::array<char, kReadBufferBytes> buffer;
    *aBuffer = uv_buf_init(buffer.data(), unsigned(buffer.size()));
  }

  static void Received(uv_stream_t* aStream,
                       ssize_t aCount,
                       const uv_buf_t* aBuffer)
  {
    auto* self = static_cast<Parts*>(aStream->data);
    if (aCount > 0) {
      if (self->mLinger) {
        self->mLinger->Received(EventLoop::Now());
      } else if (self->mCallbacks.mOnData) {
        // The callback may replace the events or close the stream.
        const auto call = self->mCallbacks.mOnData;
        call({ aBuffer->base, size_t(aCount) });
      }
    } else if (aCount == UV_EOF) {
      self->ReceivedEnd();
    } else if (aCount < 0) {
      self->End(StreamEnd::ConnectionLost);
    }
  }

  void ReceivedEnd()
  {
    if (!ReadsEnd()) {
      End(StreamEnd::ConnectionLost);
    } else if (UnsentBytes() > 0 && (mLinger || mCallbacks.mOnHalfClosed)) {
      mHasReadEnd = true;
      if (const auto call = std::exchange(mCallbacks.mOnHalfClosed, {})) {
        call();
      }
    } else if (mBytesInWrite == 0) {
      End(StreamEnd::ClosedByPeer);
    } else {
      // The queued write may have failed and taken the error of a reset off the
      // socket, which then reads as ended. libuv reports that before the next
      // flush.
      mHasReadEnd = true;
      ScheduleFlush();
    }
  }

  // After a partial read, libuv reports a hang-up as EOF without reading again,
  // which hides a reset.
  [[nodiscard]] bool ReadsEnd() const
  {
    uv_os_fd_t fd = -1;
    char byte = 0;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&mTcp), &fd) == 0 &&
           ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  void WriteFailed(int aEc)
  {
    // A reset gives EPIPE only behind a FIN, which has ended the data.
    End(mHasReadEnd && aEc == UV_EPIPE ? StreamEnd::ClosedByPeer
                                       : StreamEnd::ConnectionLost);
  }

  void End(StreamEnd aEnd)
  {
    if (mClosing) {
      return;
    }
    const auto call = std::exchange(mCallbacks, {}).mOnClosed;
    CloseHandle();
    if (call) {
      call(aEnd);
    }
  }

  void CloseHandle()
  {
    if (!mClosing) {
      mClosing = true;
      mCallbacks = {};
      mSendBuffer = std::string();
      mPieces.clear();
      mPieceBytes = 0;
      CountUnsent();
      if (mConnectTimer) {
        mConnectTimer->Stop();
      }
      mLingerTimer.reset();
      uv_close(AsHandle(), [](uv_handle_t* aHandle) {
        auto* self = static_cast<Parts*>(aHandle->data);
        self->mClosed = true;
        self->DeleteIfUnused();
      });
    }
  }

  void DeleteIfUnused()
  {
    if (mClosed && mOwnerDestroyed && !mFlushScheduled) {
      delete this;
    }
  }

  void ScheduleFlush()
  {
    if (mFlushScheduled || mClosing) {
      return;
    }
    mFlushScheduled = true;
    mLoop.Defer([this] {
      mFlushScheduled = false;
      Flush();
      DeleteIfUnused();
    });
  }

  void Flush()
  {
    if (mHasReadEnd && !mLinger) {
      End(StreamEnd::ClosedByPeer);
    }
    if (mClosing || !mConnected || mBytesInWrite) {
      return;
    }
    TakePiece();
    while (!mSendBuffer.empty()) {
      uv_buf_t buf =
        uv_buf_init(mSendBuffer.data(), unsigned(mSendBuffer.size()));
      const int sent = uv_try_write(Stream(), &buf, 1);
      if (sent < 0 && sent != UV_EAGAIN) {
        End(StreamEnd::ConnectionLost);
        return;
      }
      mSendBuffer.erase(0, size_t(std::max(sent, 0)));
      if (!mSendBuffer.empty()) {
        WriteAsync();
        break;
      }
      if (mSendBuffer.capacity() > kMaxKeptBytes) {
        mSendBuffer = std::string();
      }
      TakePiece();
    }
    CountUnsent();
    if (mBytesInWrite == 0) {
      AllDataSent();
    }
  }

  void AllDataSent()
  {
    if (mCloseWhenSent) {
      CloseHandle();
    } else if (!mLinger) {
      TellDrained();
    } else if (mHasReadEnd) {
      End(StreamEnd::ClosedByPeer);
    } else if (!std::exchange(mHasShutDown, true)) {
      uv_shutdown(&mShutdown, Stream(), [](uv_shutdown_t*, int) {});
    }
  }

  void Finish(TimePoint aLastMoved)
  {
    mCallbacks.mOnData = {};
    mCallbacks.mOnDrained = {};
    mCallbacks.mOnHalfClosed = {};
    mLinger.emplace(EventLoop::Now(),
                    aLastMoved,
                    UnacknowledgedBytes(),
                    LingeringClose::Options{ .mStallTime = mUserTimeout });
    if (std::exchange(mPaused, false)) {
      StartReading();
    }
    mLingerTimer = std::make_unique<Timer>(mLoop);
    mLingerTimer->Start(
      Duration::zero(), kLingerPause, [this] { CheckLinger(); });
    ScheduleFlush();
  }

  void CheckLinger()
  {
    const size_t missing = UnacknowledgedBytes();
    if (!mLinger->IsOver(EventLoop::Now(), missing)) {
      return;
    }
    if (missing > 0) {
      AbortOnClose();
    }
    End(missing > 0 ? StreamEnd::ConnectionLost : StreamEnd::Finished);
  }

  /** Lets the close of the socket discard what is unacknowledged, and send a
   * reset. */
  void AbortOnClose()
  {
    uv_os_fd_t fd = -1;
    if (uv_fileno(AsHandle(), &fd) == 0) {
      const linger abort{ .l_onoff = 1, .l_linger = 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    }
  }

  [[nodiscard]] size_t UnsentBytes() const
  {
    return mSendBuffer.size() + mPieceBytes + mBytesInWrite;
  }

  /** @return the bytes that the peer has not acknowledged, without the FIN. */
  [[nodiscard]] size_t UnacknowledgedBytes() const
  {
    const auto* stream = reinterpret_cast<const uv_stream_t*>(&mTcp);
    const size_t unsent =
      mSendBuffer.size() + mPieceBytes + uv_stream_get_write_queue_size(stream);
    uv_os_fd_t fd = -1;
    int queued = 0;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&mTcp), &fd) != 0 ||
        ioctl(fd, SIOCOUTQ, &queued) != 0) {
      return unsent;
    }
    const bool hasFin = mHasShutDown && queued > 0;
    return unsent + size_t(queued) - (hasFin ? 1 : 0);
  }

  void Append(std::string aData)
  {
    if (mPieces.empty() && mSendBuffer.size() < kMaxBufferBytes) {
      if (mSendBuffer.empty()) {
        mSendBuffer = std::move(aData);
      } else {
        mSendBuffer.append(aData);
      }
      return;
    }
    mPieceBytes += aData.size();
    if (!mPieces.empty() &&
        mPieces.back().size() + aData.size() < kMaxBufferBytes) {
      mPieces.back().append(aData);
    } else {
      mPieces.push_back(std::move(aData));
    }
  }

  void TakePiece()
  {
    if (mSendBuffer.empty() && !mPieces.empty()) {
      mSendBuffer = std::move(mPieces.front());
      mPieces.pop_front();
      mPieceBytes -= mSendBuffer.size();
    }
  }

  void TellDrained()
  {
    if (mSendBuffer.empty() && mPieces.empty() && mBytesInWrite == 0 &&
        std::exchange(mHasWaited, false)) {
      // The callback may replace the events or close the stream.
      if (const auto call = mCallbacks.mOnDrained) {
        call();
      }
    }
  }

  void CountUnsent()
  {
    mUnsentShare.Set((mSendBuffer.empty() ? 0 : mSendBuffer.capacity()) +
                     mPieceBytes + mBytesInWrite);
  }

  // Queues the unsent data in libuv, which writes it when the socket is
  // writable.
  void WriteAsync()
  {
    auto* write = new WriteRequest;
    write->mData.swap(mSendBuffer);
    write->mStream = this;
    write->mRequest.data = write;
    mBytesInWrite = write->mData.size();
    mHasWaited = true;
    uv_buf_t buf =
      uv_buf_init(write->mData.data(), unsigned(write->mData.size()));
    uv_write(
      &write->mRequest, Stream(), &buf, 1, [](uv_write_t* aRequest, int aEc) {
        const std::unique_ptr<WriteRequest> done(
          static_cast<WriteRequest*>(aRequest->data));
        Parts* self = done->mStream;
        self->mBytesInWrite = 0;
        self->CountUnsent();
        if (aEc < 0) {
          self->WriteFailed(aEc);
        } else if (!self->mSendBuffer.empty() || !self->mPieces.empty()) {
          self->ScheduleFlush();
        } else {
          self->AllDataSent();
        }
      });
  }

  EventLoop& mLoop;
  uv_tcp_t mTcp{};
  uv_connect_t mConnect{};
  uv_shutdown_t mShutdown{};
  std::unique_ptr<Timer> mConnectTimer;
  StreamCallbacks mCallbacks;
  std::string mPeer;
  std::string mSendBuffer;
  std::deque<std::string> mPieces; ///< Behind the send buffer.
  size_t mPieceBytes = 0;          ///< In all of them.
  size_t mBytesInWrite = 0;        ///< Bytes in the pending uv_write().
  MemoryAccount::Share mUnsentShare;
  Duration mUserTimeout{};
  std::optional<LingeringClose> mLinger; ///< Set by Finish().
  std::unique_ptr<Timer> mLingerTimer;
  bool mConnected = false;
  bool mPaused = false;
  bool mCloseWhenSent = false;
  bool mHasReadEnd = false;  ///< End of the data read while a write is pending.
  bool mHasShutDown = false; ///< A FIN follows the data that was sent.
  /** Much data, or some that the socket did not take, since the buffer was
   * empty. */
  bool mHasWaited = false;
  bool mFlushScheduled = false;
  bool mClosing = false;
  bool mClosed = false;
  bool mOwnerDestroyed = false; ///< The TcpStream is destroyed.
};

TcpStream::TcpStream(Parts* aParts)
  : mParts(aParts)
{
}

std::unique_ptr<TcpStream>
TcpStream::Connect(EventLoop& aLoop,
                   const std::string& aAddress,
                   const Options& aOptions,
                   StreamCallbacks aCallbacks)
{
  auto* parts = new Parts(aLoop);
  std::unique_ptr<TcpStream> stream(new TcpStream(parts));
  parts->mCallbacks = std::move(aCallbacks);
  parts->mPeer = aAddress;
  parts->mConnect.data = parts;
  sockaddr_in to{};
  const bool valid = ReadAddress(aAddress, to);
  const int ec =
    valid
      ? uv_tcp_connect(&parts->mConnect,
                       &parts->mTcp,
                       reinterpret_cast<const sockaddr*>(&to),
                       [](uv_connect_t* aRequest, int aStatus) {
                         auto* self = static_cast<Parts*>(aRequest->data);
                         if (aStatus == UV_ECANCELED || self->mClosing) {
                           return;
                         }
                         if (aStatus < 0) {
                           self->End(StreamEnd::NotConnected);
                           return;
                         }
                         self->mConnected = true;
                         self->mConnectTimer->Stop();
                         self->StartReading();
                         if (const auto call = self->mCallbacks.mOnConnected) {
                           call();
                         }
                         self->ScheduleFlush();
                       })
      : UV_EINVAL;
  parts->mConnectTimer = std::make_unique<Timer>(aLoop);
  parts->Configure(aOptions);
  parts->mConnectTimer->Start(ec < 0 ? Duration::zero()
                                     : aOptions.mConnectTimeout,
                              Duration::zero(),
                              [parts] { parts->End(StreamEnd::NotConnected); });
  return stream;
}

TcpStream::~TcpStream()
{
  Close();
  mParts->mOwnerDestroyed = true;
  mParts->DeleteIfUnused();
}

void
TcpStream::SetCallbacks(StreamCallbacks aCallbacks)
{
  if (!mParts->mClosing) {
    mParts->mCallbacks = std::move(aCallbacks);
  }
}

void
TcpStream::Write(std::string aData)
{
  if (IsOpen()) {
    mParts->Append(std::move(aData));
    mParts->mHasWaited |= mParts->mSendBuffer.size() > kReadBufferBytes;
    mParts->CountUnsent();
    mParts->ScheduleFlush();
  }
}

void
TcpStream::Finish(TimePoint aLastMoved)
{
  if (IsOpen()) {
    mParts->Finish(aLastMoved);
  }
}

void
TcpStream::Close()
{
  mParts->mCallbacks = {};
  if (mParts->mClosing) {
    return;
  }
  if (mParts->mConnected && UnsentBytes() > 0) {
    mParts->mCloseWhenSent = true;
    return;
  }
  mParts->CloseHandle();
}

void
TcpStream::Reset()
{
  if (!mParts->mClosing) {
    mParts->AbortOnClose();
  }
  mParts->CloseHandle();
}

void
TcpStream::PauseReading()
{
  mParts->mPaused = true;
  if (!mParts->mClosing && mParts->mConnected) {
    uv_read_stop(mParts->Stream());
  }
}

void
TcpStream::ResumeReading()
{
  if (std::exchange(mParts->mPaused, false)) {
    mParts->StartReading();
  }
}

size_t
TcpStream::UnsentBytes() const
{
  return mParts->UnsentBytes();
}

bool
TcpStream::IsOpen() const
{
  return !mParts->mClosing && !mParts->mCloseWhenSent && !mParts->mLinger;
}

bool
TcpStream::IsConnected() const
{
  return mParts->mConnected;
}

const std::string&
TcpStream::Peer() const
{
  return mParts->mPeer;
}

struct TcpListener::Parts
{
  EventLoop& mLoop;
  uv_tcp_t mTcp{};
  TcpStream::Options mOptions{};
  AcceptCallback mOnAccept{};

  uv_handle_t* AsHandle() { return reinterpret_cast<uv_handle_t*>(&mTcp); }

  void AcceptConnection(uv_stream_t* aServer)
  {
    auto* parts = new TcpStream::Parts(mLoop);
    std::unique_ptr<TcpStream> stream(new TcpStream(parts));
    if (uv_accept(aServer, parts->Stream()) != 0) {
      return;
    }
    parts->mConnected = true;
    parts->Configure(mOptions);
    sockaddr_in peer{};
    int length = sizeof peer;
    uv_tcp_getpeername(
      &parts->mTcp, reinterpret_cast<sockaddr*>(&peer), &length);
    parts->mPeer = FormatAddress(peer);
    mOnAccept(std::move(stream));
    // Valid even if mOnAccept destroyed the stream: parts is deleted only after
    // libuv has closed the handle.
    parts->StartReading();
  }
};

TcpListener::TcpListener(EventLoop& aLoop)
  : mParts(new Parts{ .mLoop = aLoop })
{
  uv_tcp_init(aLoop.Handle(), &mParts->mTcp);
  mParts->mTcp.data = mParts;
}

TcpListener::~TcpListener()
{
  Close();
}

Status
TcpListener::Listen(const std::string& aAddress,
                    const TcpStream::Options& aOptions,
                    AcceptCallback aOnAccept)
{
  const auto fail = [&](int aEc) {
    return Error{ Step::Listen, aAddress, uv_strerror(aEc) };
  };
  sockaddr_in at{};
  if (!ReadAddress(aAddress, at)) {
    return fail(UV_EINVAL);
  }
  mParts->mOptions = aOptions;
  mParts->mOnAccept = std::move(aOnAccept);
  if (const int ec =
        uv_tcp_bind(&mParts->mTcp, reinterpret_cast<const sockaddr*>(&at), 0);
      ec < 0) {
    return fail(ec);
  }
  if (const int ec = uv_listen(
        reinterpret_cast<uv_stream_t*>(&mParts->mTcp),
        kBacklog,
        [](uv_stream_t* aServer, int aStatus) {
          if (aStatus == 0) {
            static_cast<Parts*>(aServer->data)->AcceptConnection(aServer);
          }
        });
      ec < 0) {
    return fail(ec);
  }
  return boost::outcome_v2::success();
}

uint16_t
TcpListener::Port() const
{
  sockaddr_in at{};
  int length = sizeof at;
  uv_tcp_getsockname(&mParts->mTcp, reinterpret_cast<sockaddr*>(&at), &length);
  return ntohs(at.sin_port);
}

void
TcpListener::Close()
{
  if (mParts) {
    uv_close(mParts->AsHandle(), [](uv_handle_t* aHandle) {
      delete static_cast<Parts*>(aHandle->data);
    });
    mParts = nullptr;
  }
}

} // namespace amaranthgap
