#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <thread>

#include "net/EventLoop.h"
#include "net/TcpStream.h"

using namespace amaranthgap;

namespace {

constexpr Duration kTimeout = seconds(5);

/** Runs the loop until aCondition holds or kTimeout passes.
 * @return whether it holds. */
template<class Condition>
bool
RunUntil(EventLoop& aLoop, Condition aCondition)
{
  const TimePoint end = EventLoop::Now() + kTimeout;
  while (!aCondition() && EventLoop::Now() < end) {
    aLoop.RunFor(milliseconds(10));
  }
  return aCondition();
}

std::string
Loopback(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

/** @return a connected raw socket, for cases that TcpStream does not offer. */
int
ConnectRawSocket(uint16_t aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aPort);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) ==
          0);
  return fd;
}

/** Listener that keeps the last accepted connection, the data it received and
 * how it ended. */
struct AcceptingServer
{
  explicit AcceptingServer(EventLoop& aLoop)
    : mListener(aLoop)
  {
    REQUIRE(mListener.Listen(
      "127.0.0.1:0", {}, [this](std::unique_ptr<TcpStream> aStream) {
        mStream = std::move(aStream);
        mStream->SetCallbacks(
          { .mOnData = [this](std::string_view aData) { mReceived += aData; },
            .mOnClosed = [this](StreamEnd aEnd) { mEnd = aEnd; } });
      }));
  }

  TcpListener mListener;
  std::unique_ptr<TcpStream> mStream;
  std::string mReceived;
  std::optional<StreamEnd> mEnd;
};

} // namespace

// Guards against lost data when a write exceeds the socket buffer and is sent
// in several parts.
TEST_CASE("data is delivered completely in both directions")
{
  EventLoop loop;
  AcceptingServer server(loop);
  std::string received;
  const auto client = TcpStream::Connect(
    loop,
    Loopback(server.mListener.Port()),
    {},
    { .mOnData = [&](std::string_view aData) { received += aData; } });
  const std::string large(size_t(4) << 20, 'x');
  client->Write("first ");
  client->Write(large);
  REQUIRE(RunUntil(
    loop, [&] { return server.mReceived.size() == large.size() + 6; }));
  server.mStream->Write("answer");
  CHECK(RunUntil(loop, [&] { return received == "answer"; }));
}

// Guards against reporting a reset as an orderly close: libuv reports both as
// EOF when they arrive together with data.
TEST_CASE("a reset directly after data is reported as a lost connection")
{
  for (const bool isReset : { false, true }) {
    EventLoop loop;
    AcceptingServer server(loop);
    const int fd = ConnectRawSocket(server.mListener.Port());
    REQUIRE(RunUntil(loop, [&] { return server.mStream != nullptr; }));
    REQUIRE(::send(fd, "part", 4, 0) == 4);
    const linger abort{ .l_onoff = isReset ? 1 : 0, .l_linger = 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(fd);
    REQUIRE(RunUntil(loop, [&] { return server.mEnd.has_value(); }));
    CHECK(*server.mEnd ==
          (isReset ? StreamEnd::ConnectionLost : StreamEnd::ClosedByPeer));
  }
}

// Guards against the same while a write is queued: a write that fails takes the
// error of the reset off the socket. Only the thread of a peer comes between
// the writes of a flush.
TEST_CASE("a reset during a long write is reported as a lost connection")
{
  constexpr int kTryCount = 100;
  std::signal(SIGPIPE, SIG_IGN); // As the program does.
  const std::string upload(6'000'000, 'x');
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof at;
  auto* const generic = reinterpret_cast<sockaddr*>(&at);
  REQUIRE(::bind(listener, generic, length) == 0);
  REQUIRE(::listen(listener, 1) == 0);
  REQUIRE(::getsockname(listener, generic, &length) == 0);
  std::thread peer([listener] {
    for (int n = 0; n < kTryCount; ++n) {
      const int fd = ::accept(listener, nullptr, nullptr);
      char byte = 0;
      (void)!::recv(fd, &byte, 1, 0);
      (void)!::send(fd, "part", 4, MSG_NOSIGNAL);
      std::this_thread::sleep_for(microseconds(10 * (n % 10)));
      ::close(fd); // Resets, since most of the upload is unread.
    }
  });
  int closedCount = 0;
  EventLoop loop;
  for (int n = 0; n < kTryCount; ++n) {
    std::optional<StreamEnd> end;
    const auto client =
      TcpStream::Connect(loop,
                         Loopback(ntohs(at.sin_port)),
                         {},
                         { .mOnClosed = [&](StreamEnd aEnd) { end = aEnd; } });
    client->Write(upload);
    CHECK(RunUntil(loop, [&] { return end.has_value(); }));
    closedCount += end == StreamEnd::ClosedByPeer ? 1 : 0;
  }
  peer.join();
  ::close(listener);
  CHECK(closedCount == 0);
}

// Guards against a failed connect that is never reported, for a closed port and
// for an invalid address.
TEST_CASE("a refused or invalid address is reported as not connected")
{
  EventLoop loop;
  std::optional<StreamEnd> end;
  uint16_t port = 0;
  {
    TcpListener listener(loop);
    REQUIRE(listener.Listen("127.0.0.1:0", {}, [](auto) {}));
    port = listener.Port();
  }
  for (const std::string& address :
       { Loopback(port), std::string("nowhere") }) {
    end.reset();
    const auto client = TcpStream::Connect(
      loop, address, {}, { .mOnClosed = [&](StreamEnd aEnd) { end = aEnd; } });
    REQUIRE(RunUntil(loop, [&] { return end.has_value(); }));
    CHECK(*end == StreamEnd::NotConnected);
  }
}

// Guards against losing buffered data when the stream is closed and destroyed
// before it is written.
TEST_CASE("closing sends buffered data, and a paused reader receives none")
{
  EventLoop loop;
  AcceptingServer server(loop);
  auto client =
    TcpStream::Connect(loop, Loopback(server.mListener.Port()), {}, {});
  REQUIRE(RunUntil(loop, [&] { return server.mStream != nullptr; }));
  server.mStream->PauseReading();
  client->Write("last words");
  client->Close();
  client.reset();
  for (int n = 0; n < 5; ++n) {
    loop.RunFor(milliseconds(10));
  }
  CHECK(server.mReceived.empty());
  server.mStream->ResumeReading();
  REQUIRE(RunUntil(loop, [&] { return server.mEnd.has_value(); }));
  CHECK(server.mReceived == "last words");
}

// Guards against overdue requests that a host sends on after a suspension.
TEST_CASE("the time of the loop counts the time that a host is suspended")
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  const TimePoint expected(seconds(time.tv_sec) +
                           std::chrono::nanoseconds(time.tv_nsec));
  const Duration difference = EventLoop::Now() - expected;
  CHECK(difference >= Duration::zero());
  CHECK(difference < milliseconds(100));
}
