#include <catch2/catch.hpp>

#include "ProxyFleet.h"

using namespace amaranthgap;

namespace {

constexpr size_t kFront = 0; // The node that gets the reports.
constexpr size_t kBack = 1;

struct Case
{
  const char* mName;
  UpstreamReport mReport;
};

std::vector<Case>
Cases()
{
  const int64_t later = ProxyFleet::WallMillis() + 60'000;
  return {
    { "a service that is not configured",
      { .mInstance = "other",
        .mService = "elsewhere",
        .mStartedMillis = later } },
    { "another configured service",
      { .mInstance = "other", .mService = "back", .mStartedMillis = later } },
    { "the same service",
      { .mInstance = "other", .mService = "front", .mStartedMillis = later } },
    { "an upstream that leaves",
      { .mInstance = "other",
        .mService = "front",
        .mDraining = true,
        .mStartedMillis = later } },
  };
}

} // namespace

// Guards against a report of another writer that sets the service which the
// node names for its callers, or shuts out the upstream beside it.
TEST_CASE("a report of another writer changes nothing about the upstream")
{
  for (const Case& it : Cases()) {
    INFO(it.mName);
    ProxyFleet fleet({ "front", "back" });
    fleet.Start("1 /front/ front MANY 1000 /back/ back ONCE 1000");
    UpstreamReport report = it.mReport;
    for (int n = 0; n < 3; ++n) {
      ++report.mSequence;
      const auto answer = fleet.StartReport(kFront, report);
      REQUIRE(fleet.Until([&] { return answer->mIsDone; }));
      fleet.RunFor(milliseconds(100));
      fleet.CallAndWait(kFront, "POST", "/back/1", "id-" + std::to_string(n));
      REQUIRE(fleet.At(kBack).mUpstream->Runs() > 0);
      const HttpRequest& latest = fleet.At(kBack).mUpstream->Latest();
      CHECK(FindHeader(latest.mHeaders, "Test-Caller") == "front");
      fleet.Report(kFront, false);
      CHECK(
        fleet
          .CallAndWait(kBack, "GET", "/front/1", "front-" + std::to_string(n))
          .mStatus == 200);
    }
  }
}

// Guards against a sound upstream that is left out because its service is
// configured after its first reports.
TEST_CASE("an upstream is in use once its service is configured")
{
  ProxyFleet fleet({ "front", "back" });
  fleet.At(kBack).mUpstreamStartedMillis -= 60'000;
  fleet.Start("1 /front/ front MANY 1000");
  fleet.RunFor(milliseconds(100));
  fleet.Store().Write("routes",
                      "2 /front/ front MANY 1000 /back/ back MANY 1000");
  CHECK(fleet.Until([&] {
    return fleet.CallAndWait(kFront, "GET", "/back/1", "id").mStatus == 200;
  }));
}

// Guards against calls under a wrong name from a host whose service has no
// routes of its own.
TEST_CASE("a host without routes names the service of its settings")
{
  ProxyFleet fleet({ "front", "back" });
  fleet.At(kFront).mUpstreamStartedMillis -= 60'000;
  fleet.Start("1 /back/ back ONCE 1000");
  for (int n = 0; n < 2; ++n) {
    fleet.CallAndWait(kFront, "POST", "/back/1", "id-" + std::to_string(n));
    const HttpRequest& latest = fleet.At(kBack).mUpstream->Latest();
    CHECK(FindHeader(latest.mHeaders, "Test-Caller") == "front");
    fleet.Report(kFront, false);
  }
}
