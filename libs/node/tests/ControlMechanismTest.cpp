#include <catch2/catch.hpp>

#include "ControlFleet.h"

using namespace amaranthgap;

namespace {

using Switches = ControlLogic::Switches;

/** @return whether the scenario ends as required with these switches. */
using Scenario = bool (*)(const Switches&);

ControlFleet
MakeFleet(const Switches& aSwitches,
          uint32_t aNodes,
          uint64_t aSeed,
          double aLoss = 0)
{
  return ControlFleet({ .mNodes = aNodes,
                        .mSeed = aSeed,
                        .mLoss = aLoss,
                        .mSwitches = aSwitches });
}

bool
Form(ControlFleet& aFleet)
{
  aFleet.Publish("first");
  aFleet.StartAll();
  return aFleet.RunUntil(seconds(60), [&] { return aFleet.IsInForce(1); })
    .has_value();
}

bool
IsGone(const MemberUpdate* aUpdate)
{
  return aUpdate == nullptr || aUpdate->mState == MemberState::Dead ||
         aUpdate->mState == MemberState::Left;
}

size_t
CountCause(const ControlFleet::Slot& aSlot, const std::string& aText)
{
  return size_t(std::count_if(
    aSlot.mAudit.begin(), aSlot.mAudit.end(), [&](const AuditEntry& aEntry) {
      return aEntry.mCause.find(aText) != std::string::npos;
    }));
}

/** A node whose answers come late is suspected and must be able to say that it
 * is alive. */
bool
SlowNodeStays(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 20, 11);
  Form(fleet);
  fleet.Slots()[4].mSlow = milliseconds(1300);
  for (int i = 0; i < 300; ++i) {
    fleet.Run(milliseconds(100));
    if (fleet.Dissenters(
          4, [](const auto* aUpdate) { return !IsGone(aUpdate); }) > 10) {
      return false;
    }
  }
  return true;
}

/** A broken path between two nodes says nothing about either of them. */
bool
BrokenPathRaisesNoSuspicion(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 10, 12);
  Form(fleet);
  fleet.Run(seconds(5));
  for (auto& slot : fleet.Slots()) {
    slot.mAudit.clear();
  }
  fleet.mCut = [](uint32_t aFrom, uint32_t aTo) {
    return aFrom + aTo == 5 && (aFrom == 2 || aTo == 2);
  };
  fleet.Run(seconds(60));
  return CountCause(fleet.Slots()[2], "suspect: did not") == 0;
}

/** A node that cannot hear accuses ever more slowly: in 20 s its timeouts of
 * 1, 2, 3 and so on seconds leave room for at most six accusations. */
bool
DeafNodeAccusesFew(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 40, 13);
  Form(fleet);
  fleet.Run(seconds(5));
  fleet.mCut = [](uint32_t, uint32_t aTo) { return aTo == 3; };
  fleet.Slots()[3].mAudit.clear();
  fleet.Run(seconds(20));
  return CountCause(fleet.Slots()[3], "suspect: did not") <= 6;
}

/** A resumed node must not serve before a peer has answered it. */
bool
ResumedNodeAsksFirst(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 10, 14);
  Form(fleet);
  fleet.Run(seconds(5));
  fleet.Pause(5);
  fleet.Run(seconds(30));
  fleet.Resume(5);
  if (fleet.Slots()[5].mLogic->IsReady()) {
    return false;
  }
  return fleet
    .RunUntil(seconds(2), [&] { return fleet.Slots()[5].mLogic->IsReady(); })
    .has_value();
}

/** The word of one node must not remove a member that answers. */
bool
FalseDeathIsRefuted(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 10, 15);
  Form(fleet);
  fleet.Run(seconds(5));
  const auto accused = *fleet.Slots()[1].mLogic->FindMember({ "host-2" });
  fleet.Call(1, [&](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
    aLogic.MessageArrived(
      aNow,
      { .mFrom = fleet.Slots()[7].mLogic->Self(),
        .mFromAddress = fleet.Slots()[7].mAddress,
        .mTo = aLogic.Self(),
        .mMessage =
          MemberUpdates{ .mUpdates = { { .mNode = accused.mNode,
                                         .mRefutation = accused.mRefutation,
                                         .mState = MemberState::Dead } } } },
      aActions);
  });
  bool gone = false;
  for (int i = 0; i < 100; ++i) {
    fleet.Run(milliseconds(50));
    gone |= fleet.Dissenters(
              2, [](const auto* aUpdate) { return !IsGone(aUpdate); }) > 0;
  }
  return !gone;
}

/** Regions that held each other for dead find each other again. */
bool
RegionsMerge(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 20, 16);
  Form(fleet);
  fleet.mCut = [&](uint32_t aFrom, uint32_t aTo) {
    return fleet.Slots()[aFrom].mRegion != fleet.Slots()[aTo].mRegion;
  };
  fleet.Run(seconds(120));
  fleet.mCut = nullptr;
  return fleet.RunUntil(seconds(60), [&] { return fleet.IsAgreed(); })
    .has_value();
}

/** A node that was cut off learns of members that joined meanwhile, although
 * their announcement is no longer being passed on. */
bool
MissedJoinsAreLearned(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 20, 17);
  fleet.Publish("first");
  for (uint32_t i = 0; i < 15; ++i) {
    fleet.Start(i);
  }
  fleet.Run(seconds(30));
  fleet.mCut = [](uint32_t aFrom, uint32_t aTo) {
    return aFrom == 3 || aTo == 3;
  };
  fleet.Run(seconds(1));
  for (uint32_t i = 15; i < 20; ++i) {
    fleet.Start(i);
  }
  fleet.Run(seconds(30));
  fleet.mCut = nullptr;
  return fleet.RunUntil(seconds(30), [&] { return fleet.IsAgreed(); })
    .has_value();
}

/** All of a lost data centre is gone within 8 s: the last of its 100 members
 * is probed within 4 s, and the suspicion takes 3 s more. */
bool
LostDataCentreIsFoundFast(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 300, 18);
  Form(fleet);
  fleet.Run(seconds(20));
  for (uint32_t i = 0; i < 300; i += 5) {
    fleet.Kill(i);
  }
  return fleet
    .RunUntil(seconds(8),
              [&] {
                for (uint32_t i = 0; i < 300; i += 5) {
                  if (fleet.Dissenters(i, IsGone) != 0) {
                    return false;
                  }
                }
                return true;
              })
    .has_value();
}

/** A small change is in force everywhere within 2 s. */
bool
ChangeIsFast(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 100, 19);
  Form(fleet);
  fleet.Run(seconds(10));
  fleet.Publish("second");
  return fleet.RunUntil(seconds(2), [&] { return fleet.IsInForce(2); })
    .has_value();
}

/** A change that does not fit into a datagram reaches everyone. */
bool
LargeChangeArrives(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 40, 20);
  Form(fleet);
  for (int i = 0; i < 200; ++i) {
    fleet.Entries()["callers/large-" + std::to_string(i)] = "party";
  }
  fleet.Publish("second");
  return fleet.RunUntil(seconds(14), [&] { return fleet.IsInForce(2); })
    .has_value();
}

/** The whole fleet makes few calls to the store at rest: 20 watchers would be
 * 5 data centres with 4 watches each. */
bool
StoreIsSpared(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 100, 21);
  Form(fleet);
  fleet.Run(seconds(10));
  const auto calls = [&] {
    uint64_t sum = 0;
    for (const auto& slot : fleet.Slots()) {
      sum += slot.mStoreCalls;
    }
    return sum;
  };
  const uint64_t before = calls();
  fleet.Run(seconds(60));
  return calls() - before < 20 * 60 / 10;
}

/** A node that starts while the store lags takes the version of its peers. */
bool
NewNodeAsksPeers(const Switches& aSwitches)
{
  auto fleet = MakeFleet(aSwitches, 10, 22);
  Form(fleet);
  fleet.Store().Save();
  fleet.Publish("second");
  if (!fleet.RunUntil(seconds(14), [&] { return fleet.IsInForce(2); })) {
    return false;
  }
  fleet.Store().Restore();
  for (uint32_t i = 0; i < 10; ++i) {
    fleet.Kill(i);
    fleet.Run(seconds(8));
    fleet.Start(i);
    fleet.RunUntil(seconds(10),
                   [&] { return fleet.Slots()[i].mLogic->IsReady(); });
    if (fleet.Slots()[i].mReadyVersion != 2) {
      return false;
    }
  }
  return true;
}

struct Mechanism
{
  const char* mName;
  bool Switches::*mSwitch;
  Scenario mScenario;
};

constexpr Mechanism kMechanisms[] = {
  { "refutation", &Switches::mRefute, SlowNodeStays },
  { "indirect probes",
    &Switches::mIndirectProbes,
    BrokenPathRaisesNoSuspicion },
  { "widened timeouts", &Switches::mWidenTimeouts, DeafNodeAccusesFew },
  { "pause detection", &Switches::mDetectPause, ResumedNodeAsksFirst },
  { "suspicion first", &Switches::mSuspectFirst, FalseDeathIsRefuted },
  { "probes of dead members", &Switches::mProbeDead, RegionsMerge },
  { "push-pull", &Switches::mPushPull, MissedJoinsAreLearned },
  { "probes follow outages",
    &Switches::mFollowOutages,
    LostDataCentreIsFoundFast },
  { "rumors", &Switches::mRumors, ChangeIsFast },
  { "pulls", &Switches::mPulls, LargeChangeArrives },
  { "watcher election", &Switches::mElectWatchers, StoreIsSpared },
  { "asking peers", &Switches::mAskPeers, NewNodeAsksPeers },
};

} // namespace

// Guards against mechanisms that no test would miss: each scenario holds with
// all of them and fails without the one it is for.
TEST_CASE("each mechanism of the control logic is needed", "[control]")
{
  for (const auto& mechanism : kMechanisms) {
    CAPTURE(mechanism.mName);
    CHECK(mechanism.mScenario({}));
    Switches off;
    off.*mechanism.mSwitch = false;
    CHECK_FALSE(mechanism.mScenario(off));
  }
}
