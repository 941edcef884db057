#include "BlockingServer.h"

#include <array>
#include <cstdint>

#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "BufferedStream.h"
#include "ConnectionThreads.h"

namespace amaranthgap {

namespace {

constexpr size_t kMostConnections = 2048;
constexpr int kBacklog = 1024;
constexpr int kIdleTimeoutMs = 120'000;

thread_local int gSocket = -1;
thread_local bool gAbort = false;

// Waits for the next request; returns false on idle timeout, close or stop.
bool
WaitForInput(int aSocket, int aStopEvent)
{
  std::array<pollfd, 2> events{ {
    { .fd = aSocket, .events = POLLIN },
    { .fd = aStopEvent, .events = POLLIN },
  } };
  return ::poll(events.data(), events.size(), kIdleTimeoutMs) > 0 &&
         events[1].revents == 0 && (events[0].revents & POLLIN) != 0;
}

} // namespace

BlockingServer::BlockingServer()
  : mStopEvent(::eventfd(0, EFD_CLOEXEC))
{
  new_task_queue = [] { return new ConnectionThreads(kMostConnections); };
  set_tcp_nodelay(true);
  // The default also sets SO_REUSEPORT, with which a second process would
  // silently take part of the connections.
  set_socket_options([](socket_t aSocket) {
    const int on = 1;
    ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

BlockingServer::~BlockingServer()
{
  Stop();
  ::close(mStopEvent);
}

bool
BlockingServer::Start(const std::string& aAddress)
{
  const size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos ||
      !bind_to_port(aAddress.substr(0, colon),
                    std::atoi(aAddress.c_str() + colon + 1))) {
    return false;
  }
  // The library listens with a backlog of 5.
  ::listen(svr_sock_, kBacklog);
  mThread = std::thread([this] { listen_after_bind(); });
  return true;
}

void
BlockingServer::Stop()
{
  if (!mThread.joinable()) {
    return;
  }
  while (!is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  ::eventfd_write(mStopEvent, 1);
  stop();
  mThread.join();
  eventfd_t count = 0;
  ::eventfd_read(mStopEvent, &count);
}

int
BlockingServer::CurrentSocket()
{
  return gSocket;
}

void
BlockingServer::AbortConnection()
{
  gAbort = true;
}

bool
BlockingServer::process_and_close_socket(socket_t aSocket)
{
  gSocket = aSocket;
  gAbort = false;
  BufferedStream stream(aSocket);
  bool isClosed = false;
  while (!isClosed &&
         (stream.HasInput() || WaitForInput(aSocket, mStopEvent))) {
    if (!process_request(stream, false, isClosed, nullptr) || gAbort ||
        !stream.Flush()) {
      break;
    }
  }
  if (!gAbort) {
    stream.Flush();
  }
  ::shutdown(aSocket, SHUT_RDWR);
  ::close(aSocket);
  return true;
}

bool
WaitForClose(int aSocket, std::chrono::nanoseconds aWait)
{
  if (aSocket < 0) {
    std::this_thread::sleep_for(aWait);
    return false;
  }
  pollfd event{ .fd = aSocket, .events = POLLRDHUP };
  const auto count = std::max<int64_t>(0, aWait.count());
  const timespec wait{ .tv_sec = count / 1'000'000'000,
                       .tv_nsec = count % 1'000'000'000 };
  return ::ppoll(&event, 1, &wait, nullptr) > 0;
}

} // namespace amaranthgap
