#pragma once

#include <chrono>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthgap {

/** Blocking loopback socket of a test, with a time limit on each read. */
class TestSocket
{
public:
  /** @param aWindowBytes size of the receive buffer; 0 for the usual one. */
  explicit TestSocket(int aPort, int aWindowBytes = 0)
    : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    if (aWindowBytes > 0) {
      setsockopt(
        mSocket, SOL_SOCKET, SO_RCVBUF, &aWindowBytes, sizeof(aWindowBytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(uint16_t(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval wait{ .tv_sec = 5, .tv_usec = 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    mConnected = connect(mSocket,
                         reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  ~TestSocket() { Close(); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  [[nodiscard]] bool IsConnected() const { return mConnected; }

  void Close()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
      mSocket = -1;
    }
  }

  void Send(const std::string& aText) const
  {
    ::send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
  }

  /** @return one answer with its body, by Content-Length; what follows stays
   * for the next call. Empty when the peer closes or the time is over. */
  std::string ReadAnswer()
  {
    while (true) {
      const auto head = mBuffer.find("\r\n\r\n");
      if (head != std::string::npos) {
        size_t length = 0;
        if (const auto at = mBuffer.find("Content-Length: "); at < head) {
          length = std::stoul(mBuffer.substr(at + 16, 20));
        }
        if (mBuffer.size() >= head + 4 + length) {
          std::string answer = mBuffer.substr(0, head + 4 + length);
          mBuffer.erase(0, answer.size());
          return answer;
        }
      }
      if (!Fill()) {
        return {};
      }
    }
  }

  /** @return whether the peer closes before the time limit. */
  bool WaitForEnd()
  {
    char buf[4096];
    ssize_t n = 1;
    while (n > 0) {
      n = recv(mSocket, buf, sizeof(buf), 0);
    }
    return n == 0 || errno == ECONNRESET;
  }

private:
  bool Fill()
  {
    char buf[4096];
    const ssize_t n = recv(mSocket, buf, sizeof(buf), 0);
    if (n > 0) {
      mBuffer.append(buf, size_t(n));
    }
    return n > 0;
  }

  int mSocket;
  bool mConnected = false;
  std::string mBuffer;
};

/** @return whether a condition holds within a few seconds. */
template<class Condition>
bool
Eventually(Condition aCondition)
{
  for (int n = 0; n < 500; ++n) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aCondition();
}

} // namespace amaranthgap
