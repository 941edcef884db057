#include <catch2/catch.hpp>

#include <atomic>
#include <ctime>
#include <deque>

#include <fmt/format.h>

#include "TestSocket.h"
#include "server/HttpListener.h"

using namespace amaranthgap;

namespace {

HttpListener::Options
TestOptions()
{
  return { .mAddress = "127.0.0.1:0",
           .mMaxConnections = 1200,
           .mMaxWorkers = 16,
           .mLimits = { .mMaxHeaderBytes = 2048, .mMaxBodyBytes = 4096 },
           .mIdleTimeout = seconds(30),
           .mRequestTimeout = milliseconds(300) };
}

HttpResponse
Refuse(int aStatus)
{
  return { .mStatus = aStatus,
           .mHeaders = { { "Amaranthgap-Outcome", "not-run" } },
           .mBody = "refused" };
}

HttpResponse
Echo(const HttpRequest& aRequest, HttpConnection&)
{
  return { .mStatus = 200,
           .mBody =
             aRequest.mMethod + " " + aRequest.mPath + " " + aRequest.mBody };
}

// A listener that is swept like that of a node.
class Fixture
{
public:
  using Handler =
    std::function<HttpResponse(const HttpRequest&, HttpConnection&)>;

  explicit Fixture(HttpListener::Options aOptions, Handler aHandler = Echo)
    : mListener(
        std::move(aOptions),
        [this, handler = std::move(aHandler)](
          const HttpRequest& aRequest,
          const HttpListener::ConnectionPtr& aConnection) {
          mListener.Respond(aConnection, handler(aRequest, *aConnection));
        },
        Refuse)
  {
    REQUIRE(mListener.Start());
    mSweeper = std::thread([this] {
      while (!mEnd) {
        mListener.Sweep(std::chrono::steady_clock::now());
        std::this_thread::sleep_for(milliseconds(50));
      }
    });
  }
  ~Fixture()
  {
    mEnd = true;
    mSweeper.join();
  }

  [[nodiscard]] int Port() const { return mListener.Port(); }

  HttpListener mListener;

private:
  std::atomic<bool> mEnd = false;
  std::thread mSweeper;
};

std::string
Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

std::string
Post(const std::string& aPath, const std::string& aBody)
{
  return fmt::format("POST {} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}",
                     aPath,
                     aBody.size(),
                     aBody);
}

std::string
BodyOf(const std::string& aAnswer)
{
  const auto head = aAnswer.find("\r\n\r\n");
  return head == std::string::npos ? "" : aAnswer.substr(head + 4);
}

double
ProcessSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return double(time.tv_sec) + double(time.tv_nsec) * 1e-9;
}

} // namespace

// Guards against an answer that reaches the request of another caller, or a
// later request of the same one.
TEST_CASE("connections that are kept never mix answers", "[server]")
{
  Fixture fixture(TestOptions());
  std::vector<std::thread> threads;
  threads.reserve(8);
  std::atomic<int> wrong = 0;
  for (int caller = 0; caller < 8; ++caller) {
    threads.emplace_back([&, caller] {
      TestSocket socket(fixture.Port());
      for (int n = 0; n < 200; ++n) {
        const std::string body = fmt::format("{}-{}", caller, n);
        socket.Send(Post("/x", body));
        wrong += BodyOf(socket.ReadAnswer()) != "POST /x " + body ? 1 : 0;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(wrong == 0);
}

// Guards against requests that are lost or cut when several arrive in one
// piece, or one in many pieces.
TEST_CASE("pipelined and divided input is read request by request", "[server]")
{
  Fixture fixture(TestOptions());
  TestSocket socket(fixture.Port());
  const std::string chunked =
    "PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
  socket.Send(Post("/a", "first") + Get("/b") + chunked + Post("/d", "last"));
  CHECK(BodyOf(socket.ReadAnswer()) == "POST /a first");
  CHECK(BodyOf(socket.ReadAnswer()) == "GET /b ");
  CHECK(BodyOf(socket.ReadAnswer()) == "PUT /c abcde");
  CHECK(BodyOf(socket.ReadAnswer()) == "POST /d last");
  for (const char c : chunked) {
    socket.Send(std::string(1, c));
  }
  CHECK(BodyOf(socket.ReadAnswer()) == "PUT /c abcde");
}

// Guards against requests whose end two parties see at different places, and
// against input that fills the memory.
TEST_CASE("faulty requests are refused as not run", "[server]")
{
  struct Row
  {
    std::string mInput;
    int mStatus;
  };
  const std::vector<Row> rows{
    { "nonsense\r\n\r\n", 400 },
    { "GET  / HTTP/1.1\r\n\r\n", 400 },
    { "GET x HTTP/1.1\r\n\r\n", 400 },
    { "GET / HTTP/2.0\r\n\r\n", 505 },
    { "GET / HTTP/1.1\r\nA b: c\r\n\r\n", 400 },
    { "GET / HTTP/1.1\r\nA : c\r\n\r\n", 400 },
    { "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400 },
    { "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", 400 },
    { "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400 },
    { "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
      400 },
    { "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      400 },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501 },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400 },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", 400 },
    { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n", 413 },
    { "POST / HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", 413 },
    { "GET / HTTP/1.1\r\nA: " + std::string(3000, 'x') + "\r\n\r\n", 431 },
    { "GET /" + std::string(3000, 'x'), 431 },
    { "GET / HTTP/1.1\r\nExpect: something\r\n\r\n", 417 },
  };
  Fixture fixture(TestOptions());
  for (const Row& row : rows) {
    INFO(row.mInput.substr(0, 80));
    TestSocket socket(fixture.Port());
    socket.Send(row.mInput);
    const std::string answer = socket.ReadAnswer();
    CHECK(answer.starts_with(fmt::format("HTTP/1.1 {} ", row.mStatus)));
    CHECK(answer.find("Amaranthgap-Outcome: not-run") != std::string::npos);
    CHECK(socket.WaitForEnd());
  }
  CHECK(
    Eventually([&] { return fixture.mListener.GetConnectionCount() == 0; }));
}

// Guards against a client that waits for permission to send its body.
TEST_CASE("an expected continuation is sent", "[server]")
{
  Fixture fixture(TestOptions());
  TestSocket socket(fixture.Port());
  socket.Send("POST / HTTP/1.1\r\nContent-Length: 2\r\n"
              "Expect: 100-continue\r\n\r\n");
  CHECK(socket.ReadAnswer() == "HTTP/1.1 100 Continue\r\n\r\n");
  socket.Send("ab");
  CHECK(BodyOf(socket.ReadAnswer()) == "POST / ab");
}

// Guards against slow senders that hold all workers, so that others wait.
TEST_CASE("slow senders hold no worker and are refused in time", "[server]")
{
  HttpListener::Options options = TestOptions();
  options.mMaxWorkers = 4;
  Fixture fixture(options);
  std::deque<TestSocket> slow;
  for (int n = 0; n < 40; ++n) {
    slow.emplace_back(fixture.Port()).Send("POST / HTTP/1.1\r\nContent-Le");
  }
  const auto start = std::chrono::steady_clock::now();
  TestSocket quick(fixture.Port());
  quick.Send(Get("/"));
  CHECK(BodyOf(quick.ReadAnswer()) == "GET / ");
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(250));
  for (auto& socket : slow) {
    CHECK(socket.ReadAnswer().starts_with("HTTP/1.1 408 "));
    CHECK(socket.WaitForEnd());
  }
  CHECK(std::chrono::steady_clock::now() - start < seconds(3));
}

// Guards against work that goes on for a caller who has left.
TEST_CASE("a client that disconnects while served is noticed", "[server]")
{
  std::atomic<bool> gone = false;
  std::atomic<bool> started = false;
  Fixture fixture(TestOptions(),
                  [&](const HttpRequest&, HttpConnection& aConnection) {
                    aConnection.SetOnGone([&] { gone = true; });
                    started = true;
                    Eventually([&] { return gone.load(); });
                    return HttpResponse{ .mStatus = 200 };
                  });
  TestSocket socket(fixture.Port());
  socket.Send(Get("/"));
  REQUIRE(Eventually([&] { return started.load(); }));
  socket.Close();
  CHECK(Eventually([&] { return gone.load(); }));
  CHECK(
    Eventually([&] { return fixture.mListener.GetConnectionCount() == 0; }));
}

// Guards against refused or delayed connections in a burst, and against idle
// connections that cost processor time (at most 1.7% of a core for 950).
TEST_CASE("idle connections cost next to nothing", "[server]")
{
  Fixture fixture(TestOptions());
  std::deque<TestSocket> sockets;
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < 950; ++n) {
    REQUIRE(sockets.emplace_back(fixture.Port()).IsConnected());
  }
  CHECK(std::chrono::steady_clock::now() - start < seconds(2));
  for (auto& socket : sockets) {
    socket.Send(Get("/"));
  }
  for (auto& socket : sockets) {
    REQUIRE(BodyOf(socket.ReadAnswer()) == "GET / ");
  }
  CHECK(fixture.mListener.GetConnectionCount() == 950);
  const double before = ProcessSeconds();
  std::this_thread::sleep_for(seconds(2));
  CHECK((ProcessSeconds() - before) / 2 < 0.017);
  sockets[500].Send(Get("/again"));
  CHECK(BodyOf(sockets[500].ReadAnswer()) == "GET /again ");
}

// Guards against partial bodies on many connections that fill the memory.
TEST_CASE("input that waits is bounded over all connections", "[server]")
{
  HttpListener::Options options = TestOptions();
  options.mMaxBufferedBytes = 20000;
  options.mRequestTimeout = seconds(20);
  Fixture fixture(options);
  std::deque<TestSocket> sockets;
  for (int n = 0; n < 6; ++n) {
    sockets.emplace_back(fixture.Port())
      .Send("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" +
            std::string(3900, 'x'));
    // The order of arrival decides who is refused.
    std::this_thread::sleep_for(milliseconds(30));
  }
  CHECK(sockets[5].ReadAnswer().starts_with("HTTP/1.1 503 "));
  TestSocket small(fixture.Port());
  small.Send(Get("/"));
  CHECK(BodyOf(small.ReadAnswer()) == "GET / ");
  sockets[0].Send(std::string(100, 'x'));
  CHECK(sockets[0].ReadAnswer().starts_with("HTTP/1.1 200 "));
}

// Guards against connections without number.
TEST_CASE("connections above the limit are refused", "[server]")
{
  HttpListener::Options options = TestOptions();
  options.mMaxConnections = 2;
  Fixture fixture(options);
  TestSocket first(fixture.Port());
  TestSocket second(fixture.Port());
  first.Send(Get("/"));
  second.Send(Get("/"));
  CHECK_FALSE(first.ReadAnswer().empty());
  CHECK_FALSE(second.ReadAnswer().empty());
  TestSocket third(fixture.Port());
  CHECK(third.ReadAnswer().starts_with("HTTP/1.1 503 "));
}

// Guards against a graceful end that cuts off what is in flight, and against
// one that never comes.
TEST_CASE("the end waits for requests in flight up to its limit", "[server]")
{
  std::atomic<bool> release = false;
  std::atomic<int> started = 0;
  Fixture fixture(TestOptions(),
                  [&](const HttpRequest&, HttpConnection& aConnection) {
                    std::atomic<bool> gone = false;
                    aConnection.SetOnGone([&] { gone = true; });
                    ++started;
                    Eventually([&] { return release || gone; });
                    aConnection.SetOnGone({});
                    return HttpResponse{ .mStatus = 200, .mBody = "done" };
                  });
  TestSocket idle(fixture.Port());
  TestSocket busy(fixture.Port());
  busy.Send(Get("/"));
  REQUIRE(Eventually([&] { return started == 1; }));
  SECTION("within the limit")
  {
    std::thread releaser([&] {
      std::this_thread::sleep_for(milliseconds(100));
      release = true;
    });
    CHECK(fixture.mListener.Stop(seconds(5)) == 0);
    releaser.join();
    CHECK(BodyOf(busy.ReadAnswer()) == "done");
  }
  SECTION("beyond the limit")
  {
    const auto start = std::chrono::steady_clock::now();
    CHECK(fixture.mListener.Stop(milliseconds(50)) == 1);
    CHECK(std::chrono::steady_clock::now() - start < seconds(2));
  }
  CHECK(idle.WaitForEnd());
  CHECK(busy.WaitForEnd());
  CHECK_FALSE(TestSocket(fixture.Port()).IsConnected());
}

// Guards against a reset by which a client loses an answer that is on its way,
// because it sends more while the listener ends.
TEST_CASE("the end waits for clients that still read answers", "[server]")
{
  constexpr size_t kAnswerBytes = size_t(64) * 1024;
  std::atomic<bool> isStarted = false;
  std::atomic<bool> isReleased = false;
  Fixture fixture(TestOptions(), [&](const HttpRequest&, HttpConnection&) {
    isStarted = true;
    Eventually([&] { return isReleased.load(); });
    return HttpResponse{ .mStatus = 200,
                         .mBody = std::string(kAnswerBytes, 'x') };
  });
  TestSocket client(fixture.Port(), 4096);
  client.Send(Get("/"));
  REQUIRE(Eventually([&] { return isStarted.load(); }));
  std::thread end([&] { fixture.mListener.Stop(seconds(5)); });
  CHECK(Eventually([&] { return !TestSocket(fixture.Port()).IsConnected(); }));
  isReleased = true;
  std::this_thread::sleep_for(milliseconds(300));
  client.Send(Get("/"));
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(BodyOf(client.ReadAnswer()).size() == kAnswerBytes);
  client.Close();
  end.join();
}
