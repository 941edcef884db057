#include <catch2/catch.hpp>

#include <algorithm>

#include <fmt/format.h>

#include "Sim.h"
#include "SimManifest.h"

using namespace amaranthgap;
using namespace amaranthgap::sim;

// Faults one at a time, each with its exact outcome. ScheduleTest.cpp mixes
// them.

namespace {

const std::vector<std::string> kServices = { "front",
                                             "mid",
                                             "leaf",
                                             "book",
                                             "pay" };

sim::Options
Fleet(uint64_t aSeed = 3)
{
  return { .mSeed = aSeed,
           .mServices = { { .mName = "front",
                            .mHosts = 2,
                            .mChildren = { { "mid", "read", 2 } } },
                          { .mName = "mid",
                            .mHosts = 2,
                            .mChildren = { { "leaf", "read", 2 } } },
                          { .mName = "leaf", .mHosts = 3 },
                          { .mName = "book",
                            .mHosts = 3,
                            .mChildren = { { "pay", "charge", 1 } } },
                          { .mName = "pay", .mHosts = 2 } },
           .mManifest = TestManifest(kServices) };
}

const AnswerCaller&
AnswerOf(Sim& aSim, size_t aCall)
{
  REQUIRE(aSim.Calls()[aCall].mAnswer);
  return *aSim.Calls()[aCall].mAnswer;
}

std::vector<size_t>
HostsOf(Sim& aSim, const std::string& aService)
{
  std::vector<size_t> hosts;
  for (size_t i = 0; i < aSim.Hosts().size(); ++i) {
    if (aSim.Hosts()[i].mService == aService) {
      hosts.push_back(i);
    }
  }
  return hosts;
}

void
SlowDown(Sim& aSim, const std::string& aService, double aFactor)
{
  for (const size_t host : HostsOf(aSim, aService)) {
    aSim.Hosts()[host].mSlowness = aFactor;
  }
}

/** @return a key for a charge at `book`. */
std::string
TakeKey(Sim& aSim)
{
  const size_t call = aSim.AskKey(0, "book", "charge");
  aSim.RunFor(milliseconds(50));
  std::string key = AnswerOf(aSim, call).mIssuedKey;
  REQUIRE_FALSE(key.empty());
  return key;
}

/** Sends a charge and waits for its answer. */
AnswerCaller
Charge(Sim& aSim, size_t aHost, uint64_t aOperation, const std::string& aKey)
{
  const size_t call = aSim.Call(aHost,
                                aOperation,
                                "book",
                                "charge",
                                { fmt::format("c{}", aSim.Calls().size()) },
                                aKey);
  aSim.RunFor(milliseconds(1200));
  return AnswerOf(aSim, call);
}

size_t
RunHost(Sim& aSim, const std::string& aOperation)
{
  for (const sim::Run& run : aSim.Runs()) {
    if (run.mOperation == aOperation) {
      return run.mHost;
    }
  }
  FAIL("operation did not run: " << aOperation);
  return 0;
}

} // namespace

// -- Incarnations -----------------------------------------------------------

// Guards against a node that takes messages for its predecessor: it would run
// calls that were given up with that one, and take replies to its call ids.
TEST_CASE("messages for another incarnation are dropped", "[node]")
{
  SettledSim sim(Fleet());
  const NodeRef sender = sim.Hosts()[0].mNode->Self();
  Node& node = *sim.Hosts()[HostsOf(sim, "leaf").front()].mNode;
  NodeRef predecessor = node.Self();
  --predecessor.mIncarnation.mValue;
  const CallMessage call{ .mCall = { 1 },
                          .mRequest = { "r1" },
                          .mRoot = sender,
                          .mParty = "north",
                          .mService = "leaf",
                          .mRequestClass = "read",
                          .mTimeoutMs = 1000 };
  Actions actions;
  for (const Message& message :
       { Message(call), Message(ReplyMessage{ .mCall = { 2 } }) }) {
    node.MessageArrived(
      sim.Now(),
      { .mFrom = sender, .mTo = predecessor, .mMessage = message },
      actions);
  }
  CHECK(sim.CounterSum("dropped_wrong_incarnation") == 2);
  REQUIRE(actions.size() == 1);
  const auto reply =
    std::get<ReplyMessage>(std::get<SendMessage>(actions[0]).mMessage);
  CHECK(reply.mCall == call.mCall);
  CHECK(reply.mOutcome == Outcome::NotRun);
  CHECK(reply.mReason == Reason::WrongTarget);
}

// -- Cancellation and deadlines ---------------------------------------------

// Guards against work that goes on below a caller that has gone.
TEST_CASE("hanging up cancels the whole tree", "[node]")
{
  SettledSim sim(Fleet());
  SlowDown(sim, "leaf", 100);
  const size_t call = sim.Call(0, 1, "front", "read", { "r1" }, "");
  sim.RunFor(milliseconds(60));
  REQUIRE(sim.WorkInFlight() >= 4);
  sim.HangUp(call);
  sim.RunFor(milliseconds(10));
  CHECK(sim.WorkInFlight() == 0);
  CHECK_FALSE(sim.Calls()[call].mAnswer);
  CHECK(sim.CounterSum("cancels") >= 4);
}

TEST_CASE("a deadline ends the whole tree in time", "[node]")
{
  SettledSim sim(Fleet());
  SlowDown(sim, "leaf", 1000);
  const size_t call =
    sim.Call(0, 1, "leaf", "read", { "r1" }, "", milliseconds(100));
  // The upstream of the root call may answer with an error when its own child
  // call reaches the deadline, up to a tick before the root node does.
  const size_t tree =
    sim.Call(0, 2, "front", "read", { "r2" }, "", milliseconds(100));
  sim.RunFor(milliseconds(130));
  CHECK(AnswerOf(sim, call).mOutcome == Outcome::MayHaveRun);
  CHECK(AnswerOf(sim, call).mReason == Reason::DeadlineExpired);
  CHECK(AnswerOf(sim, tree).mHttp.mStatus != 200);
  sim.RunFor(milliseconds(30));
  CHECK(sim.WorkInFlight() == 0);
}

// Guards against orphaned work when the root node disappears.
TEST_CASE("a lost root node cancels what runs below it", "[node]")
{
  SettledSim sim(Fleet());
  SlowDown(sim, "leaf", 100);
  const size_t root = HostsOf(sim, "pay")[0];
  sim.Call(root, 1, "front", "read", { "r1" }, "");
  sim.RunFor(milliseconds(60));
  REQUIRE(sim.WorkInFlight() >= 4);
  sim.Kill(root);
  sim.RunFor(milliseconds(60));
  CHECK(sim.WorkInFlight() == 0);
}

// -- Child calls ------------------------------------------------------------

TEST_CASE("a non-idempotent child of an idempotent call is refused", "[node]")
{
  SettledSim sim(Fleet());
  const size_t call = sim.Call(0, 1, "book", "read", { "r1" }, "");
  sim.RunFor(milliseconds(200));
  CHECK(AnswerOf(sim, call).mHttp.mStatus == 500);
  CHECK(sim.RunsOf("1") == 1);
  CHECK(sim.RunsOf("1.0") == 0);
  CHECK(sim.CounterSum("entry_refused_under-idempotent") == 1);
}

TEST_CASE("a child call of an unknown execution is refused", "[node]")
{
  SettledSim sim(Fleet());
  Actions actions;
  sim.Hosts()[0].mNode->CallArrived(sim.Now(),
                                    { .mCaller = { 1'000'000 },
                                      .mService = "leaf",
                                      .mRequestClass = "read",
                                      .mContext = "1-0123456789abcdef",
                                      .mFromUpstream = true },
                                    actions);
  REQUIRE(actions.size() == 1);
  const auto& answer = std::get<AnswerCaller>(actions[0]);
  CHECK(answer.mOutcome == Outcome::NotRun);
  CHECK(answer.mReason == Reason::UnknownExecution);
}

// -- Retries ----------------------------------------------------------------

// Guards against retries that multiply over fan-out and depth, and against a
// second try at a target that has failed.
TEST_CASE("the retries of a whole tree are bounded", "[node]")
{
  SettledSim sim(Fleet());
  sim.Upstreams().mFailure = 1;
  const size_t leaf = sim.Call(0, 1, "leaf", "read", { "r1" }, "");
  sim.RunFor(seconds(1));
  CHECK(AnswerOf(sim, leaf).mOutcome == Outcome::MayHaveRun);
  CHECK(AnswerOf(sim, leaf).mRetryAfter > Duration::zero());
  std::set<size_t> hosts;
  for (const sim::Run& run : sim.Runs()) {
    hosts.insert(run.mHost);
  }
  CHECK(hosts.size() == sim.Runs().size());
  CHECK(sim.Runs().size() <= 3);

  const size_t before = sim.Runs().size();
  sim.Call(1, 2, "front", "read", { "r2" }, "");
  sim.RunFor(seconds(1));
  std::map<std::string, size_t> copies;
  for (size_t i = before; i < sim.Runs().size(); ++i) {
    ++copies[sim.Runs()[i].mCopy];
  }
  CHECK(sim.Runs().size() - before <= copies.size() + 3);
}

// -- Keys -------------------------------------------------------------------

TEST_CASE("a key of another party does not run", "[node]")
{
  SettledSim sim(Fleet());
  const std::string key = TakeKey(sim);
  const size_t call =
    sim.Call(1, 1, "book", "charge", { "r1" }, key, {}, "app");
  sim.RunFor(milliseconds(100));
  CHECK(AnswerOf(sim, call).mReason == Reason::KeyMismatch);
  CHECK(AnswerOf(sim, call).mOutcome == Outcome::NotRun);
  // The rightful party can still use it.
  CHECK(Charge(sim, 1, 1, key).mOutcome == Outcome::Answered);
  CHECK(sim.RunsOf("1") == 1);
}

TEST_CASE("an expired key is answered as may have run", "[node]")
{
  auto options = Fleet();
  options.mManifest["limits/key_lifetime_ms"] = "5000";
  SettledSim sim(options);
  const std::string key = TakeKey(sim);
  sim.RunFor(seconds(6));
  const AnswerCaller answer = Charge(sim, 1, 1, key);
  CHECK(answer.mOutcome == Outcome::MayHaveRun);
  CHECK(answer.mReason == Reason::KeyExpired);
  CHECK(sim.RunsOf("1") == 0);
}

// Guards against a rolling replacement that loses answers, or runs a key again.
TEST_CASE("the keys of a drained node stay answered", "[node]")
{
  SettledSim sim(Fleet());
  // Keys of the same node: one that runs, one that does not.
  std::string used = TakeKey(sim);
  REQUIRE(Charge(sim, 1, 1, used).mOutcome == Outcome::Answered);
  const size_t host = RunHost(sim, "1");
  const std::string marker =
    "." + std::to_string(sim.Hosts()[host].mNode->Self().mIncarnation.mValue) +
    ".";
  std::string unused;
  for (int i = 0; i < 50 && unused.find(marker) == std::string::npos; ++i) {
    unused = TakeKey(sim);
  }
  REQUIRE(unused.find(marker) != std::string::npos);

  sim.Drain(host);
  sim.RunFor(seconds(3));
  REQUIRE_FALSE(sim.Hosts()[host].mAlive);
  const bool isReplaced = GENERATE(false, true);
  if (isReplaced) {
    sim.Start(host);
    sim.StartUpstreamOf(host);
    sim.RunFor(seconds(3));
  }
  const AnswerCaller stored = Charge(sim, 0, 1, used);
  CHECK(stored.mOutcome == Outcome::Answered);
  CHECK(stored.mHttp.mBody == sim.Expected("book", "1"));
  CHECK(sim.RunsOf("1") == 1);

  const AnswerCaller fresh = Charge(sim, 0, 2, unused);
  CHECK(fresh.mOutcome == Outcome::NotRun);
  CHECK(fresh.mReason == Reason::KeyHolderGone);
  REQUIRE_FALSE(fresh.mIssuedKey.empty());
  CHECK(Charge(sim, 0, 2, fresh.mIssuedKey).mOutcome == Outcome::Answered);

  // The record moves on when its holders are replaced as well.
  for (const size_t other : HostsOf(sim, "book")) {
    if (other != host || isReplaced) {
      sim.Drain(other);
      sim.RunFor(seconds(4));
      CHECK_FALSE(sim.Hosts()[other].mAlive);
      sim.Start(other);
      sim.StartUpstreamOf(other);
      sim.RunFor(seconds(4));
    }
  }
  CHECK(Charge(sim, 0, 1, used).mOutcome == Outcome::Answered);
  CHECK(sim.RunsOf("1") == 1);
  CHECK(sim.Violations().empty());
}

TEST_CASE("the keys of a killed node may have run", "[node]")
{
  SettledSim sim(Fleet());
  const std::string key = TakeKey(sim);
  REQUIRE(Charge(sim, 1, 1, key).mOutcome == Outcome::Answered);
  const size_t host = RunHost(sim, "1");
  sim.Kill(host);
  const bool isReplaced = GENERATE(false, true);
  if (isReplaced) {
    sim.Start(host);
    sim.StartUpstreamOf(host);
  }
  sim.RunFor(seconds(8));
  const AnswerCaller answer = Charge(sim, 0, 1, key);
  CHECK(answer.mOutcome == Outcome::MayHaveRun);
  CHECK(answer.mReason == Reason::KeyHolderGone);
  CHECK(sim.RunsOf("1") == 1);
}

// Guards against a paused node whose key is given to another one meanwhile.
TEST_CASE("the keys of a paused node run at most once", "[node]")
{
  SettledSim sim(Fleet());
  const std::string key = TakeKey(sim);
  REQUIRE(Charge(sim, 1, 1, key).mOutcome == Outcome::Answered);
  const size_t host = RunHost(sim, "1");
  sim.Pause(host);
  sim.RunFor(seconds(8));
  const size_t other = host == 0 ? 1 : 0;
  CHECK(Charge(sim, other, 1, key).mOutcome == Outcome::MayHaveRun);
  sim.Resume(host);
  sim.RunFor(seconds(10));
  CHECK(Charge(sim, other, 1, key).mOutcome == Outcome::Answered);
  CHECK(sim.RunsOf("1") == 1);
}

// -- Drain ------------------------------------------------------------------

// Guards against a replacement of the fleet that callers notice.
TEST_CASE("a rolling replacement cuts nothing off", "[node]")
{
  SettledSim sim(Fleet());
  std::map<uint64_t, std::string> keys;
  std::set<uint64_t> answered;
  uint64_t last = 0;
  const auto send = [&](uint64_t aOperation) {
    size_t host = 0;
    do {
      host = sim.Random().Below(sim.Hosts().size());
    } while (!sim.Hosts()[host].mAlive || sim.Hosts()[host].mDraining);
    const bool isCharge = aOperation % 2 == 0;
    sim.Call(host,
             aOperation,
             isCharge ? "book" : "front",
             isCharge ? "charge" : "read",
             { fmt::format("r{}", aOperation) },
             keys[aOperation]);
  };
  sim.mOnAnswer = [&](size_t aCall) {
    const Sent call = sim.Calls()[aCall];
    REQUIRE(call.mAnswer);
    CHECK(call.mAnswer->mOutcome != Outcome::MayHaveRun);
    if (call.mAnswer->mOutcome == Outcome::Answered) {
      CHECK(call.mAnswer->mHttp.mStatus == 200);
      answered.insert(call.mOperation);
      return;
    }
    if (!call.mAnswer->mIssuedKey.empty()) {
      keys[call.mOperation] = call.mAnswer->mIssuedKey;
    }
    const uint64_t operation = call.mOperation;
    sim.After(std::min<Duration>(call.mAnswer->mRetryAfter, milliseconds(200)),
              [&send, operation] { send(operation); });
  };
  for (size_t host = 0; host < sim.Hosts().size(); ++host) {
    for (int i = 0; i < 150; ++i) {
      sim.After(milliseconds(10 * i), [&] { send(++last); });
    }
    sim.After(milliseconds(500), [&sim, host] { sim.Drain(host); });
    sim.RunFor(seconds(4));
    CHECK_FALSE(sim.Hosts()[host].mAlive);
    sim.Start(host);
    sim.StartUpstreamOf(host);
    sim.RunFor(seconds(3));
  }
  CHECK(answered.size() == last);
  CHECK(sim.Violations().empty());
}

// -- Crashing requests ------------------------------------------------------

// Guards against a request that takes down upstream after upstream while its
// caller sends it again.
TEST_CASE("a crashing request costs three upstreams at most", "[node]")
{
  const uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  auto options = Fleet(seed);
  options.mServices[2].mHosts = 6;
  SettledSim sim(options);
  sim.Upstreams().mPoison.insert("7");
  uint64_t next = 100;
  uint64_t answered = 0;
  sim.mOnAnswer = [&](size_t aCall) {
    answered += sim.Calls()[aCall].mAnswer &&
                sim.Calls()[aCall].mAnswer->mOutcome == Outcome::Answered;
  };
  for (int i = 0; i < 60; ++i) {
    sim.Call(
      sim.Random().Below(4), 7, "leaf", "read", { fmt::format("p{}", i) }, "");
    for (int k = 0; k < 20; ++k) {
      sim.Call(sim.Random().Below(4),
               ++next,
               "leaf",
               "read",
               { fmt::format("i{}", next) },
               "");
      sim.RunFor(milliseconds(10));
    }
  }
  sim.RunFor(seconds(2));
  uint32_t crashes = 0;
  for (const size_t host : HostsOf(sim, "leaf")) {
    crashes += sim.Hosts()[host].mCrashes;
  }
  CHECK(crashes >= 1);
  CHECK(crashes <= 3);
  const double share = double(answered) / double(next - 100);
  CHECK(share > 0.9);
  CHECK(sim.CounterSum("target_refused_quarantined") > 0);
}

// -- Overload ---------------------------------------------------------------

// Guards against important requests that are shed before less important ones.
TEST_CASE("alarms are served while reads are shed", "[node]")
{
  auto options = Fleet();
  options.mServices[2].mRun = milliseconds(20);
  SettledSim sim(options);
  std::map<std::string, std::pair<uint64_t, uint64_t>> answers; // Good, all.
  std::set<uint64_t> alarms;
  sim.mOnAnswer = [&](size_t aCall) {
    const Sent& call = sim.Calls()[aCall];
    auto& [good, all] =
      answers[alarms.contains(call.mOperation) ? "alarm" : "read"];
    ++all;
    good += call.mAnswer->mOutcome == Outcome::Answered;
  };
  uint64_t number = 0;
  const auto send = [&](const std::string& aClass) {
    ++number;
    if (aClass == "alarm") {
      alarms.insert(number);
    }
    sim.Call(sim.Random().Below(sim.Hosts().size()),
             number,
             "leaf",
             aClass,
             { fmt::format("r{}", number) },
             "");
  };
  // About 2,000 calls/s can be served; 5,000 reads and 200 alarms come.
  for (int i = 0; i < 4000; ++i) {
    for (int k = 0; k < 5; ++k) {
      send("read");
    }
    if (i % 5 == 0) {
      send("alarm");
    }
    sim.RunFor(milliseconds(1));
  }
  sim.RunFor(seconds(2));
  const auto share = [&](const std::string& aClass) {
    return double(answers[aClass].first) / double(answers[aClass].second);
  };
  CHECK(answers["alarm"].second == 800);
  CHECK(share("alarm") >= 0.999);
  CHECK(share("read") < 0.6);
  CHECK(share("read") > 0.1);
}

// -- Policy off -------------------------------------------------------------

TEST_CASE("with the policy off each hop forwards and retries", "[node]")
{
  auto options = Fleet();
  options.mPolicyOff = true;
  SettledSim sim(options);
  const size_t good = sim.Call(0, 1, "front", "read", { "r1" }, "");
  sim.RunFor(milliseconds(300));
  CHECK(AnswerOf(sim, good).mHttp.mBody == sim.Expected("front", "1"));
  const size_t charge = sim.Call(0, 2, "book", "charge", { "r2" }, "");
  sim.RunFor(milliseconds(300));
  CHECK(AnswerOf(sim, charge).mOutcome == Outcome::Answered);
  sim.Upstreams().mFailure = 1;
  const size_t bad = sim.Call(0, 3, "leaf", "read", { "r3" }, "");
  sim.RunFor(seconds(1));
  CHECK(AnswerOf(sim, bad).mOutcome == Outcome::MayHaveRun);
  CHECK(sim.RunsOf("3") == 3);
}
