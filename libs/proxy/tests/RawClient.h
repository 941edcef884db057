#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthgap {

/** Client with a small receive buffer, which sends and reads only when a test
 * says so. */
class RawClient
{
public:
  RawClient(const std::string& aHost, uint16_t aPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    constexpr int kWindowBytes = 4096;
    ::setsockopt(
      mSocket, SOL_SOCKET, SO_RCVBUF, &kWindowBytes, sizeof kWindowBytes);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(aPort);
    ::inet_pton(AF_INET, aHost.c_str(), &to.sin_addr);
    REQUIRE(::connect(
              mSocket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    ::fcntl(mSocket, F_SETFL, O_NONBLOCK);
  }
  ~RawClient() { ::close(mSocket); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  /** Queues bytes, which Move() sends. */
  void Send(const std::string& aBytes) { mUnsent += aBytes; }
  /** Ends what this client sends. */
  void ShutDownSending() const { ::shutdown(mSocket, SHUT_WR); }

  /** Sends what the socket takes, and reads what has arrived.
   * @return whether the connection has ended. */
  bool Move(bool aReads = true)
  {
    if (!mUnsent.empty()) {
      const ssize_t n =
        ::send(mSocket, mUnsent.data(), mUnsent.size(), MSG_NOSIGNAL);
      mUnsent.erase(0, size_t(std::max<ssize_t>(n, 0)));
    }
    while (aReads && !mIsEnded) {
      char buf[4096];
      const ssize_t n = ::recv(mSocket, buf, sizeof buf, 0);
      if (n > 0) {
        mReceived.append(buf, size_t(n));
        continue;
      }
      mIsReset = n < 0 && errno != EAGAIN;
      mIsEnded = n == 0 || mIsReset;
      break;
    }
    return mIsEnded;
  }

  [[nodiscard]] const std::string& Received() const { return mReceived; }
  /** @return whether it ended without the end of the data. */
  [[nodiscard]] bool IsReset() const { return mIsReset; }

private:
  int mSocket;
  std::string mUnsent;
  std::string mReceived;
  bool mIsEnded = false;
  bool mIsReset = false;
};

} // namespace amaranthgap
