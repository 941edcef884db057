#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <string>

#include <catch2/catch.hpp>

#include "routing/Router.h"

using namespace amaranthgap;

namespace {

const TimePoint kStart{ seconds(100) };

MemberUpdate
Member(const std::string& aName,
       const std::string& aRegion,
       const std::string& aDataCentre,
       uint32_t aSlots = 10,
       uint64_t aIncarnation = 1)
{
  return { .mNode = { { aName }, { aIncarnation } },
           .mState = MemberState::Warm,
           .mRegion = aRegion,
           .mDataCentre = aDataCentre,
           .mPeerAddress = aName + ":1",
           .mService = "s",
           .mSlots = aSlots };
}

/** Two targets each in the router's data centre, in another data centre of its
 * region and in another region. */
std::vector<MemberUpdate>
SixTargets()
{
  return { Member("a1", "east", "e1"),  Member("a2", "east", "e1"),
           Member("b1", "east", "e2"),  Member("b2", "east", "e2"),
           Member("c1", "north", "n1"), Member("c2", "north", "n1") };
}

LinkBudget
LinkWithRate(double aBytesPerSecond)
{
  LinkBudget linkBudget;
  linkBudget.SetRate(kStart, aBytesPerSecond);
  return linkBudget;
}

const TargetLoad kFull{ .mInFlight = 10, .mWaiting = 3, .mLimit = 10 };
const TargetLoad kIdle{ .mInFlight = 1, .mWaiting = 0, .mLimit = 10 };

Router
EastRouter(const std::vector<MemberUpdate>& aTargets, uint64_t aSeed = 1)
{
  Router router({ .mRegion = "east", .mDataCentre = "e1", .mSeed = aSeed });
  router.SetTargets(kStart, aTargets);
  return router;
}

/** @return the number of calls for each first letter of the target's name;
 * '-' for calls without a target. */
std::map<char, int>
CountByNamePrefix(Router& aRouter,
                  LinkBudget& aLinkBudget,
                  TimePoint aNow,
                  int aCalls)
{
  std::map<char, int> counts;
  for (int i = 0; i < aCalls; ++i) {
    const auto choice =
      aRouter.Choose(aNow, { .mExpectedBytes = 1000 }, aLinkBudget);
    ++counts[choice ? choice->mNode.mId.mValue[0] : '-'];
  }
  return counts;
}

void
ReplyFromAll(Router& aRouter,
             TimePoint aNow,
             const std::vector<std::string>& aNames,
             const TargetLoad& aLoad,
             bool aRefused)
{
  for (const auto& name : aNames) {
    const NodeRef node{ { name }, { 1 } };
    aRouter.RecordStart(aNow, node);
    aRouter.RecordReply(aNow, node, aLoad, aRefused);
  }
}

} // namespace

// Guards against calls that leave the data centre or region although it has
// capacity, that stay although it has none, and that exceed the link budget.
TEST_CASE("targets in the own data centre and region are preferred", "[router]")
{
  struct Case
  {
    const char* mName;
    std::vector<std::string> mFullTargets;
    double mLinkRate;             ///< In bytes per second.
    std::string mAllowedPrefixes; ///< Of targets that may be called.
  };
  const Case cases[] = {
    { "own data centre", {}, 1e9, "a" },
    { "one target in own data centre full", { "a1" }, 1e9, "a" },
    { "own data centre full", { "a1", "a2" }, 1e9, "b" },
    { "region full", { "a1", "a2", "b1", "b2" }, 1e9, "c" },
    { "region full, no link budget", { "a1", "a2", "b1", "b2" }, 0, "ab" },
    { "all full", { "a1", "a2", "b1", "b2", "c1", "c2" }, 1e9, "ab" },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    auto router = EastRouter(SixTargets());
    auto linkBudget = LinkWithRate(test.mLinkRate);
    ReplyFromAll(router, kStart, test.mFullTargets, kFull, false);
    for (const auto& [prefix, count] :
         CountByNamePrefix(router, linkBudget, kStart, 100)) {
      INFO("prefix " << prefix);
      CHECK(test.mAllowedPrefixes.find(prefix) != std::string::npos);
    }
    // The load reports have expired.
    const auto later =
      CountByNamePrefix(router, linkBudget, kStart + milliseconds(500), 100);
    CHECK(later.size() == 1);
    CHECK(later.begin()->first == 'a');
  }
}

// Guards against cross-region traffic beyond this node's share of the links.
TEST_CASE("cross-region calls stay within the link budget", "[router]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    auto router = EastRouter(SixTargets(), seed);
    constexpr double kRate = 50'000;
    auto linkBudget = LinkWithRate(kRate);
    double bytes = 0;
    for (int i = 0; i < 10'000; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      ReplyFromAll(router, now, { "a1", "a2", "b1", "b2" }, kFull, true);
      const auto choice =
        router.Choose(now, { .mExpectedBytes = 1000 }, linkBudget);
      REQUIRE(choice.has_value());
      bytes += choice->mCrossRegion ? 1000 : 0;
    }
    // Ten seconds at the rate, plus a burst of 0.1 seconds.
    CHECK(bytes <= kRate * 10.1 + 1000);
    CHECK(bytes >= 0.95 * kRate * 10);
  }
}

// Guards against a link budget that ignores the actual size of calls, and
// against calls larger than the bucket that are never sent.
TEST_CASE("the link budget accounts for actual sizes", "[link]")
{
  auto linkBudget = LinkWithRate(10'000);
  CHECK(linkBudget.TryTake(kStart, 1000));
  CHECK_FALSE(linkBudget.TryTake(kStart, 1));
  linkBudget.AddUsage(kStart, -500);
  CHECK(linkBudget.TryTake(kStart, 500));
  linkBudget.AddUsage(kStart, 2000);
  CHECK_FALSE(linkBudget.TryTake(kStart + milliseconds(150), 1));
  CHECK(linkBudget.TryTake(kStart + milliseconds(250), 400));
  // A call larger than the bucket is allowed, but delays the next one.
  const TimePoint later = kStart + seconds(10);
  CHECK(linkBudget.TryTake(later, 5000));
  CHECK_FALSE(linkBudget.TryTake(later + milliseconds(300), 1));
  linkBudget.SetRate(later, 0);
  CHECK_FALSE(linkBudget.TryTake(later + seconds(60), 1));
}

// Guards against sending the full load to a target that has just started.
TEST_CASE("the share of a new target grows during the warm-up", "[router]")
{
  struct Case
  {
    Duration mAge;
    double mMinShare;
    double mMaxShare;
  };
  // Share of one of ten equal targets. With a choice of two, an idle target
  // gets up to twice the share of its weight.
  const Case cases[] = { { seconds(0), 0, 0.02 },
                         { seconds(5), 0.03, 0.11 },
                         { seconds(10), 0.08, 0.12 } };
  for (const uint64_t seed : { 1, 2, 3 }) {
    std::vector<MemberUpdate> targets;
    targets.reserve(10);
    for (int i = 0; i < 9; ++i) {
      targets.push_back(Member("a" + std::to_string(i), "east", "e1"));
    }
    auto router = EastRouter(targets, seed);
    targets.push_back(Member("new", "east", "e1"));
    targets.back().mWarmUpMs = 10'000;
    router.SetTargets(kStart, targets);
    auto linkBudget = LinkWithRate(0);
    for (const auto& test : cases) {
      INFO("age " << ToMillis(test.mAge) << " ms, seed " << seed);
      constexpr int kCalls = 20'000;
      const auto counts =
        CountByNamePrefix(router, linkBudget, kStart + test.mAge, kCalls);
      const double share = double(counts.at('n')) / kCalls;
      CHECK(share >= test.mMinShare);
      CHECK(share <= test.mMaxShare);
    }
  }
}

// Guards against calls to an unreachable target, and against a recovered target
// that gets no calls.
TEST_CASE("failed targets get no calls during an exponential backoff",
          "[router]")
{
  auto router =
    EastRouter({ Member("a", "east", "e1"), Member("b", "east", "e1") });
  auto linkBudget = LinkWithRate(0);
  const NodeRef a{ { "a" }, { 1 } };
  TimePoint now = kStart;
  const auto reachable = [&](TimePoint aNow) {
    return CountByNamePrefix(router, linkBudget, aNow, 200).contains('a');
  };
  for (const int64_t expected :
       { 200, 400, 800, 1600, 3200, 6400, 10'000, 10'000 }) {
    INFO("backoff " << expected << " ms");
    CHECK(reachable(now));
    // Two calls fail with the same connection; the backoff doubles once.
    router.RecordStart(now, a);
    router.RecordStart(now, a);
    router.RecordFailure(now, a);
    router.RecordFailure(now, a);
    CHECK_FALSE(reachable(now + milliseconds(expected - 1)));
    now += milliseconds(expected);
  }
  CHECK(reachable(now));
  router.RecordStart(now, a);
  router.RecordReply(now, a, kIdle, false);
  router.RecordStart(now, a);
  router.RecordFailure(now, a);
  CHECK(reachable(now + milliseconds(200)));
}

// Guards against a call without a target when another thread has already
// recorded a reply with a later time.
TEST_CASE("a reply does not put its target in backoff", "[router]")
{
  Router router = EastRouter({ Member("a1", "east", "e1") });
  LinkBudget linkBudget = LinkWithRate(0);
  router.RecordStart(kStart, Member("a1", "east", "e1").mNode);
  router.RecordStart(kStart, Member("a1", "east", "e1").mNode);
  router.RecordReply(
    kStart + milliseconds(1), Member("a1", "east", "e1").mNode, kIdle, false);
  CHECK(router.Choose(kStart, {}, linkBudget));
}

// Guards against a service that stays unreachable for the maximum backoff after
// the network has recovered.
TEST_CASE("without other targets, targets in backoff are probed", "[router]")
{
  auto router =
    EastRouter({ Member("a", "east", "e1"), Member("b", "east", "e1") });
  auto linkBudget = LinkWithRate(0);
  int probes = 0;
  for (int i = 0; i < 20'000; ++i) {
    const TimePoint now = kStart + milliseconds(i);
    if (const auto choice = router.Choose(now, {}, linkBudget)) {
      ++probes;
      router.RecordStart(now, choice->mNode);
      router.RecordFailure(now, choice->mNode);
    }
  }
  CHECK(probes >= 20);
  CHECK(probes <= 2 * 20 * 5 + 2);
  const TimePoint recovered = kStart + seconds(20);
  bool found = false;
  for (int i = 0; i < 400 && !found; ++i) {
    found =
      router.Choose(recovered + milliseconds(i), {}, linkBudget).has_value();
  }
  CHECK(found);
}

// Guards against reports of low load that attract most calls to a target that
// refuses them, and against excluding a target for long after one report of
// excessive load.
TEST_CASE("false load reports have a limited effect", "[router]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    INFO("seed " << seed);
    std::vector<MemberUpdate> targets;
    targets.reserve(10);
    for (int i = 0; i < 5; ++i) {
      targets.push_back(Member("a" + std::to_string(i), "east", "e1"));
    }
    targets.push_back(Member("l0", "east", "e1"));
    auto router = EastRouter(targets, seed);
    auto linkBudget = LinkWithRate(0);
    int callsToMisreporting = 0;
    constexpr int kCalls = 5000;
    for (int i = 0; i < kCalls; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      const auto choice = router.Choose(now, {}, linkBudget);
      REQUIRE(choice.has_value());
      router.RecordStart(now, choice->mNode);
      const bool isMisreporting = choice->mNode.mId.mValue == "l0";
      callsToMisreporting += isMisreporting ? 1 : 0;
      router.RecordReply(now,
                         choice->mNode,
                         isMisreporting ? TargetLoad{ .mLimit = 1000 } : kIdle,
                         isMisreporting);
    }
    CHECK(callsToMisreporting <= kCalls / 60);
    CHECK(callsToMisreporting >= 1);

    auto other = EastRouter(targets, seed);
    ReplyFromAll(other,
                 kStart,
                 { "l0" },
                 { .mInFlight = 1'000'000, .mWaiting = 1'000'000, .mLimit = 1 },
                 false);
    const auto counts =
      CountByNamePrefix(other, linkBudget, kStart + seconds(15), 2000);
    CHECK(counts.at('l') >= 2000 / 6 / 2);
  }
}

// Guards against calls to targets that are leaving or have been replaced.
TEST_CASE("only targets that accept work are chosen", "[router]")
{
  struct Case
  {
    const char* mName;
    MemberState mState;
    bool mAccepts;
  };
  const Case cases[] = {
    { "joined", MemberState::Joined, false },
    { "warm", MemberState::Warm, true },
    { "suspect", MemberState::Suspect, true },
    { "leaving", MemberState::Leaving, false },
    { "left", MemberState::Left, false },
    { "dead", MemberState::Dead, false },
  };
  auto linkBudget = LinkWithRate(1e9);
  for (const auto& test : cases) {
    INFO(test.mName);
    auto member = Member("a", "east", "e1");
    member.mState = test.mState;
    auto router = EastRouter({ member });
    CHECK(router.Choose(kStart, {}, linkBudget).has_value() == test.mAccepts);
    CHECK(router.Find({ "a" }).has_value() == test.mAccepts);
    CHECK(router.AcceptingNodes().size() == (test.mAccepts ? 1 : 0));
  }

  auto router = EastRouter({ Member("a", "east", "e1") });
  const NodeRef old{ { "a" }, { 1 } };
  router.RecordStart(kStart, old);
  router.RecordReply(kStart, old, { .mLeaving = true }, true);
  CHECK_FALSE(router.Choose(kStart, {}, linkBudget).has_value());
  // A leaving incarnation stays excluded; a new one accepts work.
  router.SetTargets(kStart, { Member("a", "east", "e1") });
  CHECK_FALSE(router.Choose(kStart, {}, linkBudget).has_value());
  router.SetTargets(kStart, { Member("a", "east", "e1", 10, 2) });
  const auto choice = router.Choose(kStart, {}, linkBudget);
  REQUIRE(choice.has_value());
  CHECK(choice->mNode.mIncarnation.mValue == 2);
  // Late events of the old incarnation have no effect.
  router.RecordFailure(kStart, old);
  router.RecordReply(kStart, old, { .mLeaving = true }, true);
  CHECK(router.Choose(kStart, {}, linkBudget).has_value());
  CHECK_FALSE(
    router.Choose(kStart, { .mExclude = { { "a" } } }, linkBudget).has_value());
  router.SetTargets(kStart, {});
  CHECK_FALSE(router.Choose(kStart, {}, linkBudget).has_value());
}

// Guards against retries to a service that is overloaded as a whole, and
// against suppressing retries when only a few targets refuse.
TEST_CASE("a service is shedding when half of its targets refuse", "[router]")
{
  struct Case
  {
    std::vector<std::string> mRefusing;
    bool mIsShedding;
  };
  const Case cases[] = {
    { {}, false },
    { { "a1", "a2" }, false },
    { { "a1", "a2", "b1" }, true },
  };
  for (const auto& test : cases) {
    INFO(test.mRefusing.size() << " of 6 refuse");
    auto router = EastRouter(SixTargets());
    ReplyFromAll(router, kStart, test.mRefusing, kFull, true);
    CHECK(router.IsShedding(kStart) == test.mIsShedding);
    CHECK_FALSE(router.IsShedding(kStart + seconds(2)));
  }
}

// -- Simulation of several entry nodes and targets ----------------------------

namespace {

/** @return the share of calls that found no free slot, at 85% load with one
 * target of half the speed and late reports. */
double
QueuedShare(uint64_t aSeed, bool aChooseAtRandom)
{
  constexpr int kEntryNodes = 4;
  constexpr int kTargets = 6;
  constexpr uint32_t kSlots = 25;
  constexpr double kReplyDelaySeconds = 0.005;
  Rng rng(aSeed);
  std::vector<MemberUpdate> targets;
  targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(Member("a" + std::to_string(i), "east", "e1", kSlots));
  }
  std::vector<Router> routers;
  routers.reserve(kEntryNodes);
  for (int i = 0; i < kEntryNodes; ++i) {
    routers.push_back(EastRouter(targets, aSeed * 10 + i));
  }
  const auto meanRunSeconds = [](int aTarget) {
    return aTarget == 0 ? 0.2 : 0.1;
  };
  const double capacity = kSlots / 0.1 * (kTargets - 0.5);
  struct Event
  {
    double mTime;
    int mKind; ///< 0: arrival, 1: end, 2: reply.
    int mEntryNode;
    int mTarget;
    TargetLoad mLoad;
    bool operator<(const Event& aOther) const { return mTime > aOther.mTime; }
  };
  std::priority_queue<Event> events;
  std::vector<uint32_t> running(kTargets);
  std::vector<std::queue<int>> waiting(kTargets); // Entry nodes.
  const auto exponential = [&](double aMean) {
    return -std::log(1 - rng.Uniform()) * aMean;
  };
  auto linkBudget = LinkWithRate(0);
  int calls = 0;
  int queuedCalls = 0;
  events.push({ 0, 0, 0, 0, {} });
  while (events.top().mTime < 20) {
    const Event event = events.top();
    events.pop();
    const TimePoint now = kStart + FromSeconds(event.mTime);
    const int target = event.mTarget;
    if (event.mKind == 0) {
      events.push(
        { event.mTime + exponential(1 / (0.85 * capacity)), 0, 0, 0, {} });
      const int entryNode = int(rng.Below(kEntryNodes));
      int to = int(rng.Below(kTargets));
      if (!aChooseAtRandom) {
        const auto choice = routers[entryNode].Choose(now, {}, linkBudget);
        REQUIRE(choice.has_value());
        to = choice->mNode.mId.mValue[1] - '0';
      }
      routers[entryNode].RecordStart(now, targets[to].mNode);
      ++calls;
      if (running[to] < kSlots) {
        ++running[to];
        events.push({ event.mTime + exponential(meanRunSeconds(to)),
                      1,
                      entryNode,
                      to,
                      {} });
      } else {
        ++queuedCalls;
        waiting[to].push(entryNode);
      }
    } else if (event.mKind == 1) {
      events.push(
        { event.mTime + kReplyDelaySeconds,
          2,
          event.mEntryNode,
          target,
          { running[target], uint32_t(waiting[target].size()), kSlots } });
      if (!waiting[target].empty()) {
        events.push({ event.mTime + exponential(meanRunSeconds(target)),
                      1,
                      waiting[target].front(),
                      target,
                      {} });
        waiting[target].pop();
      } else {
        --running[target];
      }
    } else {
      routers[event.mEntryNode].RecordReply(
        now, targets[target].mNode, event.mLoad, false);
    }
  }
  return double(queuedCalls) / calls;
}

} // namespace

// Guards against calls that queue at one target while others have free slots.
TEST_CASE("at most half as many calls queue as with random targets", "[router]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    INFO("seed " << seed);
    CHECK(QueuedShare(seed, false) <= QueuedShare(seed, true) / 2);
  }
}
