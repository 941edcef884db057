#include <catch2/catch.hpp>

#include "ProxyFleet.h"
#include "RawClient.h"
#include "proxy/CallerSide.h"
#include "wire/FrameCodec.h"

using namespace amaranthgap;

namespace {

constexpr size_t kEntry = 0;
constexpr size_t kTarget = 1;
constexpr uint16_t kCallerPort = 7501;
constexpr uint16_t kPeerPort = 7504;
constexpr Duration kShutdownTime = seconds(6);
// Time of a shutdown in which requests are taken.
constexpr Duration kTakingTime = milliseconds(2600);
// Answers that the kernel holds whole, and those that the process holds, too.
constexpr size_t kShortBytes = 9000;
constexpr size_t kLongBytes = size_t(4) * 1024 * 1024;
constexpr size_t kBodyBytes = size_t(100) * 1024;

std::string
Request(const std::string& aMethod,
        const std::string& aPath,
        const std::string& aId,
        size_t aBodyBytes = 0,
        const HttpHeaders& aMore = {})
{
  HttpRequest out{ .mMethod = aMethod,
                   .mPath = aPath,
                   .mHeaders = { { "Host", "h" },
                                 { "Test-Id", aId },
                                 { "Test-Left", "8000" } },
                   .mBody = std::string(aBodyBytes, 'b') };
  out.mHeaders.insert(out.mHeaders.end(), aMore.begin(), aMore.end());
  return FormatRequest(out);
}

/** @return the answers that arrived whole. */
std::vector<HttpResponse>
AnswersOf(const RawClient& aClient)
{
  ResponseReader reader{ ReadLimits{} };
  reader.Feed(aClient.Received());
  std::vector<HttpResponse> out;
  while (auto response = reader.Next(false)) {
    out.push_back(std::move(response->mHttp));
  }
  return out;
}

/** Two nodes, of which the second serves short and long answers. A process that
 * has stopped is ended, which closes its sockets. */
class ClosingFleet : public ProxyFleet
{
public:
  ClosingFleet()
    : ProxyFleet({ "crews", "logs" })
  {
    Start("1 /logs/ logs MANY 8000");
    At(kTarget).mUpstream->SetBehaviour(
      [](FakeUpstream::Connection& aConnection, const HttpRequest& aRequest) {
        const bool isLong = aRequest.mPath == "/logs/long";
        FakeUpstream::Respond(
          aConnection,
          aRequest,
          200,
          std::string(isLong ? kLongBytes : kShortBytes, 'x'));
      });
  }

  std::unique_ptr<RawClient> Connect(size_t aNode, uint16_t aPort)
  {
    return std::make_unique<RawClient>(At(aNode).mHost, aPort);
  }

  template<class Condition>
  bool Until(Condition aCondition)
  {
    return ProxyFleet::Until([&] {
      for (const size_t node : { kEntry, kTarget }) {
        if (At(node).mIsStopped) {
          At(node).mProxy.reset();
        }
      }
      return aCondition();
    });
  }

  void Pass(Duration aTime)
  {
    const TimePoint end = EventLoop::Now() + aTime;
    Until([end] { return EventLoop::Now() >= end; });
  }
};

/** Caller whose answer is on its way while it sends more. */
struct SendingCaller
{
  size_t mBytes = 0; ///< Of the answer.
  std::string mMore; ///< What it sends besides.
  bool mIsEarly = false;
  std::unique_ptr<RawClient> mClient;
};

std::vector<SendingCaller>
SendingCallers(ClosingFleet& aFleet)
{
  const std::string upload = Request("POST", "/logs/1", "upload", kBodyBytes);
  std::vector<SendingCaller> out;
  const auto add = [&](size_t aBytes, const std::string& aMore) {
    for (const bool isEarly : { false, true }) {
      out.push_back(
        { aBytes, aMore, isEarly, aFleet.Connect(kEntry, kCallerPort) });
    }
  };
  add(kShortBytes, "");
  for (const size_t bytes : { kShortBytes, kLongBytes }) {
    add(bytes, Request("GET", "/logs/1", "further"));
    add(bytes, upload);
    add(bytes, upload.substr(0, upload.size() - kBodyBytes / 2));
  }
  return out;
}

} // namespace

// Guards against a reset by which a caller loses an answer that is on its way,
// because it sends more while the process closes its connection and ends.
TEST_CASE("what a caller sends during a shutdown costs it no answer")
{
  ClosingFleet fleet;
  auto callers = SendingCallers(fleet);
  const TimePoint start = EventLoop::Now();
  fleet.At(kEntry).mProxy->StartShutdown();
  fleet.Pass(kTakingTime - milliseconds(300));
  for (size_t n = 0; n < callers.size(); ++n) {
    const bool isLong = callers[n].mBytes == kLongBytes;
    callers[n].mClient->Send(Request(
      "GET", isLong ? "/logs/long" : "/logs/short", "id-" + std::to_string(n)));
    callers[n].mClient->Move(false);
  }
  const FakeUpstream& upstream = *fleet.At(kTarget).mUpstream;
  REQUIRE(fleet.Until([&] { return upstream.Runs() == callers.size(); }));
  const auto sendMore = [&](bool aIsEarly) {
    for (SendingCaller& it : callers) {
      if (it.mIsEarly == aIsEarly) {
        it.mClient->Send(it.mMore);
        it.mClient->Move(false);
      }
    }
  };
  sendMore(true);
  fleet.Pass(start + kTakingTime + milliseconds(300) - EventLoop::Now());
  sendMore(false);
  fleet.Pass(milliseconds(200));
  fleet.Until([&] {
    bool haveEnded = true;
    for (SendingCaller& it : callers) {
      haveEnded = it.mClient->Move() && haveEnded;
    }
    return haveEnded;
  });
  for (const SendingCaller& it : callers) {
    const auto answers = AnswersOf(*it.mClient);
    CAPTURE(it.mBytes, it.mMore.substr(0, it.mMore.find(' ')), it.mIsEarly);
    CAPTURE(it.mMore.size(), answers.empty() ? 0 : answers[0].mStatus);
    CHECK((!answers.empty() && answers[0].mStatus == 200 &&
           answers[0].mBody.size() == it.mBytes));
    for (size_t n = 1; n < answers.size(); ++n) {
      CHECK((answers[n].mStatus == 200 || answers[n].mStatus == 503));
    }
  }
  callers.clear();
  CHECK(fleet.Until([&] { return fleet.At(kEntry).mIsStopped; }));
  CHECK(EventLoop::Now() - start < kShutdownTime);
}

// Guards against a reset by which a caller loses an answer that is on its way,
// because it goes on sending after the answer that closes its connection.
TEST_CASE("what a caller sends behind a closing answer costs it no answer")
{
  ClosingFleet fleet;
  const auto closing = fleet.Connect(kEntry, kCallerPort);
  closing->Send(
    Request("GET", "/logs/short", "id-1", 0, { { "Connection", "close" } }));
  // Its body exceeds the limit: the head alone is refused.
  const auto refused = fleet.Connect(kEntry, kCallerPort);
  refused->Send(Request("GET", "/logs/short", "id-2"));
  refused->Send("POST /logs/1 HTTP/1.1\r\nHost: h\r\nTest-Id: id-3\r\n"
                "Content-Length: 1000000000\r\n\r\n");
  const FakeUpstream& upstream = *fleet.At(kTarget).mUpstream;
  REQUIRE(fleet.Until([&] {
    closing->Move(false);
    refused->Move(false);
    return upstream.Runs() == 2;
  }));
  fleet.Pass(milliseconds(100));
  for (RawClient* it : { closing.get(), refused.get() }) {
    it->Send(std::string(kBodyBytes, 'b'));
    it->Move(false);
  }
  fleet.Pass(milliseconds(200));
  CHECK(fleet.Until([&] {
    const bool hasEnded = closing->Move();
    return refused->Move() && hasEnded;
  }));
  const auto answers = AnswersOf(*refused);
  REQUIRE(AnswersOf(*closing).size() == 1);
  REQUIRE(answers.size() == 2);
  CHECK(AnswersOf(*closing)[0].mBody.size() == kShortBytes);
  CHECK(answers[0].mBody.size() == kShortBytes);
  CHECK(answers[1].mStatus == 413);
}

// Guards against losing the rest of an answer to a caller that has sent its
// last request and ends its side while it reads.
TEST_CASE("a caller that ends its side early gets the rest of its answer")
{
  ClosingFleet fleet;
  const auto caller = fleet.Connect(kEntry, kCallerPort);
  caller->Send(Request("GET", "/logs/long", "id-1"));
  caller->Move(false);
  REQUIRE(
    fleet.Until([&] { return fleet.Metric(kEntry, "answered_total") == 1; }));
  fleet.Pass(milliseconds(100));
  caller->ShutDownSending();
  fleet.Pass(milliseconds(200));
  CHECK(fleet.Until([&] { return caller->Move(); }));
  REQUIRE(AnswersOf(*caller).size() == 1);
  CHECK(AnswersOf(*caller)[0].mBody.size() == kLongBytes);
}

// Guards against a process that waits without a bound for callers that do not
// take their answers, or do not close their connections.
TEST_CASE("callers that neither read nor close do not hold up a shutdown")
{
  ClosingFleet fleet;
  const bool areAnswersTaken = GENERATE(false, true);
  std::vector<std::unique_ptr<RawClient>> callers;
  for (const char* path : { "/logs/short", "/logs/long" }) {
    callers.push_back(fleet.Connect(kEntry, kCallerPort));
    callers.back()->Send(Request("GET", path, path));
    callers.back()->Move(false);
  }
  const TimePoint start = EventLoop::Now();
  fleet.At(kEntry).mProxy->StartShutdown();
  CHECK(fleet.Until([&] {
    for (const auto& it : callers) {
      it->Move(areAnswersTaken);
      it->Send("x"); // A further request that never ends.
    }
    return fleet.At(kEntry).mIsStopped;
  }));
  CHECK(EventLoop::Now() - start < kShutdownTime);
}

// Guards against lost replies of requests that ran, because another node sends
// more while the process that ran them ends.
TEST_CASE("what a node sends during a shutdown of another costs it no reply")
{
  ClosingFleet fleet;
  const auto peer = fleet.Connect(kTarget, kPeerPort);
  NodeAddress self;
  self.mNode = "peer";
  peer->Send(EncodeFrame(LinkHello{ .mFrom = self }));
  ForwardRequest request;
  request.mCall = 7;
  request.mRequestId = "id-1";
  request.mService = "logs";
  request.mInstance = "i1";
  request.mTimeLeftMs = 8000;
  request.mIdempotent = true;
  request.mHttp = { .mMethod = "GET",
                    .mPath = "/logs/short",
                    .mHeaders = { { "Test-Id", "id-1" } } };
  peer->Send(EncodeFrame(request));
  peer->Move(false);
  FakeUpstream& upstream = *fleet.At(kTarget).mUpstream;
  std::function<void()> respond;
  upstream.SetBehaviour(
    [&](FakeUpstream::Connection& aConnection, const HttpRequest& aRequest) {
      respond = [&aConnection, aRequest] {
        FakeUpstream::Respond(
          aConnection, aRequest, 200, std::string(kShortBytes, 'x'));
      };
    });
  REQUIRE(fleet.Until([&] { return upstream.Runs() == 1; }));
  const TimePoint start = EventLoop::Now();
  fleet.At(kTarget).mProxy->StartShutdown();
  fleet.Pass(kTakingTime - milliseconds(200));
  respond();
  fleet.Pass(milliseconds(500));
  peer->Send(EncodeFrame(LinkProbe{}));
  peer->Move(false);
  fleet.Pass(milliseconds(200));
  CHECK(fleet.Until([&] { return peer->Move(); }));
  FrameReader reader;
  reader.Feed(peer->Received());
  std::optional<ForwardReply> reply;
  while (auto message = reader.Next()) {
    if (!message.value()) {
      break;
    }
    if (auto* found = std::get_if<ForwardReply>(&*message.value())) {
      reply = std::move(*found);
    }
  }
  REQUIRE(reply);
  CHECK(reply->mHttp.mBody.size() == kShortBytes);
  CHECK(EventLoop::Now() - start < kShutdownTime);
}

// Guards against memory without a bound for answers of connections that are
// closed once their callers have read them.
TEST_CASE("unread answers of closing connections stay within the memory limit")
{
  constexpr size_t kLimit = size_t(4) * kLongBytes;
  constexpr size_t kCallers = 10;
  EventLoop loop;
  Logger logger({ .mLevel = LogLevel::Error });
  const auto account = std::make_shared<MemoryAccount>(kLimit);
  size_t answered = 0;
  std::unique_ptr<CallerSide> side;
  side = std::make_unique<CallerSide>(
    loop,
    logger,
    CallerSide::Options{ .mAccount = account },
    CallerSide::Events{ .mRequest =
                          [&](RequestHandle aHandle, const HttpRequest&) {
                            ++answered;
                            side->Answer(
                              aHandle,
                              { .mStatus = 200,
                                .mBody = std::string(2 * kLongBytes, 'x') });
                          },
                        .mGone = [](RequestHandle) {} });
  REQUIRE(side->Listen("127.0.0.1:0"));
  std::vector<std::unique_ptr<RawClient>> callers;
  for (size_t n = 0; n < kCallers; ++n) {
    callers.push_back(std::make_unique<RawClient>("127.0.0.1", side->Port()));
    callers.back()->Send(
      Request("GET", "/", "id", 0, { { "Connection", "close" } }));
    callers.back()->Move(false);
    const TimePoint end = EventLoop::Now() + seconds(2);
    while (answered <= n && EventLoop::Now() < end) {
      loop.RunFor(milliseconds(5));
    }
    side->CloseOverdue(EventLoop::Now());
    CHECK(account->Held() <= kLimit);
  }
  CHECK(answered == kCallers);
}
