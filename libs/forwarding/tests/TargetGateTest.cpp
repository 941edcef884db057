#include <catch2/catch.hpp>

#include "forwarding/UpstreamLimiter.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

SlotRequest
Request(uint64_t aId, uint32_t aPriority = 1, bool aNested = false)
{
  return { .mExecution = { aId },
           .mPriority = aPriority,
           .mIsNested = aNested,
           .mDeadline = kNow + seconds(1) };
}

UpstreamLimiter
FullGate(uint32_t aSlots, uint32_t aQueue = 256)
{
  UpstreamLimiter gate({ .mSlotShare = 1, .mQueueCapacity = aQueue });
  gate.SetSlots(aSlots);
  for (uint32_t n = 0; n < aSlots; ++n) {
    gate.Offer(kNow, Request(1000 + n));
  }
  return gate;
}

} // namespace

TEST_CASE("an upstream never gets more than its slots take")
{
  UpstreamLimiter gate({ .mSlotShare = 0.5 });
  gate.SetSlots(8);
  uint32_t started = 0;
  for (uint64_t n = 0; n < 20; ++n) {
    started += gate.Offer(kNow, Request(n)).mStarted ? 1 : 0;
  }
  CHECK(started == 4);
  CHECK(gate.Running() == 4);
  gate.Finished(milliseconds(10));
  CHECK(gate.StartNextQueued());
  CHECK_FALSE(gate.StartNextQueued());
}

// Guards against calls of a less important request that take the slots from a
// more important one.
TEST_CASE("waiting requests start by priority, then nested first, then arrival")
{
  UpstreamLimiter gate = FullGate(4);
  gate.Offer(kNow, Request(1, 2));
  gate.Offer(kNow, Request(2, 0));
  gate.Offer(kNow, Request(3, 2, true));
  gate.Offer(kNow, Request(4, 0));
  gate.Offer(kNow, Request(5, 0, true));
  std::vector<uint64_t> order;
  for (int n = 0; n < 5; ++n) {
    gate.Finished(milliseconds(10));
    order.push_back(gate.StartNextQueued()->mValue);
  }
  CHECK(order == std::vector<uint64_t>{ 5, 2, 4, 3, 1 });
}

TEST_CASE("what cannot start in time is refused at once")
{
  UpstreamLimiter gate = FullGate(1);
  SlotRequest hurried = Request(1);
  hurried.mLatencyTarget = milliseconds(100); // A wait of 15 ms at most.
  const auto verdict = gate.Offer(kNow, hurried);
  CHECK_FALSE(verdict.mStarted);
  CHECK_FALSE(verdict.mQueued);

  SlotRequest patient = Request(2);
  patient.mLatencyTarget = milliseconds(800); // 100 ms.
  CHECK(gate.Offer(kNow, patient).mQueued);
  CHECK(gate.RemoveOverdue(kNow + milliseconds(99)).empty());
  CHECK(gate.RemoveOverdue(kNow + milliseconds(100)).size() == 1);
  CHECK(gate.Waiting() == 0);
}

// Guards against the loss of whole trees of calls under overload.
TEST_CASE("a nested request waits where a first one is refused")
{
  UpstreamLimiter gate = FullGate(1);
  SlotRequest request = Request(1);
  request.mLatencyTarget = milliseconds(300);
  CHECK_FALSE(gate.Offer(kNow, request).mQueued); // 37 ms for a run of 50 ms.
  request.mIsNested = true;
  CHECK(gate.Offer(kNow, request).mQueued);
}

TEST_CASE("a full queue gives way to what is more important")
{
  UpstreamLimiter gate = FullGate(4, 2);
  gate.Offer(kNow, Request(1, 2));
  gate.Offer(kNow, Request(2, 2));
  CHECK_FALSE(gate.Offer(kNow, Request(3, 2)).mQueued);
  const auto verdict = gate.Offer(kNow, Request(4, 0));
  CHECK(verdict.mQueued);
  REQUIRE(verdict.mEvicted.size() == 1);
  CHECK(verdict.mEvicted.front().mValue == 2);
}

TEST_CASE("an upstream that takes no work gets none")
{
  UpstreamLimiter gate = FullGate(4);
  gate.Offer(kNow, Request(1));
  gate.SetSlots(0);
  gate.Finished(milliseconds(10));
  CHECK_FALSE(gate.StartNextQueued());
  CHECK(gate.RemoveAll().size() == 1);
  CHECK_FALSE(gate.Offer(kNow, Request(2)).mStarted);
}

// Guards against waits that count a queue behind a request.
TEST_CASE(
  "the wait that is told counts what is ahead of a request of that rank")
{
  UpstreamLimiter gate({ .mSlotShare = 1 });
  gate.SetSlots(4);
  gate.Offer(kNow, Request(1));
  CHECK(gate.EstimateWait(1, false) == Duration::zero());
  gate = FullGate(4);
  const Duration next = gate.EstimateWait(0, false);
  CHECK(next > Duration::zero());
  for (uint64_t n = 1; n <= 6; ++n) {
    gate.Offer(kNow, Request(n, 2));
  }
  CHECK(gate.EstimateWait(0, false) == next);
  CHECK(gate.EstimateWait(1, true) == next);
  CHECK(gate.EstimateWait(2, true) == next);
  CHECK(gate.EstimateWait(2, false) > 6 * next);
  gate.Finished(milliseconds(10));
  gate.StartNextQueued();
  gate.Remove({ 2 });
  gate.RemoveOverdue(kNow + seconds(1));
  CHECK(gate.EstimateWait(2, false) <= next);
}
