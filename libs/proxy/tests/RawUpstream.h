#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/Address.h"

namespace amaranthgap {

/** Upstream on a thread of its own, whose script writes any bytes and ends the
 * connection at any moment of the proxies' event loop. Serves one connection
 * after the other, with one request each. */
class RawUpstream
{
public:
  /** One connection whose request head has been read. */
  class Connection
  {
  public:
    Connection(int aSocket, std::string aHead)
      : mSocket(aSocket)
      , mHead(std::move(aHead))
    {
    }

    /** @return whether the request is for this path. */
    [[nodiscard]] bool IsFor(std::string_view aPath) const
    {
      const size_t at = mHead.find(' ') + 1;
      return mHead.substr(at, mHead.find(' ', at) - at) == aPath;
    }
    /** @return the value of a header, or an empty string. */
    [[nodiscard]] std::string Header(const std::string& aName) const
    {
      const std::string start = "\r\n" + aName + ": ";
      size_t at = mHead.find(start);
      if (at == std::string::npos) {
        return {};
      }
      at += start.size();
      return mHead.substr(at, mHead.find("\r\n", at) - at);
    }
    void Write(const std::string& aBytes) const
    {
      (void)!::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    }
    /** Reads aCount bytes of the body, or up to its end. */
    void Read(size_t aCount) const
    {
      std::string buf(size_t(64) * 1024, '\0');
      while (aCount > 0) {
        const ssize_t n =
          ::recv(mSocket, buf.data(), std::min(buf.size(), aCount), 0);
        if (n <= 0) {
          return;
        }
        aCount -= size_t(n);
      }
    }
    /** Sends a FIN and keeps on reading. */
    void ShutDownWriting() const { ::shutdown(mSocket, SHUT_WR); }
    /** Lets the end of the connection be a reset, whatever is unread. */
    void ResetAtEnd() const
    {
      const linger abort{ .l_onoff = 1, .l_linger = 0 };
      ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    }

  private:
    int mSocket;
    std::string mHead;
  };
  /** The connection is closed when the script returns. */
  using Script = std::function<void(const Connection&)>;

  RawUpstream(const std::string& aAddress, Script aScript)
    : mScript(std::move(aScript))
    , mListener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    const auto parsed = ParseAddress(aAddress);
    REQUIRE(parsed);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(parsed->mPort);
    REQUIRE(::inet_pton(AF_INET, parsed->mHost.c_str(), &at.sin_addr) == 1);
    const int yes = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    REQUIRE(::bind(mListener,
                   reinterpret_cast<const sockaddr*>(&at),
                   sizeof at) == 0);
    REQUIRE(::listen(mListener, 64) == 0);
    mThread = std::thread([this] { Run(); });
  }
  ~RawUpstream()
  {
    mIsEnding = true;
    mThread.join();
    ::close(mListener);
  }
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;

private:
  void Run()
  {
    while (!mIsEnding) {
      pollfd fd{ .fd = mListener, .events = POLLIN, .revents = 0 };
      if (::poll(&fd, 1, 10) != 1) {
        continue;
      }
      const int socket = ::accept(mListener, nullptr, nullptr);
      const timeval wait{ .tv_sec = 5, .tv_usec = 0 };
      ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
      ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
      if (std::string head = ReadHead(socket); !head.empty()) {
        mScript(Connection(socket, std::move(head)));
      }
      ::close(socket);
    }
  }

  // Reads nothing of a body, which stays in the socket.
  static std::string ReadHead(int aSocket)
  {
    std::string out;
    char byte = 0;
    while (!out.ends_with("\r\n\r\n")) {
      if (::recv(aSocket, &byte, 1, 0) != 1) {
        return {};
      }
      out += byte;
    }
    return out;
  }

  Script mScript;
  int mListener;
  std::atomic<bool> mIsEnding = false;
  std::thread mThread;
};

} // namespace amaranthgap
