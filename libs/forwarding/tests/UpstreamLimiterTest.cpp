#include <catch2/catch.hpp>

#include "forwarding/UpstreamLimiter.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

SlotRequest
MakeRequest(uint64_t aId, uint32_t aPriority = 1, bool aIsNested = false)
{
  return { .mExecution = { aId },
           .mPriority = aPriority,
           .mIsNested = aIsNested,
           .mDeadline = kNow + seconds(1) };
}

UpstreamLimiter
FullGate(uint32_t aSlots, uint32_t aQueue = 256)
{
  UpstreamLimiter gate({ .mSlotShare = 1, .mQueueCapacity = aQueue });
  gate.SetSlots(aSlots);
  for (uint32_t n = 0; n < aSlots; ++n) {
    gate.Offer(kNow, MakeRequest(1000 + n));
  }
  return gate;
}

} // namespace

TEST_CASE("an upstream never runs more requests than its slot limit")
{
  UpstreamLimiter gate({ .mSlotShare = 0.5 });
  gate.SetSlots(8);
  uint32_t started = 0;
  for (uint64_t n = 0; n < 20; ++n) {
    started += gate.Offer(kNow, MakeRequest(n)).mStarted ? 1 : 0;
  }
  CHECK(started == 4);
  CHECK(gate.Running() == 4);
  gate.Finished(milliseconds(10));
  CHECK(gate.StartNextQueued(kNow));
  CHECK_FALSE(gate.StartNextQueued(kNow));
}

// Guards against priority inversion: calls of a less important request would
// start before a more important request.
TEST_CASE("waiting requests start by priority, then nested first, then arrival")
{
  UpstreamLimiter gate = FullGate(4);
  gate.Offer(kNow, MakeRequest(1, 2));
  gate.Offer(kNow, MakeRequest(2, 0));
  gate.Offer(kNow, MakeRequest(3, 2, true));
  gate.Offer(kNow, MakeRequest(4, 0));
  gate.Offer(kNow, MakeRequest(5, 0, true));
  std::vector<uint64_t> order;
  for (int n = 0; n < 5; ++n) {
    gate.Finished(milliseconds(10));
    order.push_back(gate.StartNextQueued(kNow)->mValue);
  }
  CHECK(order == std::vector<uint64_t>{ 5, 2, 4, 3, 1 });
}

TEST_CASE("a request that cannot start in time is refused immediately")
{
  UpstreamLimiter gate = FullGate(1);
  SlotRequest shortTarget = MakeRequest(1);
  shortTarget.mLatencyTarget = milliseconds(100); // Waits at most 15 ms.
  const auto verdict = gate.Offer(kNow, shortTarget);
  CHECK_FALSE(verdict.mStarted);
  CHECK_FALSE(verdict.mQueued);

  SlotRequest longTarget = MakeRequest(2);
  longTarget.mLatencyTarget = milliseconds(800); // Waits at most 100 ms.
  CHECK(gate.Offer(kNow, longTarget).mQueued);
  CHECK(gate.RemoveOverdue(kNow + milliseconds(99)).empty());
  CHECK(gate.RemoveOverdue(kNow + milliseconds(100)).size() == 1);
  CHECK(gate.Waiting() == 0);
}

// Guards against wasted work under overload: the refusal of a nested request
// fails its whole tree.
TEST_CASE("a nested request may wait where a root request is refused")
{
  UpstreamLimiter gate = FullGate(1);
  SlotRequest request = MakeRequest(1);
  request.mLatencyTarget = milliseconds(300);
  // It may wait 37 ms, but the expected wait is 50 ms.
  CHECK_FALSE(gate.Offer(kNow, request).mQueued);
  request.mIsNested = true;
  CHECK(gate.Offer(kNow, request).mQueued);
}

TEST_CASE("a full queue evicts its last request for a more important one")
{
  UpstreamLimiter gate = FullGate(4, 2);
  gate.Offer(kNow, MakeRequest(1, 2));
  gate.Offer(kNow, MakeRequest(2, 2));
  CHECK_FALSE(gate.Offer(kNow, MakeRequest(3, 2)).mQueued);
  const auto verdict = gate.Offer(kNow, MakeRequest(4, 0));
  CHECK(verdict.mQueued);
  REQUIRE(verdict.mEvicted.size() == 1);
  CHECK(verdict.mEvicted.front().mValue == 2);
}

TEST_CASE("an upstream without slots gets no requests")
{
  UpstreamLimiter gate = FullGate(4);
  gate.Offer(kNow, MakeRequest(1));
  gate.SetSlots(0);
  gate.Finished(milliseconds(10));
  CHECK_FALSE(gate.StartNextQueued(kNow));
  CHECK(gate.RemoveAll().size() == 1);
  CHECK_FALSE(gate.Offer(kNow, MakeRequest(2)).mStarted);
}

// Guards against expected waits that include requests queued behind this one.
TEST_CASE("the expected wait counts only requests that would start earlier")
{
  UpstreamLimiter gate({ .mSlotShare = 1 });
  gate.SetSlots(4);
  gate.Offer(kNow, MakeRequest(1));
  CHECK(gate.EstimateWait(kNow, 1, false) == Duration::zero());
  gate = FullGate(4);
  const Duration next = gate.EstimateWait(kNow, 0, false);
  CHECK(next > Duration::zero());
  for (uint64_t n = 1; n <= 6; ++n) {
    gate.Offer(kNow, MakeRequest(n, 2));
  }
  CHECK(gate.EstimateWait(kNow, 0, false) == next);
  CHECK(gate.EstimateWait(kNow, 1, true) == next);
  CHECK(gate.EstimateWait(kNow, 2, true) == next);
  CHECK(gate.EstimateWait(kNow, 2, false) > 6 * next);
  gate.Finished(milliseconds(10));
  gate.StartNextQueued(kNow);
  gate.Remove({ 2 });
  gate.RemoveOverdue(kNow + seconds(1));
  CHECK(gate.EstimateWait(kNow, 2, false) <= next);
}
