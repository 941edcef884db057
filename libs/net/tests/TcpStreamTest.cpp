#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/EventLoop.h"
#include "net/TcpStream.h"

using namespace amaranthgap;

namespace {

constexpr Duration kTimeout = seconds(5);

/** Turns the loop until the condition holds. @return whether it does. */
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

/** Connected socket of the kernel, for what a TcpStream does not do. */
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

/** AcceptCallback connection with what it was told. */
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

TEST_CASE("data passes whole in both directions")
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

TEST_CASE("a reset right behind data is not taken for an orderly end")
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

TEST_CASE("a connection that nobody accepts ends as not connected")
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

TEST_CASE("closing sends what is unsent, and a paused reader gets no data")
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
