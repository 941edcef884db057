#include <catch2/catch.hpp>

#include "ProxyFleet.h"

using namespace amaranthgap;

namespace {

using Connection = FakeUpstream::Connection;

constexpr size_t kPieceBytes = size_t(64) * 1024;
// Time for an upstream on the same host to exceed the limits of a response.
constexpr Duration kDetectionTime = seconds(3);

/** Writes pieces to a connection until the node closes it. */
class EndlessWriter
{
public:
  EndlessWriter(EventLoop& aLoop, Connection& aConnection, std::string aPiece)
    : mTimer(aLoop)
  {
    mTimer.Start(Duration::zero(),
                 milliseconds(1),
                 [this, &aConnection, piece = std::move(aPiece)] {
                   if (!aConnection.mIsOpen) {
                     mTimer.Stop();
                   } else if (aConnection.mStream->UnsentBytes() <
                              kPieceBytes) {
                     aConnection.mStream->Write(piece);
                     mWritten += piece.size();
                   }
                 });
  }

  [[nodiscard]] size_t Written() const { return mWritten; }

private:
  Timer mTimer;
  size_t mWritten = 0;
};

struct Case
{
  const char* mName;
  std::string mStart;
  std::string mPiece; ///< Repeated without end.
};

std::vector<Case>
Cases()
{
  const std::string bytes(kPieceBytes, 'x');
  std::string interim;
  std::string foreign;
  while (interim.size() < kPieceBytes) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
    foreign +=
      "HTTP/1.1 200 OK\r\nTest-Id: other\r\nContent-Length: 1\r\n\r\nx";
  }
  return {
    { "a head without end", "HTTP/1.1 200 OK\r\nName: ", bytes },
    { "header lines without end",
      "HTTP/1.1 200 OK\r\n",
      "Name: " + std::string(1000, 'x') + "\r\n" },
    { "a body that ends with the connection",
      "HTTP/1.1 200 OK\r\n\r\n",
      bytes },
    { "a chunked body",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
      "10000\r\n" + bytes + "\r\n" },
    { "no HTTP at all", "", bytes },
    { "interim responses", "", interim },
    { "responses to other requests", "", foreign },
  };
}

} // namespace

// Guards against an upstream in trouble that sends bytes without end: they may
// not fill the memory of the node, keep the caller waiting, or disturb others.
TEST_CASE("bytes without end are cut off and their caller is told at once")
{
  for (const Case& it : Cases()) {
    INFO(it.mName);
    ProxyFleet fleet({ "crews", "logs" });
    fleet.Start("1 /logs/ logs MANY 8000 /book/ logs ONCE 8000");
    std::vector<std::unique_ptr<EndlessWriter>> writers;
    fleet.At(1).mUpstream->SetBehaviour([&](Connection& aConnection,
                                            const HttpRequest& aRequest) {
      if (aRequest.mPath != "/book/endless") {
        FakeUpstream::Respond(aConnection, aRequest, 200, "served");
        return;
      }
      aConnection.mStream->Write(it.mStart);
      writers.push_back(
        std::make_unique<EndlessWriter>(fleet.Loop(), aConnection, it.mPiece));
    });
    const TimePoint start = EventLoop::Now();
    const auto answer = fleet.Call(0, "POST", "/book/endless", "id-1", 8000);
    REQUIRE(fleet.Until([&] { return !writers.empty(); }));
    CHECK(fleet.CallAndWait(0, "GET", "/logs/1", "id-2").mBody == "served");
    REQUIRE(fleet.Until([&] { return answer->mIsDone; }));
    CHECK(answer->mHttp.mStatus == 502); // It may have run.
    CHECK(answer->mTime - start < kDetectionTime);
    const size_t written = writers.front()->Written();
    fleet.RunFor(milliseconds(100));
    CHECK(writers.front()->Written() <= written + 2 * kPieceBytes);
    CHECK(fleet.CallAndWait(0, "GET", "/logs/1", "id-3").mBody == "served");
  }
}

// Guards against the memory of a host: what an upstream on the same host sends
// on many connections within a tick exceeds it.
TEST_CASE("bytes without end on many connections stay within the memory limit")
{
  constexpr uint32_t kSlotCount = 64;
  constexpr int kCallCount = 60;
  constexpr int kLimitBytes = 32 * 1024 * 1024;
  const bool isChunked = GENERATE(false, true);
  INFO("chunked " << isChunked);
  ProxyFleet fleet({ "crews", "logs" });
  fleet.At(1).mSlots = kSlotCount;
  fleet.Start("1 /logs/ logs MANY 8000 /book/ logs ONCE 8000");
  const Case endless = Cases().at(isChunked ? 3 : 2);
  std::vector<std::unique_ptr<EndlessWriter>> writers;
  fleet.At(1).mUpstream->SetBehaviour(
    [&](Connection& aConnection, const HttpRequest& aRequest) {
      if (aRequest.mPath != "/book/endless") {
        FakeUpstream::Respond(aConnection, aRequest, 200, "served");
        return;
      }
      aConnection.mStream->Write(endless.mStart);
      writers.push_back(std::make_unique<EndlessWriter>(
        fleet.Loop(), aConnection, endless.mPiece));
    });
  std::vector<std::shared_ptr<ProxyFleet::Answer>> answers;
  answers.reserve(kCallCount);
  for (int n = 0; n < kCallCount; ++n) {
    answers.push_back(
      fleet.Call(0, "POST", "/book/endless", "id-" + std::to_string(n), 8000));
  }
  REQUIRE(fleet.Until([&] {
    return std::all_of(answers.begin(), answers.end(), [](const auto& aAnswer) {
      return aAnswer->mIsDone;
    });
  }));
  for (const auto& it : answers) {
    CHECK((it->mHttp.mStatus == 502 || it->mHttp.mStatus == 429));
  }
  CHECK(fleet.Metric(1, "response_buffer_peak_bytes") > 0);
  CHECK(fleet.Metric(1, "response_buffer_peak_bytes") <= kLimitBytes);
  CHECK(fleet.CallAndWait(0, "GET", "/logs/1", "after").mBody == "served");
}

// Guards against the memory of a host: each response stays within its own
// limit, but many at once do not fit.
TEST_CASE("many long responses at once stay within the memory of the node")
{
  ProxyFleet fleet({ "crews", "logs" });
  fleet.Start("1 /logs/ logs MANY 8000");
  constexpr size_t kCallCount = 9; // The slots of the upstream.
  constexpr size_t kLongBytes = size_t(7) * 1024 * 1024;
  const std::string body(kLongBytes, 'x');
  size_t started = 0;
  fleet.At(1).mUpstream->SetBehaviour(
    [&](Connection& aConnection, const HttpRequest&) {
      // Complete but for the last byte.
      aConnection.mStream->Write(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongBytes + 1) +
        "\r\n\r\n" + body);
      ++started;
    });
  std::vector<std::shared_ptr<ProxyFleet::Answer>> answers;
  for (size_t n = 0; n < kCallCount; ++n) {
    answers.push_back(
      fleet.Call(0, "GET", "/logs/1", "id-" + std::to_string(n), 8000));
  }
  REQUIRE(fleet.Until([&] { return started >= kCallCount; }));
  fleet.RunFor(seconds(1));
  size_t mostBytes = 0;
  for (int n = 0; n < 20; ++n) {
    fleet.RunFor(milliseconds(50));
    mostBytes =
      std::max(mostBytes, size_t(fleet.Metric(1, "response_buffer_bytes")));
  }
  CHECK(mostBytes > 0);
  CHECK(mostBytes <= size_t(32) * 1024 * 1024);
}
