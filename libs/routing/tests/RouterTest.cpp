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

/** Two targets in the own data centre, two in its neighbour, two far away. */
std::vector<MemberUpdate>
SixTargets()
{
  return { Member("a1", "east", "e1"),  Member("a2", "east", "e1"),
           Member("b1", "east", "e2"),  Member("b2", "east", "e2"),
           Member("c1", "north", "n1"), Member("c2", "north", "n1") };
}

LinkBudget
Link(double aBytesPerSecond)
{
  LinkBudget link;
  link.SetRate(kStart, aBytesPerSecond);
  return link;
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

std::map<char, int>
CountBySite(Router& aRouter, LinkBudget& aLink, TimePoint aNow, int aCalls)
{
  std::map<char, int> counts;
  for (int i = 0; i < aCalls; ++i) {
    const auto choice = aRouter.Choose(aNow, { .mExpectedBytes = 1000 }, aLink);
    ++counts[choice ? choice->mNode.mId.mValue[0] : '-'];
  }
  return counts;
}

void
Reply(Router& aRouter,
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

// Guards against calls that leave the data centre or the region without need,
// that stay although there is no capacity, and that overload the link.
TEST_CASE("near targets come first", "[router]")
{
  struct Case
  {
    const char* mName;
    std::vector<std::string> mFull;
    double mLink;
    std::string mSites; ///< Sites that get all of the calls.
  };
  const Case cases[] = {
    { "own data centre", {}, 1e9, "a" },
    { "one target of it full", { "a1" }, 1e9, "a" },
    { "own data centre full", { "a1", "a2" }, 1e9, "b" },
    { "region full", { "a1", "a2", "b1", "b2" }, 1e9, "c" },
    { "region full, no link", { "a1", "a2", "b1", "b2" }, 0, "ab" },
    { "all full", { "a1", "a2", "b1", "b2", "c1", "c2" }, 1e9, "ab" },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    auto router = EastRouter(SixTargets());
    auto link = Link(test.mLink);
    Reply(router, kStart, test.mFull, kFull, false);
    for (const auto& [site, count] : CountBySite(router, link, kStart, 100)) {
      INFO("site " << site);
      CHECK(test.mSites.find(site) != std::string::npos);
    }
    // An old report of a full queue no longer counts.
    const auto later =
      CountBySite(router, link, kStart + milliseconds(500), 100);
    CHECK(later.size() == 1);
    CHECK(later.begin()->first == 'a');
  }
}

// Guards against a link used beyond this node's share.
TEST_CASE("cross-region calls stay within the link budget", "[router]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    auto router = EastRouter(SixTargets(), seed);
    constexpr double kRate = 50'000;
    auto link = Link(kRate);
    double bytes = 0;
    for (int i = 0; i < 10'000; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      Reply(router, now, { "a1", "a2", "b1", "b2" }, kFull, true);
      const auto choice = router.Choose(now, { .mExpectedBytes = 1000 }, link);
      REQUIRE(choice.has_value());
      bytes += choice->mCrossRegion ? 1000 : 0;
    }
    // Ten seconds and the burst of a tenth of a second.
    CHECK(bytes <= kRate * 10.1 + 1000);
    CHECK(bytes >= 0.95 * kRate * 10);
  }
}

TEST_CASE("the link budget is settled with real sizes", "[link]")
{
  auto link = Link(10'000);
  CHECK(link.TryTake(kStart, 1000));
  CHECK_FALSE(link.TryTake(kStart, 1));
  link.AddUsage(kStart, -500);
  CHECK(link.TryTake(kStart, 500));
  link.AddUsage(kStart, 2000);
  CHECK_FALSE(link.TryTake(kStart + milliseconds(150), 1));
  CHECK(link.TryTake(kStart + milliseconds(250), 400));
  // An answer larger than the bucket goes out, but not at once again.
  const TimePoint later = kStart + seconds(10);
  CHECK(link.TryTake(later, 5000));
  CHECK_FALSE(link.TryTake(later + milliseconds(300), 1));
  link.SetRate(later, 0);
  CHECK_FALSE(link.TryTake(later + seconds(60), 1));
}

// Guards against a full load on a target that has just started.
TEST_CASE("a new target gets its share over the warm-up time", "[router]")
{
  struct Case
  {
    Duration mAge;
    double mLeast;
    double mMost;
  };
  // Of ten equal targets; chosen among two, an idle target gets up to twice its
  // weight.
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
    auto link = Link(0);
    for (const auto& test : cases) {
      INFO("age " << ToMillis(test.mAge) << " ms, seed " << seed);
      constexpr int kCalls = 20'000;
      const auto counts = CountBySite(router, link, kStart + test.mAge, kCalls);
      const double share = double(counts.at('n')) / kCalls;
      CHECK(share >= test.mLeast);
      CHECK(share <= test.mMost);
    }
  }
}

// Guards against calls to a target that cannot be reached, and against a healed
// target that is not found again.
TEST_CASE("failed targets are left alone for a growing time", "[router]")
{
  auto router =
    EastRouter({ Member("a", "east", "e1"), Member("b", "east", "e1") });
  auto link = Link(0);
  const NodeRef a{ { "a" }, { 1 } };
  TimePoint now = kStart;
  const auto reachable = [&](TimePoint aNow) {
    return CountBySite(router, link, aNow, 200).contains('a');
  };
  for (const int64_t expected :
       { 200, 400, 800, 1600, 3200, 6400, 10'000, 10'000 }) {
    INFO("backoff " << expected << " ms");
    CHECK(reachable(now));
    // All calls in flight fail together with their connection.
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

// Guards against a service that stays lost for the longest backoff after the
// network has healed.
// Guards against a call without a target because a reply on another thread was
// handled first, at a later time.
TEST_CASE("a reply does not put its target in backoff", "[router]")
{
  Router router = EastRouter({ Member("a1", "east", "e1") });
  LinkBudget link = Link(0);
  router.RecordStart(kStart, Member("a1", "east", "e1").mNode);
  router.RecordStart(kStart, Member("a1", "east", "e1").mNode);
  router.RecordReply(
    kStart + milliseconds(1), Member("a1", "east", "e1").mNode, kIdle, false);
  CHECK(router.Choose(kStart, {}, link));
}

TEST_CASE("without other targets, failed ones are tried one by one", "[router]")
{
  auto router =
    EastRouter({ Member("a", "east", "e1"), Member("b", "east", "e1") });
  auto link = Link(0);
  int trials = 0;
  for (int i = 0; i < 20'000; ++i) {
    const TimePoint now = kStart + milliseconds(i);
    if (const auto choice = router.Choose(now, {}, link)) {
      ++trials;
      router.RecordStart(now, choice->mNode);
      router.RecordFailure(now, choice->mNode);
    }
  }
  CHECK(trials >= 20);
  CHECK(trials <= 2 * 20 * 5 + 2);
  const TimePoint healed = kStart + seconds(20);
  bool found = false;
  for (int i = 0; i < 400 && !found; ++i) {
    found = router.Choose(healed + milliseconds(i), {}, link).has_value();
  }
  CHECK(found);
}

// Guards against load reports that pull all calls to a target that refuses
// them, and against one report that shuts a target out for good.
TEST_CASE("misleading load reports do little harm", "[router]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    INFO("seed " << seed);
    std::vector<MemberUpdate> targets;
    targets.reserve(10);
    for (int i = 0; i < 5; ++i) {
      targets.push_back(Member("a" + std::to_string(i), "east", "e1"));
    }
    targets.push_back(Member("liar", "east", "e1"));
    auto router = EastRouter(targets, seed);
    auto link = Link(0);
    int lies = 0;
    constexpr int kCalls = 5000;
    for (int i = 0; i < kCalls; ++i) {
      const TimePoint now = kStart + milliseconds(i);
      const auto choice = router.Choose(now, {}, link);
      REQUIRE(choice.has_value());
      router.RecordStart(now, choice->mNode);
      const bool isLiar = choice->mNode.mId.mValue == "liar";
      lies += isLiar ? 1 : 0;
      router.RecordReply(now,
                         choice->mNode,
                         isLiar ? TargetLoad{ .mLimit = 1000 } : kIdle,
                         isLiar);
    }
    CHECK(lies <= kCalls / 60);
    CHECK(lies >= 1);

    auto other = EastRouter(targets, seed);
    Reply(other,
          kStart,
          { "liar" },
          { .mInFlight = 1'000'000, .mWaiting = 1'000'000, .mLimit = 1 },
          false);
    const auto counts = CountBySite(other, link, kStart + seconds(15), 2000);
    CHECK(counts.at('l') >= 2000 / 6 / 2);
  }
}

// Guards against work sent to targets that are leaving or have been replaced.
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
  auto link = Link(1e9);
  for (const auto& test : cases) {
    INFO(test.mName);
    auto member = Member("a", "east", "e1");
    member.mState = test.mState;
    auto router = EastRouter({ member });
    CHECK(router.Choose(kStart, {}, link).has_value() == test.mAccepts);
    CHECK(router.Find({ "a" }).has_value() == test.mAccepts);
    CHECK(router.AcceptingNodes().size() == (test.mAccepts ? 1 : 0));
  }

  auto router = EastRouter({ Member("a", "east", "e1") });
  const NodeRef old{ { "a" }, { 1 } };
  router.RecordStart(kStart, old);
  router.RecordReply(kStart, old, { .mLeaving = true }, true);
  CHECK_FALSE(router.Choose(kStart, {}, link).has_value());
  // The same incarnation does not come back, a new one does.
  router.SetTargets(kStart, { Member("a", "east", "e1") });
  CHECK_FALSE(router.Choose(kStart, {}, link).has_value());
  router.SetTargets(kStart, { Member("a", "east", "e1", 10, 2) });
  const auto choice = router.Choose(kStart, {}, link);
  REQUIRE(choice.has_value());
  CHECK(choice->mNode.mIncarnation.mValue == 2);
  // Late events of the old incarnation change nothing.
  router.RecordFailure(kStart, old);
  router.RecordReply(kStart, old, { .mLeaving = true }, true);
  CHECK(router.Choose(kStart, {}, link).has_value());
  CHECK_FALSE(
    router.Choose(kStart, { .mExclude = { { "a" } } }, link).has_value());
  router.SetTargets(kStart, {});
  CHECK_FALSE(router.Choose(kStart, {}, link).has_value());
}

// Guards against retries into a service that is overloaded as a whole, and
// against retries withheld for a single refusal.
TEST_CASE("a service sheds when half of its targets do", "[router]")
{
  struct Case
  {
    std::vector<std::string> mRefusing;
    bool mSheds;
  };
  const Case cases[] = {
    { {}, false },
    { { "a1", "a2" }, false },
    { { "a1", "a2", "b1" }, true },
  };
  for (const auto& test : cases) {
    INFO(test.mRefusing.size() << " of 6 refuse");
    auto router = EastRouter(SixTargets());
    Reply(router, kStart, test.mRefusing, kFull, true);
    CHECK(router.IsShedding(kStart) == test.mSheds);
    CHECK_FALSE(router.IsShedding(kStart + seconds(2)));
  }
}

// -- Model of several entry nodes and targets ---------------------------------

namespace {

/** @return the share of calls that found no free slot, at 85% load with one
 * target of half the speed and late reports. */
double
DelayedShare(uint64_t aSeed, bool aRandom)
{
  constexpr int kEntries = 4;
  constexpr int kTargets = 6;
  constexpr uint32_t kSlots = 25;
  constexpr double kDelay = 0.005;
  Rng rng(aSeed);
  std::vector<MemberUpdate> targets;
  targets.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    targets.push_back(Member("a" + std::to_string(i), "east", "e1", kSlots));
  }
  std::vector<Router> routers;
  routers.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i) {
    routers.push_back(EastRouter(targets, aSeed * 10 + i));
  }
  const auto run = [](int aTarget) { return aTarget == 0 ? 0.2 : 0.1; };
  const double capacity = kSlots / 0.1 * (kTargets - 0.5);
  struct Event
  {
    double mTime;
    int mKind; ///< 0 arrival, 1 end, 2 reply.
    int mEntry;
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
  auto link = Link(0);
  int calls = 0;
  int delayed = 0;
  events.push({ 0, 0, 0, 0, {} });
  while (events.top().mTime < 20) {
    const Event event = events.top();
    events.pop();
    const TimePoint now = kStart + FromSeconds(event.mTime);
    const int target = event.mTarget;
    if (event.mKind == 0) {
      events.push(
        { event.mTime + exponential(1 / (0.85 * capacity)), 0, 0, 0, {} });
      const int entry = int(rng.Below(kEntries));
      int to = int(rng.Below(kTargets));
      if (!aRandom) {
        const auto choice = routers[entry].Choose(now, {}, link);
        REQUIRE(choice.has_value());
        to = choice->mNode.mId.mValue[1] - '0';
      }
      routers[entry].RecordStart(now, targets[to].mNode);
      ++calls;
      if (running[to] < kSlots) {
        ++running[to];
        events.push({ event.mTime + exponential(run(to)), 1, entry, to, {} });
      } else {
        ++delayed;
        waiting[to].push(entry);
      }
    } else if (event.mKind == 1) {
      events.push(
        { event.mTime + kDelay,
          2,
          event.mEntry,
          target,
          { running[target], uint32_t(waiting[target].size()), kSlots } });
      if (!waiting[target].empty()) {
        events.push({ event.mTime + exponential(run(target)),
                      1,
                      waiting[target].front(),
                      target,
                      {} });
        waiting[target].pop();
      } else {
        --running[target];
      }
    } else {
      routers[event.mEntry].RecordReply(
        now, targets[target].mNode, event.mLoad, false);
    }
  }
  return double(delayed) / calls;
}

} // namespace

// Guards against targets that get too much while others have free slots.
TEST_CASE("load is spread better than at random", "[router]")
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    INFO("seed " << seed);
    CHECK(DelayedShare(seed, false) <= DelayedShare(seed, true) / 2);
  }
}
