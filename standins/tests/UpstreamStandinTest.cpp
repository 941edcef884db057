#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <thread>
#include <vector>

#include "FreePort.h"
#include "UpstreamStandin.h"

using namespace amaranthgap;

namespace {

// The local port of a node: keeps announcements and answers child calls.
class NodeDouble
{
public:
  NodeDouble()
    : mAddress(FreeAddress())
  {
    mServer.Put("/v1/announce",
                [this](const httplib::Request& aRequest, httplib::Response&) {
                  const std::scoped_lock lock(mMutex);
                  mAnnouncements.push_back(
                    nlohmann::json::parse(aRequest.body));
                });
    mServer.Post(
      "/call/.*",
      [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
        const std::scoped_lock lock(mMutex);
        mCalls.push_back(aRequest);
        aResponse.status = mStatus;
      });
    REQUIRE(mServer.Start(mAddress));
  }
  ~NodeDouble() { mServer.Stop(); }

  std::string mAddress;
  std::mutex mMutex;
  std::vector<nlohmann::json> mAnnouncements;
  std::vector<httplib::Request> mCalls;
  int mStatus = 200;

private:
  BlockingServer mServer;
};

struct Fixture
{
  explicit Fixture(UpstreamOptions aOptions)
    : mOptions(Complete(std::move(aOptions)))
    , mUpstream(mOptions)
  {
    REQUIRE(mUpstream.Start());
  }
  ~Fixture() { mUpstream.Drain(); }

  static UpstreamOptions Complete(UpstreamOptions aOptions)
  {
    aOptions.mService = "billing";
    aOptions.mListen = FreeAddress();
    aOptions.mControl = FreeAddress();
    return aOptions;
  }

  int Call(const std::string& aId, Duration aTimeout = seconds(5)) const
  {
    httplib::Client client(mOptions.mListen);
    client.set_read_timeout(aTimeout);
    const auto result =
      client.Post("/x", { { "X-Request-Id", aId } }, "body", "text/plain");
    return result ? result->status : 0;
  }

  [[nodiscard]] nlohmann::json Get(const std::string& aPath) const
  {
    httplib::Client client(mOptions.mControl);
    return nlohmann::json::parse(client.Get(aPath)->body);
  }

  UpstreamOptions mOptions;
  UpstreamStandin mUpstream;
};

std::vector<int>
CallAtOnce(const Fixture& aFixture, int aCount)
{
  std::vector<int> statuses(size_t(aCount), 0);
  std::vector<std::thread> threads;
  threads.reserve(size_t(aCount));
  for (int n = 0; n < aCount; ++n) {
    threads.emplace_back(
      [&, n] { statuses[size_t(n)] = aFixture.Call("r" + std::to_string(n)); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return statuses;
}

} // namespace

// Guards against a stand-in with more capacity than its slots, which would
// make every measurement of overload too good.
TEST_CASE("slots bound the parallel work", "[standins]")
{
  const Fixture fixture({ .mSlots = 2, .mServiceMs = 50 });
  const auto start = std::chrono::steady_clock::now();
  const auto statuses = CallAtOnce(fixture, 8);
  const auto took = std::chrono::steady_clock::now() - start;
  CHECK(std::count(statuses.begin(), statuses.end(), 200) == 8);
  CHECK(took >= milliseconds(200));
  const auto counts = fixture.Get("/counts");
  CHECK(counts.at("started") == 8);
  CHECK(counts.at("finished") == 8);
  CHECK(fixture.Get("/work").size() == 8);
}

TEST_CASE("requests beyond the queue are shed", "[standins]")
{
  const Fixture fixture({ .mSlots = 1, .mMaxQueue = 2, .mServiceMs = 200 });
  const auto statuses = CallAtOnce(fixture, 6);
  CHECK(std::count(statuses.begin(), statuses.end(), 200) == 3);
  CHECK(std::count(statuses.begin(), statuses.end(), 503) == 3);
}

// Guards against work that goes on for a caller that has gone; wasted work
// could then not be told from work that the node cut off.
TEST_CASE("work stops when the connection is closed", "[standins]")
{
  const Fixture fixture({ .mSlots = 1, .mServiceMs = 2000 });
  std::thread running([&] { fixture.Call("running", milliseconds(500)); });
  std::this_thread::sleep_for(milliseconds(50));
  // The waiting caller leaves first, so that it is never given the slot.
  std::thread waiting([&] { fixture.Call("waiting", milliseconds(100)); });
  running.join();
  waiting.join();
  std::this_thread::sleep_for(milliseconds(100));
  const auto counts = fixture.Get("/counts");
  CHECK(counts.at("finished") == 0);
  CHECK(counts.at("stopped") == 1);
  CHECK(counts.at("gone") == 1);
}

TEST_CASE("the upstream announces itself and its leaving", "[standins]")
{
  NodeDouble node;
  {
    const Fixture fixture({ .mNode = node.mAddress,
                            .mSlots = 3,
                            .mAnnouncedSlots = 30,
                            .mWarmUpMs = 700 });
    std::this_thread::sleep_for(milliseconds(100));
  }
  const std::scoped_lock lock(node.mMutex);
  REQUIRE(node.mAnnouncements.size() >= 2);
  const auto& first = node.mAnnouncements.front();
  CHECK(first.at("service") == "billing");
  CHECK(first.at("slots") == 30);
  CHECK(first.at("warm_up_ms") == 700);
  CHECK(first.at("leaving") == false);
  CHECK_FALSE(first.at("run").get<std::string>().empty());
  CHECK(node.mAnnouncements.back().at("leaving") == true);
}

TEST_CASE("child calls copy the context and carry keys", "[standins]")
{
  NodeDouble node;
  const Fixture fixture({
    .mNode = node.mAddress,
    .mServiceMs = 1,
    .mChildren = { *ChildCall::Parse("a:read:2"),
                   *ChildCall::Parse("b:charge:1:once") },
  });
  httplib::Client client(fixture.mOptions.mListen);
  const auto result = client.Post("/x",
                                  { { "Amaranthgap-Context", "ctx" },
                                    { "X-Request-Id", "r" },
                                    { "traceparent", "t" } },
                                  "body",
                                  "text/plain");
  REQUIRE(result);
  CHECK(result->status == 200);
  const std::scoped_lock lock(node.mMutex);
  REQUIRE(node.mCalls.size() == 3);
  for (const auto& call : node.mCalls) {
    CHECK(call.get_header_value("Amaranthgap-Context") == "ctx");
    CHECK(call.get_header_value("X-Request-Id") == "r");
    CHECK(call.get_header_value("traceparent") == "t");
    CHECK(call.body == "body");
  }
  CHECK(node.mCalls[0].path == "/call/a/work");
  CHECK_FALSE(node.mCalls[0].has_header("Idempotency-Key"));
  CHECK(node.mCalls[2].path == "/call/b/work");
  CHECK(node.mCalls[2].get_header_value("Idempotency-Key") == "child-1-0");
}

TEST_CASE("a failed child call fails the request", "[standins]")
{
  NodeDouble node;
  node.mStatus = 503;
  const Fixture fixture({ .mNode = node.mAddress,
                          .mServiceMs = 1,
                          .mChildren = { *ChildCall::Parse("a:read") } });
  CHECK(fixture.Call("r") == 502);
}

TEST_CASE("child calls are parsed strictly", "[standins]")
{
  for (const char* text : { "",
                            "a",
                            ":b",
                            "a:",
                            "a:b:0",
                            "a:b:x",
                            "a:b:1:twice",
                            "a:b:1:once:" }) {
    CAPTURE(text);
    CHECK_FALSE(ChildCall::Parse(text));
  }
}
