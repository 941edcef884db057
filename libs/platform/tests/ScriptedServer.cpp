#include "ScriptedServer.h"

#include <chrono>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthgap {

ScriptedServer::ScriptedServer(std::string aAnswer, bool aHold)
  : mAnswer(std::move(aAnswer))
  , mHold(aHold)
{
  mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  (void)::bind(mListener, generic, size);
  ::listen(mListener, 8);
  ::getsockname(mListener, generic, &size);
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Serve(); });
}

ScriptedServer::~ScriptedServer()
{
  mStop = true;
  ::shutdown(mListener, SHUT_RDWR);
  if (mThread.joinable()) {
    mThread.join();
  }
  ::close(mListener);
}

std::string
ScriptedServer::Address() const
{
  return fmt::format("127.0.0.1:{}", mPort);
}

std::string
ScriptedServer::Request()
{
  mStop = true;
  mThread.join();
  return mRequest;
}

void
ScriptedServer::Serve()
{
  const int peer = ::accept(mListener, nullptr, nullptr);
  if (peer < 0) {
    return;
  }
  // A request of these tests is complete when 50 ms bring no more bytes.
  pollfd readable{ .fd = peer, .events = POLLIN };
  while (::poll(&readable, 1, mRequest.empty() ? 2000 : 50) > 0) {
    char buf[4096];
    const ssize_t n = ::read(peer, buf, sizeof(buf));
    if (n <= 0) {
      break;
    }
    mRequest.append(buf, size_t(n));
  }
  if (!mAnswer.empty()) {
    (void)!::write(peer, mAnswer.data(), mAnswer.size());
  }
  while (mHold && !mStop) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  ::close(peer);
}

} // namespace amaranthgap
