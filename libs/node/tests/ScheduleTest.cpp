#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>

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

} // namespace

// Guards against any combination of faults that breaks a guarantee of section
// 1.1. SCHEDULE_SEED=<n> replays one schedule; SCHEDULE_COUNT and
// SCHEDULE_FIRST set the range.
TEST_CASE("random schedules keep the guarantees", "[schedule]")
{
  const uint64_t single = FromEnvironment("SCHEDULE_SEED", 0);
  const uint64_t first =
    single ? single : FromEnvironment("SCHEDULE_FIRST", 1);
  const uint64_t count =
    single ? 1 : FromEnvironment("SCHEDULE_COUNT", 300);
  uint64_t failed = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const std::string violations = RunSeed(seed);
    if (!violations.empty()) {
      ++failed;
      UNSCOPED_INFO(violations);
      fmt::print(stderr, "{}\n", violations);
    }
  }
  CHECK(failed == 0);
}
