#include <catch2/catch.hpp>

#include "ProxyFleet.h"

using namespace amaranthgap;

namespace {

using Connection = FakeUpstream::Connection;

const std::string kRoutes = "1 /logs/ logs MANY 1000";
// The users' bound for what an upstream may get in a window: this many times
// its rate limit, and some more.
constexpr Duration kWindow = seconds(4);
constexpr double kWindowFactor = 1.5;
constexpr double kWindowExtraCount = 5;

double
MostInWindow(double aRate)
{
  return aRate * kWindowFactor * ToSeconds(kWindow) + kWindowExtraCount;
}

FakeUpstream::Behaviour
Answering(const HttpHeaders& aNotice)
{
  return [aNotice](Connection& aConnection, const HttpRequest& aRequest) {
    HttpHeaders headers{ { "Test-Signature", "s" } };
    headers.insert(headers.end(), aNotice.begin(), aNotice.end());
    FakeUpstream::Respond(aConnection, aRequest, 200, "served", headers);
  };
}

/** Nodes 0 and 2 take requests for the upstream beside node 1. */
class NoticeFleet : public ProxyFleet
{
public:
  NoticeFleet()
    : ProxyFleet({ "crews", "logs", "crews" })
  {
    At(1).mSlots = 100;
    Start(kRoutes);
  }

  /** Sends requests from both nodes.
   * @param aRate requests per second. */
  void SendFor(Duration aTime, int aRate)
  {
    const TimePoint end = EventLoop::Now() + aTime;
    while (EventLoop::Now() < end) {
      const size_t node = ++mSent % 2 == 0 ? 0 : 2;
      Call(node, "GET", "/logs/1", "id-" + std::to_string(mSent));
      RunFor(FromSeconds(1.0 / aRate));
    }
  }

  /** Restarts the node beside the upstream, which reports itself again. */
  void RestartProxy()
  {
    At(1).mProxy.reset();
    RunFor(milliseconds(20));
    StartProxy(1);
    Report(1, false);
    for (const size_t n : { 0, 2 }) {
      REQUIRE(Until([&] { return Metric(n, "peers_connected") == 2; }));
    }
  }

  size_t Runs() { return At(1).mUpstream->Runs(); }

private:
  int mSent = 0;
};

} // namespace

// Guards against a gate that knows only the slots of its upstream.
TEST_CASE("an upstream gets no more requests than the rate limit it names")
{
  constexpr double kRate = 20;
  NoticeFleet fleet;
  fleet.At(1).mUpstream->SetBehaviour(Answering({ { "Test-Rate", "20" } }));
  fleet.CallAndWait(0, "GET", "/logs/1", "first");
  const size_t before = fleet.Runs();
  fleet.SendFor(kWindow, 80);
  const auto runs = double(fleet.Runs() - before);
  CHECK(runs <= MostInWindow(kRate));
  CHECK(runs >= 0.8 * kRate * ToSeconds(kWindow));
  // The limit holds for as long as the upstream names it.
  fleet.At(1).mUpstream->SetBehaviour(Answering({}));
  fleet.SendFor(seconds(1), 80);
  const size_t unlimited = fleet.Runs();
  fleet.SendFor(seconds(1), 80);
  CHECK(fleet.Runs() - unlimited >= 60);
}

// Guards against a gate that forgets the limit: until the first answer after a
// restart, it sent as much as the slots take.
TEST_CASE("a rate limit outlives a restart of the node beside its upstream")
{
  constexpr double kRate = 5;
  NoticeFleet fleet;
  fleet.At(1).mUpstream->SetBehaviour(Answering({ { "Test-Rate", "5" } }));
  fleet.CallAndWait(0, "GET", "/logs/1", "first");
  fleet.SendFor(seconds(1), 4); // Below the limit, so that nothing is refused.
  fleet.RestartProxy();
  const size_t before = fleet.Runs();
  fleet.At(1).mUpstream->SetBehaviour([](Connection&, const HttpRequest&) {});
  for (int n = 0; n < 80; ++n) {
    fleet.Call(0, "GET", "/logs/1", "burst-" + std::to_string(n));
  }
  fleet.RunFor(milliseconds(500));
  CHECK(double(fleet.Runs() - before) <= MostInWindow(kRate));
}

// Guards against new work for an upstream that tells of its end in answers
// only.
TEST_CASE("an upstream whose answers say that it leaves gets no more work")
{
  NoticeFleet fleet;
  fleet.At(1).mUpstream->SetBehaviour(Answering({ { "Test-Leaving", "1" } }));
  CHECK(fleet.CallAndWait(0, "GET", "/logs/1", "first").mStatus == 200);
  const size_t before = fleet.Runs();
  for (const size_t n : { 0, 1, 2 }) {
    const auto answer =
      fleet.CallAndWait(n, "GET", "/logs/1", "id-" + std::to_string(n));
    CHECK(answer.mStatus == 503);
  }
  CHECK(fleet.Runs() == before);
  // It does not take work again by a report.
  fleet.Report(1, false);
  fleet.CallAndWait(2, "GET", "/logs/1", "after-report");
  CHECK(fleet.Runs() == before);
}

// Guards against the loss of an announcement with the process that heard it.
TEST_CASE("a leaving upstream is not in use again after a restart beside it")
{
  const std::string told = GENERATE("answer", "report", "report while down");
  INFO("told by " << told);
  NoticeFleet fleet;
  FakeUpstream& upstream = *fleet.At(1).mUpstream;
  if (told == "answer") {
    upstream.SetBehaviour(Answering({ { "Test-Leaving", "1" } }));
    fleet.CallAndWait(0, "GET", "/logs/1", "first");
  } else {
    if (told == "report while down") {
      upstream.SetBehaviour(
        [](Connection& aConnection, const HttpRequest& aRequest) {
          FakeUpstream::Respond(
            aConnection, aRequest, 421, "", { { "Test-Not-Run", "1" } });
        });
      fleet.CallAndWait(0, "GET", "/logs/1", "first");
    }
    fleet.Report(1, true);
  }
  fleet.RunFor(milliseconds(100));
  const size_t before = fleet.Runs();
  fleet.RestartProxy();
  for (const size_t n : { 0, 2 }) {
    fleet.CallAndWait(n, "GET", "/logs/1", "id-" + std::to_string(n));
  }
  CHECK(fleet.Runs() == before);
}
