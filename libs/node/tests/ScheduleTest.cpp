#include <catch2/catch.hpp>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "Schedule.h"

using namespace amaranthgap;
using namespace amaranthgap::sim;

namespace {

/** @return a number from the environment, or the default. */
uint64_t
FromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text ? std::strtoull(text, nullptr, 10) : aDefault;
}

/** Runs one schedule. @return violations in one text. */
std::string
RunSeed(uint64_t aSeed)
{
  const FaultMix mix = FaultMix::Draw(aSeed);
  Schedule schedule(aSeed, mix);
  std::string text;
  for (const std::string& violation : schedule.Run()) {
    text += "\n  " + violation;
  }
  return text.empty()
           ? text
           : fmt::format("seed {} ({}):{}", aSeed, mix.ToString(), text);
}

/** Runs schedules on several threads; each one is a world of its own.
 * @return violations of those that failed. */
std::vector<std::string>
RunSeeds(const std::vector<uint64_t>& aSeeds)
{
  std::atomic<size_t> next{ 0 };
  std::mutex mutex;
  std::vector<std::string> failures;
  const auto work = [&] {
    for (size_t i = next++; i < aSeeds.size(); i = next++) {
      if (std::string text = RunSeed(aSeeds[i]); !text.empty()) {
        const std::lock_guard lock(mutex);
        failures.push_back(std::move(text));
      }
    }
  };
  std::vector<std::thread> threads;
  for (uint64_t i = 0; i < FromEnvironment("SCHEDULE_THREADS", 3); ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return failures;
}

void
CheckSeeds(const std::vector<uint64_t>& aSeeds)
{
  const auto failures = RunSeeds(aSeeds);
  for (const std::string& failure : failures) {
    fmt::print(stderr, "{}\n", failure);
  }
  CHECK(failures.empty());
}

} // namespace

// Guards against any combination of faults that breaks a guarantee of section
// 1.1. SCHEDULE_SEED=<n> replays one schedule; SCHEDULE_FIRST, SCHEDULE_COUNT
// and SCHEDULE_THREADS set the range.
TEST_CASE("random schedules keep the guarantees", "[schedule]")
{
  const uint64_t single = FromEnvironment("SCHEDULE_SEED", 0);
  const uint64_t first = single ? single : FromEnvironment("SCHEDULE_FIRST", 1);
  const uint64_t count = single ? 1 : FromEnvironment("SCHEDULE_COUNT", 1000);
  std::vector<uint64_t> seeds;
  for (uint64_t i = 0; i < count; ++i) {
    seeds.push_back(first + i);
  }
  fmt::print(stderr, "schedules with seeds {} to {}\n", first, seeds.back());
  CheckSeeds(seeds);
}

// Each seed failed once; the commit that added it names the fault.
TEST_CASE("schedules that failed before", "[schedule]")
{
  CheckSeeds({ 4, 117 });
}
