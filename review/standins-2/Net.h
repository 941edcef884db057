#pragma once

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

/** IPv4 address on the loopback network. */
struct Address
{
  std::string mHost;
  int mPort = 0;

  [[nodiscard]] std::string Text() const
  {
    return mHost + ':' + std::to_string(mPort);
  }
  [[nodiscard]] sockaddr_in Raw() const
  {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(uint16_t(mPort));
    inet_pton(AF_INET, mHost.c_str(), &out.sin_addr);
    return out;
  }
};

/** Message of HTTP/1.1; names of headers are in lower case. */
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto it = mHeaders.find(aName);
    return it == mHeaders.end() ? "" : it->second;
  }
  /** @return a word of the first line. */
  [[nodiscard]] std::string Word(size_t aIndex) const
  {
    size_t from = 0;
    for (size_t n = 0; n < aIndex; ++n) {
      const size_t blank = mFirstLine.find(' ', from);
      if (blank == std::string::npos) {
        return "";
      }
      from = blank + 1;
    }
    return mFirstLine.substr(from, mFirstLine.find(' ', from) - from);
  }
};

enum class ReadEnd : uint8_t
{
  Complete,
  Closed,
  TimedOut,
};

/** Blocking TCP connection. */
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aFd)
    : mFd(aFd)
  {
  }
  ~Socket() { Close(); }
  Socket(Socket&& aOther) noexcept
    : mFd(std::exchange(aOther.mFd, -1))
    , mBuffer(std::move(aOther.mBuffer))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    Close();
    mFd = std::exchange(aOther.mFd, -1);
    mBuffer = std::move(aOther.mBuffer);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /** @param aWindowBytes of the receive buffer; 0 for the usual one.
   * @return a connection that is closed if it could not be opened. */
  static Socket Connect(const Address& aTo, int aWindowBytes = 0)
  {
    Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (aWindowBytes > 0) {
      setsockopt(
        out.mFd, SOL_SOCKET, SO_RCVBUF, &aWindowBytes, sizeof aWindowBytes);
    }
    const sockaddr_in to = aTo.Raw();
    if (::connect(out.mFd, reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
        0) {
      out.Close();
      return out;
    }
    out.SetNoDelay();
    return out;
  }

  void SetNoDelay() const
  {
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  [[nodiscard]] bool IsOpen() const { return mFd >= 0; }
  void Close()
  {
    if (mFd >= 0) {
      ::close(std::exchange(mFd, -1));
    }
  }

  /** @return whether all was sent in time. */
  bool Send(std::string_view aData, milliseconds aWait = milliseconds(10'000))
  {
    const TimePoint end = Clock::now() + aWait;
    while (!aData.empty()) {
      pollfd entry{ .fd = mFd, .events = POLLOUT, .revents = 0 };
      if (::poll(&entry, 1, Left(end)) <= 0) {
        return false;
      }
      const ssize_t sent =
        ::send(mFd, aData.data(), aData.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN) {
        return false;
      }
      aData.remove_prefix(size_t(std::max<ssize_t>(sent, 0)));
    }
    return true;
  }

  /** Reads a request or a response with an announced length. */
  ReadEnd Read(Message& aMessage, TimePoint aEnd)
  {
    size_t head = 0;
    while ((head = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (const ReadEnd end = Fill(aEnd); end != ReadEnd::Complete) {
        return end;
      }
    }
    aMessage = ParseHead(mBuffer.substr(0, head));
    mBuffer.erase(0, head + 4);
    const std::string length = aMessage.Header("content-length");
    const size_t size = length.empty() ? 0 : std::stoul(length);
    while (mBuffer.size() < size) {
      if (const ReadEnd end = Fill(aEnd); end != ReadEnd::Complete) {
        return end;
      }
    }
    aMessage.mBody = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    return ReadEnd::Complete;
  }

private:
  static int Left(TimePoint aEnd)
  {
    const auto left =
      std::chrono::duration_cast<milliseconds>(aEnd - Clock::now()).count();
    return int(std::max<int64_t>(left, 0));
  }

  ReadEnd Fill(TimePoint aEnd)
  {
    pollfd entry{ .fd = mFd, .events = POLLIN, .revents = 0 };
    if (mFd < 0) {
      return ReadEnd::Closed;
    }
    if (::poll(&entry, 1, Left(aEnd)) <= 0) {
      return ReadEnd::TimedOut;
    }
    std::string piece(size_t(64) * 1024, '\0');
    const ssize_t count = ::recv(mFd, piece.data(), piece.size(), 0);
    if (count <= 0) {
      return ReadEnd::Closed;
    }
    mBuffer.append(piece, 0, size_t(count));
    return ReadEnd::Complete;
  }

  static Message ParseHead(const std::string& aHead)
  {
    Message out;
    size_t from = aHead.find("\r\n");
    out.mFirstLine = aHead.substr(0, from);
    while (from != std::string::npos) {
      from += 2;
      const size_t end = aHead.find("\r\n", from);
      const std::string line = aHead.substr(from, end - from);
      if (const size_t colon = line.find(':'); colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& it : name) {
          it = char(std::tolower(it));
        }
        const size_t value = line.find_first_not_of(' ', colon + 1);
        out.mHeaders.emplace(
          name, value == std::string::npos ? "" : line.substr(value));
      }
      from = end;
    }
    return out;
  }

  int mFd = -1;
  std::string mBuffer;
};

/** Listening socket. */
class Listener
{
public:
  /** @param aAt with port 0 for any free one. */
  explicit Listener(const Address& aAt)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , mAddress(aAt)
  {
    const int on = 1;
    setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = aAt.Raw();
    socklen_t size = sizeof at;
    constexpr int kBacklog = 1024;
    if (::bind(mSocket, reinterpret_cast<const sockaddr*>(&at), size) != 0 ||
        ::listen(mSocket, kBacklog) != 0) {
      throw std::runtime_error("cannot listen at " + aAt.Text());
    }
    ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&at), &size);
    mAddress.mPort = ntohs(at.sin_port);
  }
  ~Listener() { ::close(mSocket); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] const Address& At() const { return mAddress; }
  /** @return a connection; closed if none came for a while. */
  Socket Accept() const
  {
    constexpr int kWaitMillis = 200;
    pollfd entry{ .fd = mSocket, .events = POLLIN, .revents = 0 };
    if (::poll(&entry, 1, kWaitMillis) <= 0) {
      return {};
    }
    Socket out(::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC));
    if (out.IsOpen()) {
      out.SetNoDelay();
    }
    return out;
  }

private:
  int mSocket;
  Address mAddress;
};

/** @return a port of a host that nobody listens at. */
inline int
FreePort(const std::string& aHost)
{
  return Listener({ aHost, 0 }).At().mPort;
}

} // namespace review
