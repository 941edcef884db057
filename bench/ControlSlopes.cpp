#include "ControlSlopes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string_view>
#include <vector>

#include <unistd.h>

#include "../libs/node/tests/ControlFleet.h"

namespace amaranthgap {

namespace {

// Two regions with five data centres need a node each.
constexpr uint32_t kFewestNodes = 5;

/** Sums over all slots at one moment. */
struct Totals
{
  uint64_t mBytes = 0;
  uint64_t mMessages = 0;
  uint64_t mStoreCalls = 0;
  Duration mBusy{};
};

Totals
Sum(ControlFleet& aFleet)
{
  Totals totals;
  for (const auto& slot : aFleet.Slots()) {
    totals.mBytes += slot.mBytes;
    totals.mMessages += slot.mMessages;
    totals.mStoreCalls += slot.mStoreCalls;
    totals.mBusy += slot.mBusy;
  }
  return totals;
}

/** The most bytes that one node sent in any window of 2 s, in steps of 100 ms,
 * since the last Reset. */
class PeakRate
{
public:
  explicit PeakRate(ControlFleet& aFleet)
    : mFleet(aFleet)
  {
    Reset();
    Sample();
  }

  void Reset()
  {
    mPeak = 0;
    mTaken = 0;
    Take();
  }

  [[nodiscard]] double BytesPerSecond() const
  {
    return double(mPeak) / ToSeconds(kStep * kSteps);
  }

private:
  static constexpr Duration kStep = milliseconds(100);
  static constexpr size_t kSteps = 20;

  void Sample()
  {
    mFleet.After(kStep, [this] {
      Take();
      Sample();
    });
  }

  void Take()
  {
    // With fewer samples than a window holds, the first one starts it.
    const auto& slots = mFleet.Slots();
    auto& present = mBytes[mTaken % mBytes.size()];
    present.resize(slots.size());
    const auto& first =
      mBytes[mTaken < kSteps ? 0 : (mTaken + 1) % mBytes.size()];
    for (size_t i = 0; i < slots.size(); ++i) {
      present[i] = slots[i].mBytes;
      mPeak = std::max(mPeak, present[i] - first[i]);
    }
    ++mTaken;
  }

  ControlFleet& mFleet;
  std::array<std::vector<uint64_t>, kSteps + 1> mBytes;
  size_t mTaken = 0;
  uint64_t mPeak = 0;
};

uint64_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  uint64_t size = 0;
  uint64_t resident = 0;
  file >> size >> resident;
  return resident * uint64_t(sysconf(_SC_PAGESIZE));
}

void
Print(const char* aWhat,
      uint32_t aNodes,
      const Totals& aBefore,
      const Totals& aAfter,
      double aPer,
      const char* aUnit,
      std::optional<Duration> aTook,
      double aPeak)
{
  const double per = double(aNodes) * aPer;
  std::printf("%6u  %-22s %10.1f %9.2f %11.4f %9.4f %10.0f  %s",
              aNodes,
              aWhat,
              double(aAfter.mBytes - aBefore.mBytes) / per,
              double(aAfter.mMessages - aBefore.mMessages) / per,
              double(aAfter.mStoreCalls - aBefore.mStoreCalls) / aPer,
              ToSeconds(aAfter.mBusy - aBefore.mBusy) * 1000 / per,
              aPeak,
              aUnit);
  if (aTook) {
    std::printf(", took %.1f s", ToSeconds(*aTook));
  }
  std::printf("\n");
  std::fflush(stdout);
}

/** Subtracts what the same time costs at rest. */
Totals
WithoutRest(Totals aTotals, const Totals& aRestPerSecond, Duration aTime)
{
  const double time = ToSeconds(aTime);
  aTotals.mBytes -=
    std::min(aTotals.mBytes, uint64_t(double(aRestPerSecond.mBytes) * time));
  aTotals.mMessages -= std::min(
    aTotals.mMessages, uint64_t(double(aRestPerSecond.mMessages) * time));
  aTotals.mBusy -= std::min(
    aTotals.mBusy, FromSeconds(ToSeconds(aRestPerSecond.mBusy) * time));
  return aTotals;
}

Totals
Minus(const Totals& aAfter, const Totals& aBefore)
{
  return { .mBytes = aAfter.mBytes - aBefore.mBytes,
           .mMessages = aAfter.mMessages - aBefore.mMessages,
           .mStoreCalls = aAfter.mStoreCalls - aBefore.mStoreCalls,
           .mBusy = aAfter.mBusy - aBefore.mBusy };
}

bool
IsGone(const MemberUpdate* aUpdate)
{
  return aUpdate == nullptr || aUpdate->mState == MemberState::Dead ||
         aUpdate->mState == MemberState::Left;
}

FleetOptions
OptionsFor(uint32_t aNodes)
{
  return { .mNodes = aNodes,
           .mSeed = aNodes,
           .mTick = milliseconds(aNodes > 200 ? 50 : 20),
           .mMeasure = true };
}

bool
PublishFirst(ControlFleet& aFleet)
{
  // About 2,000 callers and 410 services of three classes, 100 KB in all.
  for (int i = 0; i < 2000; ++i) {
    aFleet.Entries()["callers/caller-" + std::to_string(i)] =
      "party-" + std::to_string(i % 300);
  }
  if (aFleet.Publish("first").mVerdict != PublishVerdict::Accepted) {
    std::printf("publishing failed\n");
    return false;
  }
  return true;
}

/** All nodes start at once and know nobody; they meet by the seeds that the
 * first of them write to the store. */
int
MeasureFromNothing(uint32_t aNodes)
{
  ControlFleet fleet(OptionsFor(aNodes));
  if (!PublishFirst(fleet)) {
    return 1;
  }
  PeakRate peak(fleet);
  const auto start = Sum(fleet);
  fleet.StartAll();
  const auto formed = fleet.RunUntil(
    seconds(600), [&] { return fleet.IsAgreed(); }, milliseconds(500));
  Print(formed ? "from nothing" : "from nothing, not all",
        aNodes,
        start,
        Sum(fleet),
        1,
        "in all",
        formed ? formed : std::optional<Duration>(seconds(600)),
        peak.BytesPerSecond());
  return formed ? 0 : 1;
}

int
Measure(uint32_t aNodes)
{
  const uint64_t resident = ResidentBytes();
  ControlFleet fleet(OptionsFor(aNodes));
  if (!PublishFirst(fleet)) {
    return 1;
  }
  PeakRate peak(fleet);
  const auto start = Sum(fleet);
  const bool atOnce = aNodes <= 160;
  if (atOnce) {
    fleet.StartAll();
  } else {
    fleet.StartFormed();
  }
  const auto formed = fleet.RunUntil(
    seconds(120), [&] { return fleet.IsAgreed(); }, milliseconds(500));
  if (!formed) {
    std::printf("%6u did not form\n", aNodes);
    return 1;
  }
  Print(atOnce ? "start of all" : "start, members known",
        aNodes,
        start,
        Sum(fleet),
        1,
        "in all",
        formed,
        peak.BytesPerSecond());
  std::printf("%6u  memory per node %.0f KB\n",
              aNodes,
              double(ResidentBytes() - resident) / 1024 / aNodes);
  // After a start from nothing, pages and joins still go on for some time.
  fleet.Run(seconds(atOnce ? 60 : 10));

  peak.Reset();
  const auto before = Sum(fleet);
  const int rest = aNodes > 1000 ? 5 : 20;
  fleet.Run(seconds(rest));
  const auto after = Sum(fleet);
  Print("at rest",
        aNodes,
        before,
        after,
        rest,
        "per second",
        {},
        peak.BytesPerSecond());
  auto perSecond = Minus(after, before);
  perSecond.mBytes /= uint64_t(rest);
  perSecond.mMessages /= uint64_t(rest);
  perSecond.mBusy /= rest;

  const auto event = [&](const char* aWhat,
                         double aCount,
                         const std::function<std::optional<Duration>()>& aRun) {
    const auto from = Sum(fleet);
    peak.Reset();
    const TimePoint at = fleet.Now();
    const auto took = aRun();
    fleet.Run(seconds(4)); // Repeats that still go on.
    const auto cost =
      WithoutRest(Minus(Sum(fleet), from), perSecond, fleet.Now() - at);
    Print(aWhat,
          aNodes,
          {},
          cost,
          aCount,
          "per event",
          took,
          peak.BytesPerSecond());
    return took.has_value();
  };
  bool good = true;
  good &= event("manifest change", 3, [&] {
    std::optional<Duration> longest = Duration{};
    for (int i = 0; i < 3 && longest; ++i) {
      // 15,000 changes a day are one in 5.8 s.
      fleet.Run(seconds(i == 0 ? 0 : 6));
      const auto report = fleet.Publish("change-" + std::to_string(i));
      const auto took = fleet.RunUntil(
        seconds(14), [&] { return fleet.IsInForce(report.mInForce.mVersion); });
      longest = took ? std::max(longest, took) : std::nullopt;
    }
    return longest;
  });
  good &= event("failed node", 1, [&] {
    fleet.Kill(1);
    return fleet.RunUntil(seconds(30),
                          [&] { return fleet.Dissenters(1, IsGone) == 0; });
  });
  good &= event("leaving node", 1, [&] {
    fleet.Drain(2, seconds(3));
    return fleet.RunUntil(seconds(30), [&] {
      return fleet.Dissenters(2, [](const MemberUpdate* aUpdate) {
        return aUpdate != nullptr && aUpdate->mState != MemberState::Warm;
      }) == 0;
    });
  });
  good &= event("lost data centre", 1, [&] {
    for (uint32_t i = 0; i < aNodes; i += 5) {
      fleet.Kill(i);
    }
    return fleet.RunUntil(seconds(60), [&] {
      for (uint32_t i = 0; i < aNodes; i += 5) {
        if (fleet.Dissenters(i, IsGone) != 0) {
          return false;
        }
      }
      return true;
    });
  });
  for (const auto& violation : fleet.Violations()) {
    std::printf("violation: %s\n", violation.c_str());
  }
  return good && fleet.Violations().empty() ? 0 : 1;
}

} // namespace

int
RunControlSlopes(int argc, char** argv)
{
  std::vector<uint32_t> sizes;
  bool fromNothing = false;
  for (int i = 1; i < argc; ++i) {
    if (std::string_view(argv[i]) == "--from-nothing") {
      fromNothing = true;
      continue;
    }
    const auto size = uint32_t(std::strtoul(argv[i], nullptr, 10));
    if (size < kFewestNodes) {
      std::fprintf(stderr,
                   "usage: amaranthgap-bench control-slopes [--from-nothing] "
                   "[NODES...], each at least %u\n",
                   kFewestNodes);
      return 2;
    }
    sizes.push_back(size);
  }
  if (sizes.empty()) {
    sizes = { 10, 40, 160, 640 };
  }
  std::printf("%6s  %-22s %10s %9s %11s %9s %10s\n",
              "nodes",
              "",
              "bytes/node",
              "msgs/node",
              "store calls",
              "cpu ms/node",
              "peak B/s");
  int status = 0;
  for (const uint32_t n : sizes) {
    status |= fromNothing ? MeasureFromNothing(n) : Measure(n);
  }
  return status;
}

} // namespace amaranthgap
