#include "ControlSlopes.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
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
      std::optional<Duration> aTook)
{
  const double per = double(aNodes) * aPer;
  std::printf("%6u  %-22s %10.1f %9.2f %11.4f %9.4f  %s",
              aNodes,
              aWhat,
              double(aAfter.mBytes - aBefore.mBytes) / per,
              double(aAfter.mMessages - aBefore.mMessages) / per,
              double(aAfter.mStoreCalls - aBefore.mStoreCalls) / aPer,
              ToSeconds(aAfter.mBusy - aBefore.mBusy) * 1000 / per,
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

int
Measure(uint32_t aNodes)
{
  const uint64_t resident = ResidentBytes();
  ControlFleet fleet({ .mNodes = aNodes,
                       .mSeed = aNodes,
                       .mTick = milliseconds(aNodes > 200 ? 50 : 20),
                       .mMeasure = true });
  // About 2,000 callers and 410 services of three classes, 100 KB in all.
  for (int i = 0; i < 2000; ++i) {
    fleet.Entries()["callers/caller-" + std::to_string(i)] =
      "party-" + std::to_string(i % 300);
  }
  if (fleet.Publish("first").mVerdict != PublishVerdict::Accepted) {
    std::printf("publishing failed\n");
    return 1;
  }
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
        formed);
  std::printf("%6u  memory per node %.0f KB\n",
              aNodes,
              double(ResidentBytes() - resident) / 1024 / aNodes);
  fleet.Run(seconds(10));

  const auto before = Sum(fleet);
  const int rest = aNodes > 1000 ? 5 : 20;
  fleet.Run(seconds(rest));
  const auto after = Sum(fleet);
  Print("at rest", aNodes, before, after, rest, "per second", {});
  auto perSecond = Minus(after, before);
  perSecond.mBytes /= uint64_t(rest);
  perSecond.mMessages /= uint64_t(rest);
  perSecond.mBusy /= rest;

  const auto event = [&](const char* aWhat,
                         double aCount,
                         const std::function<std::optional<Duration>()>& aRun) {
    const auto from = Sum(fleet);
    const TimePoint at = fleet.Now();
    const auto took = aRun();
    fleet.Run(seconds(4)); // Repeats that still go on.
    const auto cost =
      WithoutRest(Minus(Sum(fleet), from), perSecond, fleet.Now() - at);
    Print(aWhat, aNodes, {}, cost, aCount, "per event", took);
    return took.has_value();
  };
  bool good = true;
  good &= event("manifest change", 3, [&] {
    std::optional<Duration> longest = Duration{};
    for (int i = 0; i < 3 && longest; ++i) {
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
  for (int i = 1; i < argc; ++i) {
    const auto size = uint32_t(std::strtoul(argv[i], nullptr, 10));
    if (size < kFewestNodes) {
      std::fprintf(stderr,
                   "usage: amaranthgap-bench control-slopes [NODES...], each "
                   "at least %u\n",
                   kFewestNodes);
      return 2;
    }
    sizes.push_back(size);
  }
  if (sizes.empty()) {
    sizes = { 10, 40, 160, 640 };
  }
  std::printf("%6s  %-22s %10s %9s %11s %9s\n",
              "nodes",
              "",
              "bytes/node",
              "msgs/node",
              "store calls",
              "cpu ms/node");
  int status = 0;
  for (const uint32_t n : sizes) {
    status |= Measure(n);
  }
  return status;
}

} // namespace amaranthgap
