#include <catch2/catch.hpp>

#include "Sim.h"
#include "SimManifest.h"

using namespace amaranthgap;
using namespace amaranthgap::sim;

namespace {

sim::Options
TwoTiers()
{
  return { .mSeed = 7,
           .mServices = { { .mName = "front",
                            .mHosts = 2,
                            .mChildren = { { "back", "read", 2 } } },
                          { .mName = "back", .mHosts = 2 },
                          { .mName = "book",
                            .mHosts = 2,
                            .mChildren = { { "back", "read", 1 },
                                           { "pay", "charge", 1 } } },
                          { .mName = "pay", .mHosts = 2 } },
           .mManifest = TestManifest({ "front", "back", "book", "pay" }) };
}

} // namespace

// Guards against any break in the path caller, entry, target, upstream, child
// call and back.
TEST_CASE("a request runs through entry, target, upstream and child calls")
{
  SettledSim sim(TwoTiers());
  const size_t call = sim.Call(2, 1, "front", "read", { "r1" }, "");
  sim.RunFor(milliseconds(500));

  const Sent& sent = sim.Calls()[call];
  REQUIRE(sent.mAnswer);
  CHECK(sent.mAnswer->mOutcome == Outcome::Answered);
  CHECK(sent.mAnswer->mHttp.mBody == sim.Expected("front", "1"));
  CHECK(sim.Runs().size() == 3);
  CHECK(sim.Violations().empty());
  const auto steps = sim.Hosts()[2].mNode->Explain({ "r1" });
  REQUIRE(steps.size() >= 3);
  CHECK(steps.front().mEvent == "arrived");
  CHECK(steps.back().mEvent == "answer");
}

// Guards against an upstream that waits for the answer to a child call for as
// long as its own timeout, with a slot taken, after the execution has ended.
TEST_CASE("child calls of an ended execution are answered")
{
  auto options = TwoTiers();
  options.mServices[1].mRun = seconds(5);
  SettledSim sim(options);
  const size_t call = sim.Call(2, 1, "front", "read", { "r1" }, "");
  sim.RunFor(milliseconds(200));
  REQUIRE(sim.OpenChildCalls() == 2);
  sim.HangUp(call);
  sim.RunFor(milliseconds(200));
  CHECK(sim.OpenChildCalls() == 0);
  CHECK(sim.Violations().empty());
}

// Guards against a non-idempotent request that runs without an issued key, or
// twice with one.
TEST_CASE("a non-idempotent request runs once, with an issued key")
{
  SettledSim sim(TwoTiers());
  const size_t first = sim.Call(0, 5, "book", "charge", { "r1" }, "");
  sim.RunFor(milliseconds(200));
  REQUIRE(sim.Calls()[first].mAnswer);
  const AnswerCaller refusal = *sim.Calls()[first].mAnswer;
  CHECK(refusal.mOutcome == Outcome::NotRun);
  CHECK(refusal.mReason == Reason::KeyRequired);
  REQUIRE_FALSE(refusal.mIssuedKey.empty());
  CHECK(sim.Runs().empty());

  // Two copies at once join, and a late one gets the stored answer.
  const std::string key = refusal.mIssuedKey;
  const size_t one = sim.Call(1, 5, "book", "charge", { "r1" }, key);
  const size_t two = sim.Call(3, 5, "book", "charge", { "r2" }, key);
  sim.RunFor(milliseconds(300));
  const size_t late = sim.Call(6, 5, "book", "charge", { "r3" }, key);
  sim.RunFor(milliseconds(300));
  for (const size_t call : { one, two, late }) {
    REQUIRE(sim.Calls()[call].mAnswer);
    CHECK(sim.Calls()[call].mAnswer->mOutcome == Outcome::Answered);
    CHECK(sim.Calls()[call].mAnswer->mHttp.mBody == sim.Expected("book", "5"));
  }
  CHECK(sim.RunsOf("5") == 1);
  CHECK(sim.RunsOf("5.1") == 1); // The non-idempotent child call.

  const size_t other = sim.Call(1, 6, "book", "charge", { "r4" }, key);
  sim.RunFor(milliseconds(300));
  REQUIRE(sim.Calls()[other].mAnswer);
  CHECK(sim.Calls()[other].mAnswer->mReason == Reason::KeyMismatch);
  CHECK(sim.RunsOf("6") == 0);
  CHECK(sim.Violations().empty());
}
