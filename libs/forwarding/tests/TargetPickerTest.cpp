#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "forwarding/TargetPicker.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

NodeState
MakeNode(const std::string& aName,
         const std::string& aDataCentre,
         const std::string& aRegion,
         uint64_t aRevision = 1)
{
  return { .mNode = aName,
           .mRun = 1,
           .mRevision = aRevision,
           .mDataCentre = aDataCentre,
           .mRegion = aRegion,
           .mService = "logs",
           .mInstance = aName + "-instance",
           .mLimit = 4,
           .mTakesWork = true };
}

TargetPicker
MakePicker()
{
  TargetPicker picker({ .mDataCentre = "dc1", .mRegion = "east" });
  picker.SetTarget(kNow, MakeNode("near", "dc1", "east"));
  picker.SetTarget(kNow, MakeNode("region", "dc2", "east"));
  picker.SetTarget(kNow, MakeNode("far", "dc3", "north"));
  return picker;
}

std::string
ChooseNode(TargetPicker& aPicker,
           TimePoint aNow,
           const std::set<std::string>& aExclude = {})
{
  const auto choice =
    aPicker.Choose(aNow, { .mService = "logs", .mKind = { "r", 0 } }, aExclude);
  return choice ? choice->mNode : "";
}

} // namespace

// Guards against requests that cross regions while a near target has free
// slots, and against a queue at a near target that costs more than the
// distance.
TEST_CASE("requests go to the nearest target until its queue costs more")
{
  TargetPicker picker = MakePicker();
  std::map<std::string, int> sent;
  std::vector<std::string> order;
  for (int n = 0; n < 100; ++n) {
    order.push_back(ChooseNode(picker, kNow));
    picker.Sent(order.back());
    ++sent[order.back()];
  }
  // Four requests run concurrently, 50 ms each.
  CHECK(std::count(order.begin(), order.begin() + 4, "near") == 4);
  CHECK(std::find(order.begin(), order.end(), "region") <
        std::find(order.begin(), order.end(), "far"));
  CHECK(sent["near"] > sent["region"]);
  CHECK(sent["region"] > sent["far"]);
  CHECK(sent["far"] > 0);
}

namespace {

/** Records 50 replies of a target to requests of one kind. */
void
SendReplies(TargetPicker& aPicker,
            const std::string& aNode,
            uint32_t aRunMs,
            bool aIsFailed = false,
            uint32_t aDemand = 0)
{
  for (int n = 0; n < 50; ++n) {
    aPicker.Sent(aNode);
    aPicker.Replied(kNow,
                    aNode,
                    { .mKind = { "r", 0 }, .mIsFailed = aIsFailed },
                    { .mLimit = 4, .mRunMs = aRunMs, .mDemand = aDemand });
  }
}

} // namespace

TEST_CASE("a slow, failing or overloaded target is avoided")
{
  struct Case
  {
    const char* mName;
    uint32_t mRunMs;
    bool mIsFailed;
    uint32_t mDemand;
    const char* mExpected;
  };
  const std::vector<Case> cases{
    { "sound", 50, false, 500, "near" },
    { "somewhat slower", 120, false, 500, "near" },
    { "slow", 1500, false, 500, "region" },
    { "failing", 50, true, 500, "region" },
    { "overloaded below", 50, false, 1800, "region" },
  };
  for (const Case& it : cases) {
    INFO(it.mName);
    TargetPicker picker = MakePicker();
    SendReplies(picker, "near", it.mRunMs, it.mIsFailed, it.mDemand);
    SendReplies(picker, "region", 50);
    SendReplies(picker, "far", 50);
    ChooseNode(picker, kNow); // This choice may be the first probe.
    int expected = 0;
    for (int n = 0; n < 20; ++n) {
      expected += ChooseNode(picker, kNow) == it.mExpected ? 1 : 0;
    }
    CHECK(expected == 20);
  }
}

// Guards against a target that is avoided permanently, and against too many
// probes.
TEST_CASE("a slow target is probed at intervals")
{
  TargetPicker picker = MakePicker();
  SendReplies(picker, "near", 1500);
  SendReplies(picker, "region", 50);
  int probes = 0;
  for (int n = 0; n < 500; ++n) {
    probes += ChooseNode(picker, kNow + milliseconds(10) * n) == "near" ? 1 : 0;
  }
  CHECK(probes >= 4);
  CHECK(probes <= 6);
}

// Guards against call trees that are spread over several data centres.
TEST_CASE("a request goes to the data centre chosen at its admission")
{
  TargetPicker picker = MakePicker();
  const auto choose = [&](std::string_view aDataCentre,
                          const std::set<std::string>& aExclude) {
    const auto choice = picker.Choose(
      kNow,
      { .mService = "logs", .mKind = { "r", 0 }, .mDataCentre = aDataCentre },
      aExclude);
    return choice ? choice->mNode : "";
  };
  CHECK(choose("dc3", {}) == "far");
  CHECK(choose("dc3", { "far" }) == "near");
  CHECK(choose("dc9", {}) == "near");
}

TEST_CASE("a target that refused a request is avoided for a short time")
{
  TargetPicker picker = MakePicker();
  picker.Sent("near");
  picker.Replied(
    kNow, "near", { .mKind = { "r", 0 }, .mIsRefused = true }, { .mLimit = 4 });
  CHECK(ChooseNode(picker, kNow) == "region");
  CHECK(ChooseNode(picker, kNow + seconds(1)) == "near");
}

TEST_CASE("a failed target gets no requests during an exponential backoff")
{
  TargetPicker picker = MakePicker();
  picker.Sent("near");
  picker.Failed(kNow, "near");
  CHECK(ChooseNode(picker, kNow + milliseconds(150)) == "region");
  CHECK(ChooseNode(picker, kNow + milliseconds(250)) == "near");
  picker.Sent("near");
  picker.Failed(kNow + milliseconds(250), "near");
  CHECK(ChooseNode(picker, kNow + milliseconds(600)) == "region");
}

TEST_CASE("a target that is draining, removed or excluded is not chosen")
{
  TargetPicker picker = MakePicker();
  NodeState leaving = MakeNode("near", "dc1", "east", 2);
  leaving.mTakesWork = false;
  picker.SetTarget(kNow, leaving);
  CHECK(ChooseNode(picker, kNow) == "region");
  // A delayed announcement does not restore it.
  picker.SetTarget(kNow, MakeNode("near", "dc1", "east", 1));
  CHECK(ChooseNode(picker, kNow) == "region");
  CHECK(ChooseNode(picker, kNow, { "region" }) == "far");
  picker.RemoveNode("far");
  CHECK(ChooseNode(picker, kNow, { "region" }).empty());
  CHECK(picker.DataCentresOf(kNow, "crews").empty());
}

TEST_CASE("a node that now belongs to another service is not chosen")
{
  TargetPicker picker = MakePicker();
  NodeState reused = MakeNode("near", "dc1", "east", 2);
  reused.mService = "crews";
  picker.SetTarget(kNow, reused);
  CHECK(ChooseNode(picker, kNow) == "region");
  CHECK(picker.DataCentresOf(kNow, "crews").size() == 1);
}

namespace {

TargetPicker
MakePickerOf(const std::vector<const char*>& aNodes)
{
  TargetPicker picker({ .mDataCentre = "dc1", .mRegion = "east" });
  for (const char* node : aNodes) {
    picker.SetTarget(kNow, MakeNode(node, "dc1", "east"));
  }
  return picker;
}

/** @return how many of 1,000 requests each node is chosen for. */
std::map<std::string, int>
CountChoices(TargetPicker& aPicker)
{
  std::map<std::string, int> out;
  for (int n = 0; n < 1000; ++n) {
    ++out[ChooseNode(aPicker, kNow)];
  }
  return out;
}

} // namespace

// Guards against requests that run into their timeout at slow targets while
// fast ones are idle.
TEST_CASE("fast targets get most requests while they have free slots")
{
  TargetPicker picker = MakePickerOf({ "slow-1", "slow-2", "fast" });
  SendReplies(picker, "slow-1", 800);
  SendReplies(picker, "slow-2", 800);
  SendReplies(picker, "fast", 350);
  std::map<std::string, int> sent = CountChoices(picker);
  CHECK(sent["fast"] > 800);
  // Some requests still show when a slow target becomes fast.
  CHECK(sent["slow-1"] > 10);
  CHECK(sent["slow-2"] > 10);
  // All slots of the fast one in use.
  for (int n = 0; n < 4; ++n) {
    picker.Sent("fast");
  }
  sent = CountChoices(picker);
  CHECK(sent["fast"] < 700);
}

// Guards against a burst to a target that has just joined: nothing is known of
// its run time, and it may be slow at first.
TEST_CASE("a new target gets about the share of an average one")
{
  TargetPicker picker = MakePickerOf({ "slow", "fast", "new" });
  SendReplies(picker, "slow", 800);
  SendReplies(picker, "fast", 400);
  std::map<std::string, int> sent = CountChoices(picker);
  CHECK(sent["new"] > 50);
  CHECK(sent["new"] < 500);
}
