#include <catch2/catch.hpp>

#include "ProxyFleet.h"

using namespace amaranthgap;

namespace {

using Connection = FakeUpstream::Connection;

constexpr size_t kEntry = 0;
constexpr size_t kNode = 1; // Beside the upstream that is replaced.
constexpr uint32_t kSlots = 4;
constexpr int kRequestCount = 12;

/** A node whose upstream is silent, with requests that run there and others
 * that wait at its gate. */
class ReplacedFleet : public ProxyFleet
{
public:
  ReplacedFleet()
    : ProxyFleet({ "crews", "rounds", "tracking" })
  {
    At(kNode).mSlots = kSlots;
    Start("1 /rounds/ rounds MANY 3000 /book/ rounds ONCE 3000 "
          "/tracking/ tracking MANY 3000");
    // So that the gate knows for how long requests run.
    REQUIRE(CallAndWait(kEntry, "GET", "/rounds/1", "first").mStatus == 200);
    Upstream().SetBehaviour([](Connection&, const HttpRequest&) {});
    for (int n = 0; n < kRequestCount; ++n) {
      const bool isOnce = n % 2 == 0;
      mAnswers.push_back(Call(kEntry,
                              isOnce ? "POST" : "GET",
                              isOnce ? "/book/1" : "/rounds/1",
                              "id-" + std::to_string(n)));
    }
    REQUIRE(Until([&] {
      return Metric(kNode, "upstream_in_flight") > int(Upstream().Runs());
    }));
    mSent = Upstream().Runs();
  }

  /** The address goes to the next upstream. */
  void Replace(const std::string& aService,
               const std::string& aInstance,
               uint32_t aSlots)
  {
    Node& node = At(kNode);
    node.mService = aService;
    node.mSlots = aSlots;
    node.mSequence = 0;
    node.mUpstreamStartedMillis = WallMillis() + 1;
    Upstream().SetBehaviour(
      [](Connection& aConnection, const HttpRequest& aRequest) {
        FakeUpstream::Respond(aConnection, aRequest, 200, "served");
      });
    Report(kNode, false, aInstance);
  }

  FakeUpstream& Upstream() { return *At(kNode).mUpstream; }
  /** @return the requests that reached the upstream before it was replaced. */
  [[nodiscard]] size_t Sent() const { return mSent; }
  [[nodiscard]] bool AreAllAnswered() const
  {
    return std::all_of(mAnswers.begin(),
                       mAnswers.end(),
                       [](const auto& aAnswer) { return aAnswer->mIsDone; });
  }
  /** @return how many requests were answered with a status. */
  [[nodiscard]] size_t AnsweredBy(int aStatus) const
  {
    return size_t(
      std::count_if(mAnswers.begin(), mAnswers.end(), [&](const auto& aAnswer) {
        return aAnswer->mIsDone && aAnswer->mHttp.mStatus == aStatus;
      }));
  }

private:
  size_t mSent = 0;
  std::vector<std::shared_ptr<Answer>> mAnswers;
};

} // namespace

// Guards against requests that were admitted for one upstream and waited while
// its address went to one of another service, which then ran them. The next
// upstream may even have the identifier of the one before.
TEST_CASE("requests that wait for a replaced upstream do not run at the next")
{
  const std::string instance = GENERATE("next-", "i");
  INFO("instance " << instance);
  ReplacedFleet fleet;
  fleet.Replace("tracking", instance, 10 * kSlots);
  REQUIRE(fleet.Until([&] { return fleet.AreAllAnswered(); }));
  CHECK(fleet.Upstream().Runs() == fleet.Sent());
  // None is answered by its deadline (504): those that waited have not run, the
  // others may have.
  CHECK(fleet.AnsweredBy(502) == fleet.Sent() - 1);
  CHECK(fleet.AnsweredBy(502) + fleet.AnsweredBy(503) + fleet.AnsweredBy(429) ==
        kRequestCount);
  CHECK(fleet.AnsweredBy(503) >= 1);
  CHECK(fleet.CallAndWait(2, "GET", "/tracking/1", "next").mStatus == 200);
}

// Guards against requests for one lifetime of an upstream that run in the next
// one, or hold its slots.
TEST_CASE("requests for an upstream that restarted do not burden the next run")
{
  ReplacedFleet fleet;
  fleet.Replace("rounds", "next-", kSlots);
  REQUIRE(fleet.Until([&] { return fleet.AreAllAnswered(); }));
  CHECK(fleet.Upstream().Runs() == fleet.Sent());
  CHECK(fleet.AnsweredBy(503) >= 1);
  const auto answer = fleet.CallAndWait(kEntry, "GET", "/rounds/1", "next");
  CHECK(answer.mBody == "served");
}
