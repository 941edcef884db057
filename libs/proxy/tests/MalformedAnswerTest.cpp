#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "ProxyFleet.h"

using namespace amaranthgap;

namespace {

using Connection = FakeUpstream::Connection;

// An upstream that failed gets no requests for a shorter time.
constexpr Duration kBackoff = milliseconds(220);
constexpr int kSoundRequestCount = 4;

const std::string kRoutes = "1 /logs/ logs MANY 1000 /book/ logs ONCE 1000 "
                            "/crews/ crews MANY 1000 /visit/ crews ONCE 1000";

std::string
WithId(std::string aText, const HttpRequest& aRequest)
{
  const std::string mark = "{id}";
  const auto id = FindHeader(aRequest.mHeaders, "Test-Id");
  for (size_t at = aText.find(mark); at != std::string::npos;
       at = aText.find(mark)) {
    aText.replace(at, mark.size(), id);
  }
  return aText;
}

const std::string kRefusal = "HTTP/1.1 503 Service Unavailable\r\n"
                             "Test-Id: {id}\r\nTest-Not-Run: 1\r\n"
                             "Content-Length: 0\r\n\r\n";

} // namespace

// Guards against a success with an empty or short body, framed as whole, for an
// answer that its upstream broke off.
TEST_CASE("an answer that ends early never looks complete")
{
  const std::string head = "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\n"
                           "Test-Signature: s\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<const char*, std::string>> answers{
    { "nothing", "" },
    { "in the protocol", "HTTP/" },
    { "in the status", "HTTP/1.1 20" },
    { "in the reason", "HTTP/1.1 200 O" },
    { "after the status line", "HTTP/1.1 200 OK\r\n" },
    { "in the name of a header", "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nTest-S" },
    { "after a header", head },
    { "in a length", head + "Content-Length: 1" },
    { "after a length", head + "Content-Length: 6\r\n" },
    { "in the end of the head", head + "Content-Length: 6\r\n\r" },
    { "before the body", head + "Content-Length: 6\r\n\r\n" },
    { "in the body", head + "Content-Length: 6\r\n\r\nser" },
    { "in the end of a head without length", head + "\r" },
    { "before the first chunk", chunked },
    { "in the size of a chunk", chunked + "6" },
    { "in a chunk", chunked + "6\r\nser" },
    { "after a chunk", chunked + "6\r\nserved\r\n" },
    { "in the last chunk", chunked + "6\r\nserved\r\n0\r\n" },
    { "after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "in the head after an interim answer",
      "HTTP/1.1 100 Continue\r\n\r\n" + head },
    { "in the head of another answer",
      "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 0\r\n\r\n" + head },
  };
  const bool isReset = GENERATE(false, true);
  ProxyFleet fleet({ "logs", "crews" });
  fleet.Start(kRoutes);
  int count = 0;
  for (const auto& [name, answer] : answers) {
    INFO(name << ", reset: " << isReset);
    FakeUpstream& upstream = *fleet.At(1).mUpstream;
    upstream.SetBehaviour(
      [&, text = answer](Connection& aConnection, const HttpRequest& aRequest) {
        aConnection.mStream->Write(WithId(text, aRequest));
        if (isReset) {
          fleet.Loop().Defer([&] { aConnection.mStream->Reset(); });
        } else {
          aConnection.mStream->Close();
        }
      });
    // Over two nodes, and over one.
    const std::string once = "once-" + std::to_string(++count);
    const std::string many = "many-" + std::to_string(count);
    const auto far = fleet.Call(0, "POST", "/visit/1", once);
    const auto near = fleet.Call(1, "GET", "/crews/1", many);
    REQUIRE(fleet.Until([&] { return far->mIsDone && near->mIsDone; }));
    for (const auto& it : { far, near }) {
      CHECK(it->mHttp.mStatus == 502);
      CHECK(it->mHttp.mBody.empty());
    }
    CHECK(upstream.RunsOf(once) == 1);
    CHECK(upstream.RunsOf(many) == 1);
    // Sound answers end the backoff of the upstream, and keep the share of
    // failures below that at which entries refuse requests.
    upstream.SetBehaviour(
      [](Connection& aConnection, const HttpRequest& aRequest) {
        FakeUpstream::Respond(aConnection, aRequest, 200, "served");
      });
    fleet.RunFor(kBackoff);
    for (int n = 0; n < kSoundRequestCount; ++n) {
      const std::string id = fmt::format("sound-{}-{}", count, n);
      CHECK(fleet.CallAndWait(0, "POST", "/visit/1", id).mBody == "served");
      CHECK(fleet.CallAndWait(1, "GET", "/crews/1", id).mBody == "served");
    }
  }
}

// Guards against a refusal that is taken for the answer of the next request on
// its connection, which runs.
TEST_CASE("an earlier refusal that is repeated refuses no other request")
{
  struct Case
  {
    const char* mName;
    std::string mWithRefusal; ///< Written right after the refusal.
    Duration mLater; ///< Written so long after it, on an idle connection.
    std::string mBeforeAnswer; ///< Written when the next request is complete.
  };
  const std::string anonymous = "HTTP/1.1 503 Service Unavailable\r\n"
                                "Test-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
                                  "Test-Id: {id}\r\nTest-Not-Run: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
  const std::string chunked = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Test-Id: {id}\r\nTest-Not-Run: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  const std::vector<Case> cases{
    { "at once", kRefusal, {}, "" },
    { "on the idle connection", "", milliseconds(20), "" },
    { "before the next answer", "", {}, kRefusal },
    { "without an id", "", {}, anonymous },
    { "as of another instance", "", {}, misdirected },
    { "in chunks", "", {}, chunked },
    { "twice", "", {}, kRefusal + kRefusal },
    { "at once and before the next answer", kRefusal, {}, kRefusal },
  };
  const bool isOnce = GENERATE(false, true);
  for (const Case& it : cases) {
    INFO(it.mName << ", once: " << isOnce);
    ProxyFleet fleet({ "logs", "crews" });
    fleet.Start(kRoutes);
    std::optional<HttpRequest> refused;
    Timer timer(fleet.Loop());
    fleet.At(1).mUpstream->SetBehaviour(
      [&](Connection& aConnection, const HttpRequest& aRequest) {
        if (!refused) {
          refused = aRequest;
          aConnection.mStream->Write(
            WithId(kRefusal + it.mWithRefusal, aRequest));
          if (it.mLater > Duration::zero()) {
            timer.Start(it.mLater, Duration::zero(), [&] {
              aConnection.mStream->Write(WithId(kRefusal, *refused));
            });
          }
          return;
        }
        aConnection.mStream->Write(WithId(it.mBeforeAnswer, *refused));
        timer.Start(milliseconds(30), Duration::zero(), [&, aRequest] {
          FakeUpstream::Respond(aConnection, aRequest, 200, "own");
        });
      });
    const std::string method = isOnce ? "POST" : "GET";
    const std::string path = isOnce ? "/visit/1" : "/crews/1";
    CHECK(fleet.CallAndWait(0, method, path, "first").mStatus == 503);
    fleet.RunFor(it.mLater * 2);
    const HttpResponse second = fleet.CallAndWait(0, method, path, "second");
    CHECK(second.mStatus == 200);
    CHECK(second.mBody == "own");
    CHECK(fleet.At(1).mUpstream->RunsOf("second") == 1);
    const HttpResponse third = fleet.CallAndWait(0, method, path, "third");
    CHECK(third.mStatus == 200);
    CHECK(fleet.At(1).mUpstream->RunsOf("third") == 1);
  }
}

// Guards against a refusal that arrives while the body of the next request is
// still on its way.
TEST_CASE("an earlier refusal repeated during a long body refuses nothing")
{
  ProxyFleet fleet({ "logs", "crews" });
  fleet.Start(kRoutes);
  fleet.At(1).mUpstream->Crash(); // Its address is taken over below.
  struct Served
  {
    std::unique_ptr<TcpStream> mStream;
    RequestReader mReader{ ReadLimits{} };
    bool mHasRepeated = false;
  };
  std::vector<std::unique_ptr<Served>> connections;
  std::optional<HttpRequest> refused;
  std::vector<std::string> completed;
  TcpListener listener(fleet.Loop());
  const auto serve = [&](Served& aServed, std::string_view aData) {
    if (refused && !std::exchange(aServed.mHasRepeated, true)) {
      aServed.mStream->Write(WithId(kRefusal, *refused));
    }
    aServed.mReader.Feed(aData);
    while (auto request = aServed.mReader.Next()) {
      if (!refused) {
        refused = request->mHttp;
        aServed.mStream->Write(WithId(kRefusal, *refused));
        continue;
      }
      completed.emplace_back(FindHeader(request->mHttp.mHeaders, "Test-Id"));
      aServed.mStream->Write(WithId("HTTP/1.1 200 OK\r\nTest-Id: {id}\r\n"
                                    "Test-Signature: s\r\n"
                                    "Content-Length: 3\r\n\r\nown",
                                    request->mHttp));
    }
  };
  REQUIRE(listener.Listen(
    fleet.At(1).mHost + ":7500", {}, [&](std::unique_ptr<TcpStream> aStream) {
      Served& served = *connections.emplace_back(std::make_unique<Served>());
      served.mStream = std::move(aStream);
      served.mStream->SetCallbacks(
        { .mOnData = [&serve, &served](std::string_view aData) {
          serve(served, aData);
        } });
    }));
  CHECK(fleet.CallAndWait(0, "POST", "/visit/1", "first").mStatus == 503);
  const std::string body(size_t(4) * 1024 * 1024, 'x');
  auto second = fleet.Call(0, "POST", "/visit/1", "second", 3000, body);
  REQUIRE(fleet.Until([&] { return second->mIsDone; }));
  CHECK(second->mHttp.mStatus == 200);
  CHECK(second->mHttp.mBody == "own");
  CHECK(completed == std::vector<std::string>{ "second" });
}
