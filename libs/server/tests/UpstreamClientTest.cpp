#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <optional>

#include <fmt/format.h>
#include <poll.h>

#include "TestSocket.h"
#include "server/HttpFraming.h"
#include "server/UpstreamClient.h"

using namespace amaranthgap;

namespace {

/** Server whose connections are played by a script of the test. */
class ScriptedServer
{
public:
  using Script = std::function<void(int aSocket, int aConnection)>;

  explicit ScriptedServer(Script aScript)
    : mScript(std::move(aScript))
    , mListener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(bind(mListener, reinterpret_cast<sockaddr*>(&address), length) ==
            0);
    REQUIRE(listen(mListener, 16) == 0);
    getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Run(); });
  }
  ~ScriptedServer()
  {
    mEnd = true;
    mThread.join();
    for (auto& thread : mConnections) {
      thread.join();
    }
    ::close(mListener);
  }

  [[nodiscard]] std::string Address() const
  {
    return fmt::format("127.0.0.1:{}", mPort);
  }
  [[nodiscard]] int GetAccepted() const { return mAccepted; }

  /** Reads one request without a body. */
  static std::string ReadHead(int aSocket)
  {
    std::string out;
    char c = 0;
    while (out.find("\r\n\r\n") == std::string::npos &&
           recv(aSocket, &c, 1, 0) == 1) {
      out += c;
    }
    return out;
  }
  static void Write(int aSocket, const std::string& aText)
  {
    ::send(aSocket, aText.data(), aText.size(), MSG_NOSIGNAL);
  }

private:
  void Run()
  {
    while (!mEnd) {
      pollfd fd{ .fd = mListener, .events = POLLIN, .revents = 0 };
      if (poll(&fd, 1, 10) == 1) {
        const int socket = accept(mListener, nullptr, nullptr);
        const timeval wait{ .tv_sec = 3, .tv_usec = 0 };
        setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
        mConnections.emplace_back([this, socket, n = mAccepted++] {
          mScript(socket, n);
          ::close(socket);
        });
      }
    }
  }

  Script mScript;
  int mListener;
  int mPort = 0;
  std::atomic<bool> mEnd = false;
  std::atomic<int> mAccepted = 0;
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

/** Client that gives the outcome of one call at a time. */
class Caller
{
public:
  Caller()
    : mClient({ .mMaxCalls = 8, .mMaxAnswerBytes = 1000 },
              [this](ExecutionId aExecution,
                     UpstreamClient::Outcome aOutcome,
                     Duration) {
                const std::scoped_lock lock(mMutex);
                mOutcomes[aExecution.mValue] = std::move(aOutcome);
                mReady.notify_all();
              })
  {
  }

  uint64_t Start(const std::string& aAddress,
                 Duration aTimeout = seconds(2),
                 const std::string& aMethod = "GET")
  {
    const uint64_t id = ++mLast;
    mClient.Start({ .mExecution = { id },
                    .mAddress = aAddress,
                    .mContext = "ctx",
                    .mRequest = { "req" },
                    .mTimeout = aTimeout,
                    .mHttp = { aMethod, "/p?q=%41", { { "A", "%0d" } }, "" } });
    return id;
  }

  UpstreamClient::Outcome Wait(uint64_t aId)
  {
    std::unique_lock lock(mMutex);
    REQUIRE(mReady.wait_for(
      lock, seconds(10), [&] { return mOutcomes.contains(aId); }));
    return mOutcomes[aId];
  }

  UpstreamClient::Outcome Run(const std::string& aAddress,
                              Duration aTimeout = seconds(2))
  {
    return Wait(Start(aAddress, aTimeout));
  }

  std::mutex mMutex;
  std::condition_variable mReady;
  std::map<uint64_t, UpstreamClient::Outcome> mOutcomes;
  uint64_t mLast = 0;
  UpstreamClient mClient;
};

bool
Failed(const UpstreamClient::Outcome& aOutcome, UpstreamFailure aFailure)
{
  const auto* failure = std::get_if<UpstreamFailure>(&aOutcome);
  return failure != nullptr && *failure == aFailure;
}

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against headers that are changed on the way, in both directions, and
// against a new connection for each call.
TEST_CASE("calls reach the upstream unchanged on kept connections", "[server]")
{
  std::vector<std::string> heads;
  ScriptedServer server([&](int aSocket, int) {
    for (int n = 0; n < 3; ++n) {
      heads.push_back(ScriptedServer::ReadHead(aSocket));
      ScriptedServer::Write(
        aSocket,
        "HTTP/1.1 299 X\r\nContent-Length: 2\r\nB: %0d%0a\r\n"
        "B: again\r\nConnection: x\r\nX: hop\r\n\r\nok");
    }
  });
  Caller caller;
  for (int n = 0; n < 3; ++n) {
    const auto outcome = caller.Run(server.Address());
    const auto* answer = std::get_if<HttpResponse>(&outcome);
    REQUIRE(answer != nullptr);
    CHECK(answer->mStatus == 299);
    CHECK(answer->mBody == "ok");
    CHECK(answer->mHeaders ==
          HttpHeaders{ { "B", "%0d%0a" }, { "B", "again" } });
  }
  CHECK(server.GetAccepted() == 1);
  for (const auto& head : heads) {
    CHECK(head.starts_with("GET /p?q=%41 HTTP/1.1\r\n"));
    CHECK(head.find("A: %0d\r\n") != std::string::npos);
    CHECK(head.find("Amaranthgap-Context: ctx\r\n") != std::string::npos);
    CHECK(head.find("X-Request-Id: req\r\n") != std::string::npos);
    CHECK(head.find("Amaranthgap-Timeout-Ms: ") != std::string::npos);
  }
}

// Guards against answers that are passed on although a part is missing.
TEST_CASE("truncated and unframed answers are incomplete", "[server]")
{
  for (const std::string answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
         "HTTP/1.1 200 OK\r\n\r\nuntil the end",
         "HTTP/1.1 200 OK\r\nContent-Le" }) {
    INFO(answer);
    ScriptedServer server([&](int aSocket, int) {
      ScriptedServer::ReadHead(aSocket);
      ScriptedServer::Write(aSocket, answer);
    });
    Caller caller;
    CHECK(Failed(caller.Run(server.Address()), UpstreamFailure::Incomplete));
  }
}

// Guards against bytes of a failing upstream that are passed on as its answer.
TEST_CASE("answers that are not HTTP are incomplete", "[server]")
{
  const std::string end = "Content-Length: 2\r\n\r\nok";
  for (const std::string& answer :
       { "HTTP/1.1 000 Unknown\r\n" + end,
         "HTTP/1.1 099 Unknown\r\n" + end,
         "HTTP/1.1 600 Unknown\r\n" + end,
         "HTTP/1.1 200 OK\r\nBad Name: v\r\n" + end,
         "HTTP/1.1 200 OK\r\nName: v\r\n v\r\n" + end,
         "HTTP/1.1 200 OK\r\nN\x01: v\r\n" + end }) {
    INFO(answer);
    ScriptedServer server([&](int aSocket, int) {
      ScriptedServer::ReadHead(aSocket);
      ScriptedServer::Write(aSocket, answer);
    });
    Caller caller;
    CHECK(Failed(caller.Run(server.Address()), UpstreamFailure::Incomplete));
  }
}

TEST_CASE("chunked and bodyless answers are complete", "[server]")
{
  for (const std::string answer :
       { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n",
         "HTTP/1.1 204 None\r\n\r\n",
         "HTTP/1.1 304 Not Modified\r\n\r\n" }) {
    INFO(answer);
    ScriptedServer server([&](int aSocket, int) {
      ScriptedServer::ReadHead(aSocket);
      ScriptedServer::Write(aSocket, answer);
      ScriptedServer::ReadHead(aSocket);
    });
    Caller caller;
    CHECK(std::holds_alternative<HttpResponse>(
      caller.Run(server.Address(), milliseconds(800))));
  }
}

// Guards against a request that runs twice: after its first byte it is never
// sent again, on whatever connection.
TEST_CASE("a request is never sent twice", "[server]")
{
  std::atomic<int> requests = 0;
  ScriptedServer server([&](int aSocket, int) {
    if (!ScriptedServer::ReadHead(aSocket).empty()) {
      ++requests;
    }
  });
  Caller caller;
  CHECK(Failed(caller.Run(server.Address()), UpstreamFailure::ConnectionLost));
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(requests == 1);
}

// Guards against a stale connection that fails a call which could have used a
// new one.
TEST_CASE("a connection closed by the upstream is not used again", "[server]")
{
  std::atomic<int> closed = 0;
  ScriptedServer server([&](int aSocket, int) {
    ScriptedServer::ReadHead(aSocket);
    ScriptedServer::Write(aSocket, kAnswer);
    ::shutdown(aSocket, SHUT_RDWR);
    ++closed;
  });
  Caller caller;
  for (int n = 1; n <= 3; ++n) {
    CHECK(std::holds_alternative<HttpResponse>(caller.Run(server.Address())));
    REQUIRE(Eventually([&] { return closed == n; }));
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(server.GetAccepted() == 3);
}

// Guards against an answer that is taken for that of the next request.
TEST_CASE("a connection with leftover input is not used again", "[server]")
{
  ScriptedServer server([&](int aSocket, int) {
    ScriptedServer::ReadHead(aSocket);
    ScriptedServer::Write(aSocket, kAnswer + kAnswer);
    ScriptedServer::ReadHead(aSocket);
  });
  Caller caller;
  CHECK(std::holds_alternative<HttpResponse>(caller.Run(server.Address())));
  CHECK(std::holds_alternative<HttpResponse>(caller.Run(server.Address())));
  CHECK(server.GetAccepted() == 2);
}

TEST_CASE("failures are told apart", "[server]")
{
  ScriptedServer silent([](int aSocket, int) {
    ScriptedServer::ReadHead(aSocket);
    ScriptedServer::ReadHead(aSocket);
  });
  ScriptedServer large([](int aSocket, int) {
    ScriptedServer::ReadHead(aSocket);
    ScriptedServer::Write(aSocket,
                          "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" +
                            std::string(1001, 'x'));
  });
  Caller caller;
  CHECK(Failed(caller.Run("127.0.0.1:1"), UpstreamFailure::NotConnected));
  CHECK(Failed(caller.Run("nonsense"), UpstreamFailure::NotConnected));
  const auto start = std::chrono::steady_clock::now();
  CHECK(Failed(caller.Run(silent.Address(), milliseconds(100)),
               UpstreamFailure::TimedOut));
  CHECK(std::chrono::steady_clock::now() - start < seconds(1));
  CHECK(Failed(caller.Run(large.Address()), UpstreamFailure::TooLarge));
}

// Guards against upstream work that goes on for a call that was given up, and
// against an end that hangs on a silent upstream.
TEST_CASE("cancelled calls end at once", "[server]")
{
  std::atomic<int> arrived = 0;
  std::atomic<int> broken = 0;
  ScriptedServer server([&](int aSocket, int) {
    ScriptedServer::ReadHead(aSocket);
    ++arrived;
    char c = 0;
    if (recv(aSocket, &c, 1, 0) == 0) {
      ++broken;
    }
  });
  Caller caller;
  const auto first = caller.Start(server.Address(), seconds(30));
  const auto second = caller.Start(server.Address(), seconds(30));
  REQUIRE(Eventually([&] { return arrived == 2; }));
  const auto start = std::chrono::steady_clock::now();
  caller.mClient.Cancel({ first });
  CHECK(Failed(caller.Wait(first), UpstreamFailure::ConnectionLost));
  CHECK(caller.mClient.GetCallCount() == 1);
  CHECK(caller.mClient.Stop() == 1);
  CHECK(Failed(caller.Wait(second), UpstreamFailure::ConnectionLost));
  CHECK(std::chrono::steady_clock::now() - start < seconds(2));
  CHECK(Eventually([&] { return broken == 2; }));
}
