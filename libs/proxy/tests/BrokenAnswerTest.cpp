#include <csignal>
#include <mutex>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "ProxyFleet.h"
#include "RawUpstream.h"
#include "proxy/StatusCheck.h"

using namespace amaranthgap;

namespace {

using Connection = RawUpstream::Connection;

// An upstream that failed gets no requests for a shorter time.
constexpr Duration kBackoff = milliseconds(220);
constexpr int kSoundRequestCount = 4;
constexpr int kTimeLeftMs = 3000;
constexpr size_t kUploadBytes = 6'000'000;

/** @return the head of an answer without its framing and end. */
std::string
SignedHead(const Connection& aConnection, const std::string& aStatus = "200")
{
  return "HTTP/1.1 " + aStatus +
         " Status\r\nTest-Id: " + aConnection.Header("Test-Id") +
         "\r\nTest-Signature: s\r\n";
}

/** Fleet whose second node is beside a raw upstream. */
class Setup
{
public:
  explicit Setup(const std::vector<std::string>& aServices)
    : mFleet(aServices)
  {
    std::signal(SIGPIPE, SIG_IGN); // As the program does.
    mFleet.Start("1 /visit/ crews ONCE 3000 /crews/ crews MANY 3000");
    mFleet.At(1).mUpstream->Crash(); // Its address is taken over below.
    mUpstream = std::make_unique<RawUpstream>(
      mFleet.At(1).mHost + ":7500",
      [this](const Connection& aConnection) { Serve(aConnection); });
  }

  /** @return what a client of the first node gets for a request that the raw
   * upstream answers by this script; its status is 0 if that is no answer. */
  HttpResponse Call(const std::string& aPath,
                    const std::string& aBody,
                    RawUpstream::Script aScript)
  {
    {
      const std::scoped_lock lock(mMutex);
      mScript = std::move(aScript);
    }
    const std::string id = fmt::format("call-{}", ++mCallCount);
    const auto answer = mFleet.Call(0, "POST", aPath, id, kTimeLeftMs, aBody);
    mFleet.Until([&] { return answer->mIsDone; });
    return answer->mHttp;
  }

  /** Ends the backoff of the raw upstream, and keeps the share of failures
   * below that at which entries refuse requests. */
  void Recover()
  {
    mFleet.RunFor(kBackoff);
    for (int n = 0; n < kSoundRequestCount; ++n) {
      REQUIRE(Call("/visit/1", "", [](const Connection& aConnection) {
                aConnection.Write(SignedHead(aConnection) +
                                  "Connection: close\r\n"
                                  "Content-Length: 6\r\n\r\nserved");
              }).mBody == "served");
    }
  }

private:
  void Serve(const Connection& aConnection)
  {
    if (aConnection.IsFor(FakeUpstream::kStatusPath)) {
      aConnection.Write("HTTP/1.1 200 OK\r\nTest-Instance: i1\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    // A copy, as a script may go on after its client has the answer.
    RawUpstream::Script script;
    {
      const std::scoped_lock lock(mMutex);
      script = mScript;
    }
    script(aConnection);
  }

  ProxyFleet mFleet;
  int mCallCount = 0;
  std::mutex mMutex;
  RawUpstream::Script mScript; ///< Under mMutex.
  std::unique_ptr<RawUpstream> mUpstream;
};

/** How an upstream breaks off an answer to an upload. */
struct BrokenUpload
{
  bool mIsResetByKernel = false; ///< Since a part of the upload is unread.
  size_t mPartBytes = 0;
  size_t mReadBytes = 0; ///< Of the upload, before the part is sent.
  microseconds mPause{}; ///< Between the part and the reset.
};

std::vector<BrokenUpload>
AllBrokenUploads()
{
  std::vector<BrokenUpload> out;
  for (const bool isResetByKernel : { false, true }) {
    for (const size_t part : { 4, 1'000, 20'000 }) {
      for (const size_t read : { 0, 1'000'000 }) {
        for (const int pause : { 0, 200, 1'000 }) {
          out.push_back({ isResetByKernel, part, read, microseconds(pause) });
        }
      }
    }
  }
  return out;
}

void
BreakOff(const Connection& aConnection, const BrokenUpload& aCase)
{
  aConnection.Read(aCase.mReadBytes);
  aConnection.Write(SignedHead(aConnection) + "\r\n" +
                    std::string(aCase.mPartBytes, 'p'));
  std::this_thread::sleep_for(aCase.mPause);
  if (!aCase.mIsResetByKernel) {
    aConnection.ResetAtEnd();
  }
}

} // namespace

// Guards against a part of an answer without a length that is taken for the
// whole: a write of the upload that fails takes the error of the reset off the
// socket, which then reads as ended. The moment is narrow, so that all orders
// of part, reset and upload are tried.
TEST_CASE("a reset during an upload never makes an answer complete")
{
  Setup setup({ "logs", "crews" });
  const std::string upload(kUploadBytes, 'x');
  for (const BrokenUpload& it : AllBrokenUploads()) {
    INFO("by the kernel: " << it.mIsResetByKernel << ", part of "
                           << it.mPartBytes << " after " << it.mReadBytes
                           << " bytes, pause of " << it.mPause.count()
                           << " us");
    const HttpResponse answer =
      setup.Call("/visit/1", upload, [&](const Connection& aConnection) {
        BreakOff(aConnection, it);
      });
    CHECK(answer.mStatus == 502);
    CHECK(answer.mBody.empty());
    setup.Recover();
  }
}

// Guards against the same on a route whose requests may be repeated, which they
// are as long as the retry budget lasts.
TEST_CASE("a request whose answer was reset may be repeated elsewhere")
{
  Setup setup({ "logs", "crews", "crews" });
  const std::string upload(kUploadBytes, 'x');
  int repeatedCount = 0;
  for (const BrokenUpload& it : AllBrokenUploads()) {
    bool isReset = false;
    const HttpResponse answer =
      setup.Call("/crews/1", upload, [&](const Connection& aConnection) {
        isReset = true;
        BreakOff(aConnection, it);
      });
    const bool isServed = answer.mStatus == 200;
    CHECK((isServed || answer.mStatus == 502));
    CHECK(answer.mBody == (isServed ? "served" : ""));
    repeatedCount += isReset && isServed ? 1 : 0;
  }
  CHECK(repeatedCount > 0);
}

// Guards against refusing an answer without a length that is whole: the
// upstream has sent a FIN, whatever becomes of the upload.
TEST_CASE("an answer that ends before its upload is served whole")
{
  Setup setup({ "logs", "crews" });
  const std::string upload(kUploadBytes, 'x');
  const std::string body(20'000, 'b');
  for (const size_t read : { 0, 1'000'000, 5'000'000 }) {
    for (const size_t readAfterwards : { size_t(0), kUploadBytes - read }) {
      INFO("read " << read << " bytes and then " << readAfterwards);
      const HttpResponse answer =
        setup.Call("/visit/1", upload, [=](const Connection& aConnection) {
          aConnection.Read(read);
          aConnection.Write(SignedHead(aConnection) + "\r\n" + body);
          aConnection.ShutDownWriting();
          aConnection.Read(readAfterwards);
        });
      CHECK(answer.mStatus == 200);
      CHECK(answer.mBody == body);
    }
  }
}

// Guards against a status that is no status of HTTP: it was passed on, or taken
// for an interim answer, whose final one was awaited up to the timeout.
TEST_CASE("an answer with a status outside the range of HTTP gives a 502")
{
  Setup setup({ "logs", "crews" });
  for (const char* status : { "000", "001", "099", "600", "999" }) {
    for (const char* framing : { "", "Content-Length: 6\r\n" }) {
      INFO(status << ' ' << framing);
      const HttpResponse answer =
        setup.Call("/visit/1", "", [=](const Connection& aConnection) {
          aConnection.Write(SignedHead(aConnection, status) + framing +
                            "\r\nbroken");
          if (*framing != '\0') {
            aConnection.Read(1); // Until the proxy closes the connection.
          }
        });
      CHECK(answer.mStatus == 502);
      CHECK(answer.mBody.empty());
      setup.Recover();
    }
  }
}

// Guards against a head that readers take differently: a line that is passed on
// under a name that is none, or whose length is not seen, so that another body
// is served.
TEST_CASE("an answer with a field whose name is no token gives a 502")
{
  const std::vector<std::string> lines{
    "Bad Name: v",
    "Name : v",
    "Name\t: v",
    " Name: v",
    "\tName: v",
    " ",
    ": v",
    "Name",
    "Na\x01me: v",
    "Na\x7fme: v",
    "Na\xffme: v",
    "Na(me): v",
    std::string("Na\0me: v", 8),
    "Name: v\r\n Content-Length: 3",
    "Name: v\r\n\tfolded",
    "Content-Length : 3",
    " Content-Length: 3",
    "Content Length: 3",
  };
  Setup setup({ "logs", "crews" });
  for (const std::string& line : lines) {
    for (const char* framing :
         { "", "Content-Length: 6\r\n", "Transfer-Encoding: chunked\r\n" }) {
      const bool isChunked = *framing == 'T';
      INFO(line << " / " << framing);
      const HttpResponse answer =
        setup.Call("/visit/1", "", [&](const Connection& aConnection) {
          aConnection.Write(
            SignedHead(aConnection) +
            (isChunked ? framing + ("\r\n6\r\nbroken\r\n0\r\nTrailer: v\r\n" +
                                    line + "\r\n\r\n")
                       : line + "\r\n" + framing + "\r\nbroken"));
        });
      CHECK(answer.mStatus == 502);
      CHECK(answer.mBody.empty());
      setup.Recover();
    }
  }
}

// Guards against a status that the upstream did not tell.
TEST_CASE("a broken answer to a status check tells no status")
{
  struct Case
  {
    const char* mName;
    std::string mBytes;
    bool mIsReset = false;
    bool mIsReady = false;
  };
  const std::string head = "HTTP/1.1 200 OK\r\nTest-Instance: i1\r\n";
  const std::string end = "Content-Length: 0\r\n\r\n";
  const std::vector<Case> cases{
    { "whole", head + end, false, true },
    { "whole without a length", head + "\r\nready", false, true },
    { "reset without a length", head + "\r\nready", true },
    { "status 000", "HTTP/1.1 000 OK\r\n" + end },
    { "status 000 without a length", "HTTP/1.1 000 OK\r\n\r\n" },
    { "blank in a name", head + "Bad Name: v\r\n" + end },
    { "control byte in a name", head + "N\x01: v\r\n" + end },
    { "folded line", head + " more\r\n" + end },
  };
  EventLoop loop;
  const std::string address = "127.77.1.1:7500";
  for (const Case& it : cases) {
    INFO(it.mName);
    const RawUpstream upstream(address, [&](const Connection& aConnection) {
      aConnection.Write(it.mBytes);
      if (it.mIsReset) {
        aConnection.ResetAtEnd();
      }
    });
    StatusCheck check(
      loop,
      { .mAddress = address,
        .mHeaders = { .mInstance = "Test-Instance", .mNotExecuted = "Not-Run" },
        .mReadNotice = [](const HttpHeaders&) { return AnswerNotice{}; } });
    std::optional<UpstreamStatus> status;
    check.Start("/status",
                [&](const UpstreamStatus& aStatus) { status = aStatus; });
    while (!status) {
      loop.RunFor(milliseconds(5));
    }
    CHECK((status->mVerdict == StatusVerdict::Ready) == it.mIsReady);
    CHECK(status->mInstance == (it.mIsReady ? "i1" : ""));
  }
}
