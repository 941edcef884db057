#include <catch2/catch.hpp>

#include "ControlFleet.h"

using namespace amaranthgap;

namespace {

bool
IsGone(const MemberUpdate* aUpdate)
{
  return aUpdate == nullptr || aUpdate->mState == MemberState::Dead ||
         aUpdate->mState == MemberState::Left;
}

/** Starts all nodes with a first manifest and waits until they agree. */
void
Form(ControlFleet& aFleet, Duration aLimit = seconds(30))
{
  aFleet.Publish("first");
  aFleet.StartAll();
  const auto took = aFleet.RunUntil(aLimit, [&] { return aFleet.IsAgreed(); });
  REQUIRE(took);
}

void
CheckViolations(const ControlFleet& aFleet)
{
  for (const auto& violation : aFleet.Violations()) {
    UNSCOPED_INFO(violation);
  }
  CHECK(aFleet.Violations().empty());
}

} // namespace

// Guards against a fleet that does not form when all hosts start at once.
TEST_CASE("a fleet bootstraps from an empty store", "[control]")
{
  for (const uint32_t n : { 1U, 2U, 10U, 40U, 160U }) {
    CAPTURE(n);
    ControlFleet fleet({ .mNodes = n, .mSeed = n, .mLoss = 0.01 });
    fleet.Publish("first");
    fleet.StartAll();
    const auto took =
      fleet.RunUntil(seconds(30), [&] { return fleet.IsAgreed(); });
    REQUIRE(took);
    INFO("seconds " << ToSeconds(*took));
    CHECK(fleet.IsInForce(1));
    CheckViolations(fleet);
  }
}

// Guards against dead hosts that stay in the routing tables.
TEST_CASE("a killed node leaves all tables within 8 s", "[control]")
{
  for (const uint32_t n : { 10U, 40U, 160U }) {
    CAPTURE(n);
    ControlFleet fleet({ .mNodes = n, .mSeed = 100 + n, .mLoss = 0.01 });
    Form(fleet);
    fleet.Kill(3);
    const auto took = fleet.RunUntil(
      seconds(8), [&] { return fleet.Dissenters(3, IsGone) == 0; });
    CHECK(took);
    CheckViolations(fleet);
  }
}

// Guards against new work for a leaving upstream (G6).
TEST_CASE("a leaving node is known everywhere within 2 s", "[control]")
{
  for (const uint32_t n : { 10U, 40U, 160U }) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(n, seed);
      ControlFleet fleet({ .mNodes = n, .mSeed = 200 + seed, .mLoss = 0.05 });
      Form(fleet);
      fleet.Drain(2, seconds(5));
      const auto took = fleet.RunUntil(seconds(2), [&] {
        return fleet.Dissenters(2, [](const MemberUpdate* aUpdate) {
          return aUpdate != nullptr && aUpdate->mState == MemberState::Leaving;
        }) == 0;
      });
      CHECK(took);
      fleet.Run(seconds(5));
      CHECK(fleet.RunUntil(seconds(3),
                           [&] { return fleet.Dissenters(2, IsGone) == 0; }));
      CheckViolations(fleet);
    }
  }
}

// Guards against a frozen process that keeps its place, and against its
// outdated view of others when it resumes.
TEST_CASE("a frozen node leaves and cannot act when resumed", "[control]")
{
  ControlFleet fleet({ .mNodes = 40, .mSeed = 7 });
  Form(fleet);
  fleet.Pause(5);
  CHECK(fleet.RunUntil(seconds(8),
                       [&] { return fleet.Dissenters(5, IsGone) == 0; }));
  fleet.Run(seconds(60));
  const auto deadBefore = fleet.CountAudit(AuditKind::MemberState);
  bool readyWhileStale = false;
  fleet.Resume(5);
  readyWhileStale = fleet.Slots()[5].mLogic->IsReady();
  CHECK_FALSE(readyWhileStale);
  CHECK(fleet.RunUntil(seconds(8), [&] { return fleet.IsAgreed(); }));
  // No one was accused by it: one change per node and member at most.
  CHECK(fleet.CountAudit(AuditKind::MemberState) - deadBefore <
        size_t{ 3 } * 40);
  CheckViolations(fleet);
}

// Guards against accusations from a node that only hears late itself, and
// against the removal of a node that answers late.
TEST_CASE("a slow node is not removed and removes no one", "[control]")
{
  for (const int64_t millis : { 200, 500, 900, 1300 }) {
    CAPTURE(millis);
    ControlFleet fleet({ .mNodes = 40, .mSeed = 11 });
    Form(fleet);
    fleet.Slots()[4].mSlow = milliseconds(millis);
    size_t most = 0;
    for (int i = 0; i < 600; ++i) {
      fleet.Run(milliseconds(100));
      most = std::max(most, fleet.Dissenters(4, [](const auto* aUpdate) {
        return !IsGone(aUpdate);
      }));
      for (uint32_t other = 0; other < 40; other += 13) {
        CHECK(fleet.Dissenters(other, [](const auto* aUpdate) {
          return !IsGone(aUpdate);
        }) == 0);
      }
    }
    CHECK(most < 20);
    CheckViolations(fleet);
  }
}

// Guards against a successor that is taken for the node it replaces.
TEST_CASE("a replaced host is known by its new incarnation", "[control]")
{
  for (const int64_t offset : { 0, -3600, 3600 }) {
    CAPTURE(offset);
    ControlFleet fleet({ .mNodes = 10, .mSeed = 21 });
    Form(fleet);
    fleet.Run(seconds(5));
    fleet.Kill(6);
    fleet.Start(6, seconds(offset));
    CHECK(fleet.RunUntil(seconds(8), [&] { return fleet.IsAgreed(); }));
    CHECK_FALSE(fleet.Slots()[6].mLogic->IsSuperseded());
    CheckViolations(fleet);
  }
}

// Guards against two processes that act for one host slot.
TEST_CASE("a resumed predecessor is superseded", "[control]")
{
  ControlFleet fleet({ .mNodes = 10, .mSeed = 31 });
  Form(fleet);
  const auto old = fleet.Slots()[6].mLogic->Self();
  fleet.Kill(6);
  fleet.Start(6);
  REQUIRE(fleet.RunUntil(seconds(8), [&] { return fleet.IsAgreed(); }));
  // The old process sends from the same address; the new one hears of it.
  Actions actions;
  fleet.Call(1, [&](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
    aLogic.MessageArrived(
      aNow,
      { .mFrom = old,
        .mFromAddress = fleet.Slots()[6].mAddress,
        .mTo = aLogic.Self(),
        .mSequence = 1,
        .mMessage =
          MemberUpdates{
            .mUpdates = { { .mNode = { { "host-2" }, { UINT64_MAX / 2 } },
                            .mState = MemberState::Dead } } } },
      aActions);
    actions = aActions;
  });
  REQUIRE(actions.size() == 1);
  const auto* told = std::get_if<SendMessage>(&actions[0]);
  REQUIRE(told != nullptr);
  const auto& updates = std::get<MemberUpdates>(told->mMessage).mUpdates;
  REQUIRE(updates.size() == 1);
  CHECK(updates[0].mNode == fleet.Slots()[6].mLogic->Self());
  CHECK(fleet.Dissenters(
          2, [](const auto* aUpdate) { return !IsGone(aUpdate); }) == 0);
}

// Guards against mutual removal when the failures exceed the survivors' view.
TEST_CASE("two data centres lost at once", "[control]")
{
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    ControlFleet fleet({ .mNodes = 160, .mSeed = 300 + seed, .mLoss = 0.01 });
    Form(fleet);
    for (uint32_t i = 0; i < 160; ++i) {
      if (i % 5 < 2) {
        fleet.Kill(i);
      }
    }
    const auto took =
      fleet.RunUntil(seconds(15), [&] { return fleet.IsAgreed(); });
    CHECK(took);
    CheckViolations(fleet);
  }
}

// Guards against regions that stay apart after an hour without contact.
TEST_CASE("regions partitioned for an hour merge again", "[control]")
{
  ControlFleet fleet({ .mNodes = 40, .mSeed = 41 });
  Form(fleet);
  fleet.mCut = [&](uint32_t aFrom, uint32_t aTo) {
    return fleet.Slots()[aFrom].mRegion != fleet.Slots()[aTo].mRegion;
  };
  fleet.Run(minutes(60));
  const auto report = fleet.Publish("during");
  CHECK(report.mVerdict == PublishVerdict::Accepted);
  fleet.Run(seconds(5));
  fleet.mCut = nullptr;
  const auto took =
    fleet.RunUntil(seconds(60), [&] { return fleet.IsAgreed(); });
  CHECK(took);
  CHECK(fleet.IsInForce(2));
  CheckViolations(fleet);
}

// Guards against a fleet that depends on hosts of its first day.
TEST_CASE("every host is replaced in turn", "[control]")
{
  ControlFleet fleet({ .mNodes = 10, .mSeed = 51 });
  Form(fleet);
  for (int round = 0; round < 2; ++round) {
    for (uint32_t i = 0; i < 10; ++i) {
      CAPTURE(round, i);
      fleet.Drain(i, seconds(2));
      fleet.Run(seconds(4));
      fleet.Start(i);
      REQUIRE(fleet.RunUntil(seconds(10), [&] { return fleet.IsAgreed(); }));
    }
  }
  CheckViolations(fleet);
}

// Guards against joins that need the store, and against a node that serves
// without knowing the manifest.
TEST_CASE("joining while the store is down", "[control]")
{
  for (const bool staticPeers : { true, false }) {
    CAPTURE(staticPeers);
    ControlFleet fleet(
      { .mNodes = 10, .mSeed = 61, .mStaticPeers = staticPeers });
    Form(fleet);
    fleet.Run(seconds(3));
    fleet.mStoreDown = true;
    fleet.Kill(9);
    fleet.Run(seconds(10));
    fleet.Slots()[9].mAudit.clear();
    fleet.Start(9);
    const auto took =
      fleet.RunUntil(seconds(10), [&] { return fleet.IsAgreed(); });
    CHECK(took.has_value() == staticPeers);
    if (!staticPeers) {
      CHECK_FALSE(fleet.Slots()[9].mLogic->IsReady());
      CHECK(std::any_of(fleet.Slots()[9].mAudit.begin(),
                        fleet.Slots()[9].mAudit.end(),
                        [](const AuditEntry& aEntry) {
                          return aEntry.mCause.find("not ready") == 0;
                        }));
      fleet.mStoreDown = false;
      CHECK(fleet.RunUntil(seconds(40), [&] { return fleet.IsAgreed(); }));
    }
    CheckViolations(fleet);
  }
}

// Guards against changes that reach some nodes late or never.
TEST_CASE("a published change is in force within 14 s", "[control]")
{
  for (const uint32_t n : { 10U, 40U, 160U }) {
    CAPTURE(n);
    ControlFleet fleet({ .mNodes = n, .mSeed = 70 + n, .mLoss = 0.05 });
    Form(fleet);
    for (int i = 0; i < 10; ++i) {
      const auto report = fleet.Publish("p" + std::to_string(i));
      REQUIRE(report.mVerdict == PublishVerdict::Accepted);
      const auto took = fleet.RunUntil(
        seconds(14), [&] { return fleet.IsInForce(report.mInForce.mVersion); });
      CHECK(took);
    }
    CheckViolations(fleet);
  }
}

// Guards against a store restored from a backup that takes the fleet back, and
// against a version issued twice.
TEST_CASE("a restored store does not revert the fleet", "[control]")
{
  ControlFleet fleet({ .mNodes = 10, .mSeed = 81 });
  Form(fleet);
  fleet.Store().Save();
  fleet.Publish("second");
  fleet.Publish("third");
  REQUIRE(fleet.RunUntil(seconds(14), [&] { return fleet.IsInForce(3); }));
  fleet.Store().Restore();
  fleet.Run(seconds(45));
  CHECK(fleet.IsInForce(3));
  CHECK(fleet.CountAudit(AuditKind::StoreBehind) > 0);
  // A node that starts now must not take the old version for the newest.
  fleet.Kill(4);
  fleet.Start(4);
  CHECK(fleet.RunUntil(seconds(10), [&] { return fleet.IsAgreed(); }));
  CHECK(fleet.Slots()[4].mReadyVersion == 3);
  const auto report = fleet.Publish("fourth");
  CHECK(report.mInForce.mVersion == 4);
  CHECK(fleet.RunUntil(seconds(14), [&] { return fleet.IsInForce(4); }));
  CheckViolations(fleet);
}

// Guards against a change that is missed because the restored store gives it a
// revision that the watchers know already.
TEST_CASE("a change in a restored store is in force within 14 s", "[control]")
{
  for (const uint64_t seed : { 82, 83, 84 }) {
    CAPTURE(seed);
    ControlFleet fleet({ .mNodes = 10, .mSeed = seed });
    Form(fleet);
    fleet.Store().Save();
    fleet.Publish("second");
    REQUIRE(fleet.RunUntil(seconds(14), [&] { return fleet.IsInForce(2); }));
    fleet.Run(milliseconds(200)); // The watches of the new revision begin.
    fleet.Store().Restore();
    const auto report = fleet.Publish("third");
    REQUIRE(report.mVerdict == PublishVerdict::Accepted);
    CHECK(fleet.RunUntil(seconds(14), [&] { return fleet.IsInForce(3); }));
    CheckViolations(fleet);
  }
}

// Guards against two contents under one version that go unnoticed.
TEST_CASE("an equal version with another digest raises an alarm", "[control]")
{
  ControlFleet fleet({ .mNodes = 10, .mSeed = 91 });
  Form(fleet);
  const auto stamp = fleet.Slots()[1].mStamp;
  fleet.Call(1, [&](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
    aLogic.MessageArrived(
      aNow,
      { .mFrom = fleet.Slots()[2].mLogic->Self(),
        .mFromAddress = fleet.Slots()[2].mAddress,
        .mTo = aLogic.Self(),
        .mSequence = 1,
        .mMessage =
          ManifestRumor{ .mManifest = { stamp.mVersion, stamp.mDigest + 1 } } },
      aActions);
  });
  CHECK(fleet.CountAudit(AuditKind::ManifestFork) == 1);
  CHECK(fleet.Slots()[1].mLogic->Stamp() == stamp);
}

// Guards against watchers that exceed the store's rates, and against a lost
// watcher that no one replaces.
TEST_CASE("two watchers per data centre, replaced when lost", "[control]")
{
  ControlFleet fleet({ .mNodes = 40, .mSeed = 95 });
  Form(fleet);
  fleet.Run(seconds(2));
  const auto watchers = [&] {
    std::map<std::string, int> count;
    for (uint32_t i = 0; i < 40; ++i) {
      if (fleet.IsRunning(i) && fleet.Slots()[i].mLogic->IsWatcher()) {
        ++count[fleet.Slots()[i].mDataCentre];
      }
    }
    return count;
  };
  for (const auto& [dataCentre, count] : watchers()) {
    CHECK(count == 2);
  }
  for (uint32_t i = 0; i < 40; ++i) {
    if (fleet.Slots()[i].mLogic->IsWatcher()) {
      fleet.Kill(i);
    }
  }
  fleet.Run(seconds(10));
  CHECK(watchers().size() == 5);
  const auto report = fleet.Publish("after");
  CHECK(fleet.RunUntil(
    seconds(14), [&] { return fleet.IsInForce(report.mInForce.mVersion); }));
  // While the store is down, calls become rare.
  fleet.mStoreDown = true;
  fleet.Run(seconds(60));
  uint64_t before = 0;
  for (const auto& slot : fleet.Slots()) {
    before += slot.mStoreCalls;
  }
  fleet.Run(seconds(60));
  uint64_t after = 0;
  for (const auto& slot : fleet.Slots()) {
    after += slot.mStoreCalls;
  }
  CHECK(after - before < size_t{ 60 } * 2);
  CheckViolations(fleet);
}
