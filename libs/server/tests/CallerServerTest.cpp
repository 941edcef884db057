#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <optional>

#include <fmt/format.h>

#include "TestSocket.h"
#include "server/CallerInterface.h"
#include "server/CallerServer.h"

using namespace amaranthgap;

namespace {

/** Both ports, with decisions that the test plays. */
class Ports
{
public:
  Ports()
    : mServer({ .mCaller = { .mAddress = "127.0.0.1:0", .mMaxWorkers = 4 },
                .mLocal = { .mAddress = "127.0.0.1:0", .mMaxWorkers = 4 } },
              MakeHooks(),
              mMetrics)
  {
    REQUIRE(mServer.Start());
  }
  ~Ports() { mServer.Stop(Duration::zero()); }

  CallerCall WaitForCall()
  {
    CallerCall out;
    REQUIRE(Eventually([&] {
      const std::scoped_lock lock(mMutex);
      if (mCalls.empty()) {
        return false;
      }
      out = mCalls.front();
      mCalls.erase(mCalls.begin());
      return true;
    }));
    return out;
  }

  std::mutex mMutex;
  std::vector<CallerCall> mCalls;
  std::vector<CallerHandle> mGone;
  std::optional<Announcement> mAnnouncement;
  Metrics mMetrics;
  CallerServer mServer;

private:
  CallerServer::Hooks MakeHooks()
  {
    return { .mCallArrived =
               [this](CallerCall aCall) {
                 const std::scoped_lock lock(mMutex);
                 mCalls.push_back(std::move(aCall));
               },
             .mKeyRequested =
               [this](const CallerKeyRequest& aRequest) {
                 mServer.Answer({ .mCaller = aRequest.mCaller,
                                  .mIssuedKey = aRequest.mService + "/" +
                                                aRequest.mRequestClass });
               },
             .mCallerGone =
               [this](CallerHandle aCaller) {
                 const std::scoped_lock lock(mMutex);
                 mGone.push_back(aCaller);
               },
             .mAnnounced =
               [this](Announcement aAnnouncement) {
                 const std::scoped_lock lock(mMutex);
                 mAnnouncement = std::move(aAnnouncement);
               },
             .mOperator =
               [](const std::string& aPath, const std::string& aQuery) {
                 return RenderJson(200, aPath + aQuery);
               } };
  }
};

const std::string kCall = "POST /call/billing/a/b?c=%41 HTTP/1.1\r\n"
                          "Host: h\r\n"
                          "amaranthgap-caller: rider\r\n"
                          "Amaranthgap-Class: charge\r\n"
                          "Amaranthgap-Timeout-Ms: 1500\r\n"
                          "X-Request-Id: r-1\r\n"
                          "traceparent: 00-1-2-01\r\n"
                          "Idempotency-Key: k\r\n"
                          "Amaranthgap-Context: forged\r\n"
                          "Connection: keep-alive, X-Hop\r\n"
                          "X-Hop: 1\r\n"
                          "X-Kept: %0d%0a\r\n"
                          "Accept-Encoding: gzip\r\n"
                          "Range: bytes=0-1\r\n"
                          "Content-Type: multipart/form-data; boundary=b\r\n"
                          "Content-Length: 3\r\n\r\nabc";

bool
Has(const std::string& aAnswer, const std::string& aText)
{
  return aAnswer.find(aText) != std::string::npos;
}

} // namespace

// Guards against headers or bodies that are changed between caller and
// upstream, and against own headers that reach the upstream.
TEST_CASE("a call arrives as it was sent", "[server]")
{
  Ports ports;
  TestSocket socket(ports.mServer.CallerPort().Port());
  socket.Send(kCall);
  const CallerCall call = ports.WaitForCall();
  CHECK(call.mCallerName == "rider");
  CHECK(call.mService == "billing");
  CHECK(call.mRequestClass == "charge");
  CHECK(call.mTimeout == milliseconds(1500));
  CHECK(call.mRequest.mValue == "r-1");
  CHECK(call.mKey == "k");
  CHECK_FALSE(call.mFromUpstream);
  CHECK(call.mContext.empty());
  CHECK(call.mHttp.mMethod == "POST");
  CHECK(call.mHttp.mPath == "/a/b?c=%41");
  CHECK(call.mHttp.mBody == "abc");
  CHECK(call.mHttp.mHeaders ==
        HttpHeaders{ { "traceparent", "00-1-2-01" },
                     { "Idempotency-Key", "k" },
                     { "X-Kept", "%0d%0a" },
                     { "Accept-Encoding", "gzip" },
                     { "Range", "bytes=0-1" },
                     { "Content-Type", "multipart/form-data; boundary=b" } });
  const std::string body(5000, 'x');
  ports.mServer.Answer(
    { .mCaller = call.mCaller,
      .mRequest = call.mRequest,
      .mOutcome = Outcome::Answered,
      .mHttp = { 299,
                 { { "Content-Type", "application/json" }, { "B", "%41" } },
                 body } });
  const std::string answer = socket.ReadAnswer();
  CHECK(answer.starts_with("HTTP/1.1 299 "));
  CHECK(Has(answer, "\r\nB: %41\r\n"));
  CHECK(Has(answer, "Amaranthgap-Outcome: answered"));
  CHECK(Has(answer, "X-Request-Id: r-1"));
  CHECK(Has(answer, "traceparent: 00-1-2-01"));
  // Neither compressed nor cut to the range by the library.
  CHECK(answer.ends_with("\r\n\r\n" + body));
}

// Guards against refusals that a client takes for another outcome, or that do
// not say when to come back.
TEST_CASE("each refusal has its status and headers", "[server]")
{
  struct Row
  {
    Outcome mOutcome;
    Reason mReason;
    int mStatus;
  };
  for (const Row& row : { Row{ Outcome::NotRun, Reason::BadRequest, 400 },
                          Row{ Outcome::NotRun, Reason::UnknownCaller, 403 },
                          Row{ Outcome::NotRun, Reason::UnknownService, 404 },
                          Row{ Outcome::NotRun, Reason::KeyRequired, 409 },
                          Row{ Outcome::NotRun, Reason::TooLarge, 413 },
                          Row{ Outcome::NotRun, Reason::KeyMismatch, 422 },
                          Row{ Outcome::NotRun, Reason::Throttled, 429 },
                          Row{ Outcome::NotRun, Reason::Overloaded, 503 },
                          Row{ Outcome::NotRun, Reason::Leaving, 503 },
                          Row{ Outcome::MayHaveRun, Reason::Leaving, 504 },
                          Row{ Outcome::MayHaveRun, Reason::PeerLost, 504 } }) {
    const HttpResponse out = RenderAnswer({ .mRequest = { "r" },
                                            .mOutcome = row.mOutcome,
                                            .mReason = row.mReason,
                                            .mRetryAfter = milliseconds(1001),
                                            .mIssuedKey = "key" });
    INFO(ToName(row.mReason));
    CHECK(out.mStatus == row.mStatus);
    CHECK(FindHeader(out.mHeaders, "Amaranthgap-Outcome") ==
          ToName(row.mOutcome));
    CHECK(FindHeader(out.mHeaders, "Amaranthgap-Reason") ==
          ToName(row.mReason));
    // A request at fault is not told to come back.
    const bool comesBack = row.mStatus == 429 || row.mStatus >= 503;
    CHECK(FindHeader(out.mHeaders, "Retry-After") == (comesBack ? "2" : ""));
    CHECK(FindHeader(out.mHeaders, "Amaranthgap-Retry-After-Ms") ==
          (comesBack ? "1001" : ""));
    CHECK(FindHeader(out.mHeaders, "Idempotency-Key") == "key");
    CHECK(FindHeader(out.mHeaders, "X-Request-Id") == "r");
  }
}

// Guards against faulty requests that reach the decisions.
TEST_CASE("faulty calls are refused at the port", "[server]")
{
  Ports ports;
  for (const std::string head :
       { "GET /other HTTP/1.1\r\n",
         "GET /call/ HTTP/1.1\r\nAmaranthgap-Class: c\r\n",
         "GET /call/s/x HTTP/1.1\r\n",
         "GET /call/s/x HTTP/1.1\r\nAmaranthgap-Class: c\r\n"
         "Amaranthgap-Timeout-Ms: 0\r\n",
         "GET /call/s/x HTTP/1.1\r\nAmaranthgap-Class: c\r\n"
         "Amaranthgap-Timeout-Ms: 1x\r\n",
         "GET /call/s/x HTTP/1.1\r\nAmaranthgap-Class: c\r\n"
         "X-Request-Id: a b\r\n" }) {
    INFO(head);
    TestSocket socket(ports.mServer.CallerPort().Port());
    socket.Send(head + "\r\n");
    const std::string answer = socket.ReadAnswer();
    CHECK(answer.starts_with("HTTP/1.1 40"));
    CHECK(Has(answer, "Amaranthgap-Outcome: not-run"));
  }
  CHECK(ports.mCalls.empty());
}

// Guards against calls in flight that hold workers, so that child calls or
// other callers wait for them.
TEST_CASE("many more calls than workers are in flight", "[server]")
{
  Ports ports;
  std::vector<std::unique_ptr<TestSocket>> sockets;
  for (int n = 0; n < 100; ++n) {
    sockets.push_back(
      std::make_unique<TestSocket>(ports.mServer.CallerPort().Port()));
    sockets.back()->Send(fmt::format(
      "GET /call/s/{} HTTP/1.1\r\nAmaranthgap-Class: c\r\n\r\n", n));
  }
  std::vector<CallerCall> calls;
  calls.reserve(100);
  for (int n = 0; n < 100; ++n) {
    calls.push_back(ports.WaitForCall());
  }
  TestSocket child(ports.mServer.LocalPort().Port());
  child.Send("GET /call/s/x HTTP/1.1\r\nAmaranthgap-Class: c\r\n"
             "Amaranthgap-Context: ctx\r\n\r\n");
  const CallerCall fromUpstream = ports.WaitForCall();
  CHECK(fromUpstream.mFromUpstream);
  CHECK(fromUpstream.mContext == "ctx");
  for (auto it = calls.rbegin(); it != calls.rend(); ++it) {
    ports.mServer.Answer({ .mCaller = it->mCaller,
                           .mOutcome = Outcome::Answered,
                           .mHttp = { 200, {}, it->mHttp.mPath } });
  }
  for (int n = 0; n < 100; ++n) {
    CHECK(sockets[size_t(n)]->ReadAnswer().ends_with(fmt::format("/{}", n)));
  }
}

// Guards against an answer that is given to the next request after the caller
// of the first one has gone, and against a second answer.
TEST_CASE("a caller that disconnects ends its call", "[server]")
{
  Ports ports;
  TestSocket socket(ports.mServer.CallerPort().Port());
  socket.Send(kCall);
  const CallerCall call = ports.WaitForCall();
  socket.Close();
  REQUIRE(Eventually([&] {
    const std::scoped_lock lock(ports.mMutex);
    return ports.mGone.size() == 1;
  }));
  CHECK(ports.mGone[0] == call.mCaller);
  ports.mServer.Answer({ .mCaller = call.mCaller });
  ports.mServer.Answer({ .mCaller = call.mCaller });
  CHECK(Eventually(
    [&] { return ports.mServer.CallerPort().GetConnectionCount() == 0; }));
}

// Guards against a large answer to a slow reader that is cut or blocks others.
TEST_CASE("a slow reader gets its whole answer", "[server]")
{
  Ports ports;
  TestSocket socket(ports.mServer.CallerPort().Port());
  socket.Send(kCall);
  const CallerCall call = ports.WaitForCall();
  const std::string body(size_t(20) * 1024 * 1024, 'x');
  const auto start = std::chrono::steady_clock::now();
  ports.mServer.Answer({ .mCaller = call.mCaller,
                         .mOutcome = Outcome::Answered,
                         .mHttp = { 200, {}, body } });
  CHECK(std::chrono::steady_clock::now() - start < seconds(1));
  std::this_thread::sleep_for(milliseconds(200));
  const std::string answer = socket.ReadAnswer();
  CHECK(answer.size() > body.size());
  socket.Send(kCall);
  const CallerCall next = ports.WaitForCall();
  ports.mServer.Answer({ .mCaller = next.mCaller,
                         .mOutcome = Outcome::Answered,
                         .mHttp = { 200, {}, "next" } });
  CHECK(socket.ReadAnswer().ends_with("next"));
}

TEST_CASE("keys, announcements and operators have their paths", "[server]")
{
  Ports ports;
  TestSocket caller(ports.mServer.CallerPort().Port());
  caller.Send("GET /v1/idempotency-key?service=a%2Fb&class=c HTTP/1.1\r\n\r\n");
  CHECK(Has(caller.ReadAnswer(), "Idempotency-Key: a/b/c"));
  caller.Send("GET /status HTTP/1.1\r\n\r\n");
  CHECK(caller.ReadAnswer().starts_with("HTTP/1.1 404 "));
  TestSocket local(ports.mServer.LocalPort().Port());
  local.Send("GET /audit?after=3 HTTP/1.1\r\n\r\n");
  CHECK(local.ReadAnswer().ends_with("/audit?after=3"));
  const auto announce = [&](const std::string& aBody) {
    local.Send(fmt::format("PUT /v1/announce HTTP/1.1\r\n"
                           "Content-Length: {}\r\n\r\n{}",
                           aBody.size(),
                           aBody));
    return local.ReadAnswer();
  };
  CHECK(announce(R"({"service":"s","address":"127.0.0.1:1","slots":4,)"
                 R"("warm_up_ms":50,"run":"r","leaving":true})")
          .starts_with("HTTP/1.1 204 "));
  REQUIRE(ports.mAnnouncement);
  CHECK(ports.mAnnouncement->mSlots == 4);
  CHECK(ports.mAnnouncement->mWarmUp == milliseconds(50));
  CHECK(ports.mAnnouncement->mLeaving);
  const std::string extra =
    R"({"service":"s","address":"a","slots":1,"more":1})";
  const std::string negative = R"({"service":"s","address":"a","slots":-1})";
  for (const std::string& bad : { std::string("x"),
                                  std::string("[]"),
                                  std::string(R"({"service":"s"})"),
                                  negative,
                                  extra }) {
    INFO(bad);
    CHECK(announce(bad).starts_with("HTTP/1.1 400 "));
  }
}

// Guards against metrics that a scraper cannot read.
TEST_CASE("histograms are cumulative and complete", "[server]")
{
  Metrics metrics;
  metrics.Observe(Latency::Call, microseconds(30));
  metrics.Observe(Latency::Call, milliseconds(3));
  metrics.Observe(Latency::Call, minutes(2));
  MetricsText text;
  metrics.Render(text);
  CHECK(Has(text.Text(), "# TYPE amaranthgap_call_seconds histogram\n"));
  CHECK(Has(text.Text(), "amaranthgap_call_seconds_bucket{le=\"5e-05\"} 1\n"));
  CHECK(Has(text.Text(), "amaranthgap_call_seconds_bucket{le=\"30\"} 2\n"));
  CHECK(Has(text.Text(), "amaranthgap_call_seconds_bucket{le=\"+Inf\"} 3\n"));
  CHECK(Has(text.Text(), "amaranthgap_call_seconds_count 3\n"));
}
