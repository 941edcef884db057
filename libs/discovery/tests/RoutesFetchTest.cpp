#include <catch2/catch.hpp>

#include <set>

#include "discovery/RoutesFetch.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

} // namespace

TEST_CASE("newer routes are asked of a node of the own data centre at once")
{
  RoutesFetch fetch(1);
  fetch.RecordVersion(kNow, "far", false, 7);
  CHECK_FALSE(fetch.Next(kNow, 5, false));
  fetch.RecordVersion(kNow, "near", true, 7);
  CHECK(fetch.Next(kNow, 5, false) == "near");
  CHECK_FALSE(fetch.Next(kNow, 5, false)); // An answer is due.
  CHECK_FALSE(fetch.Next(kNow + seconds(1), 7, false));
}

TEST_CASE("a node of another data centre is asked when no nearer one has them")
{
  RoutesFetch fetch(1);
  fetch.RecordVersion(kNow, "far", false, 7);
  CHECK(fetch.Next(kNow + milliseconds(250), 5, false) == "far");
}

TEST_CASE("a node that watches the store gives the store time to tell")
{
  RoutesFetch fetch(1);
  fetch.RecordVersion(kNow, "near", true, 7);
  CHECK_FALSE(fetch.Next(kNow + milliseconds(200), 5, true));
  CHECK(fetch.Next(kNow + milliseconds(250), 5, true) == "near");
}

TEST_CASE("a node without any routes waits for nobody")
{
  RoutesFetch fetch(1);
  fetch.RecordVersion(kNow, "far", false, 7);
  CHECK(fetch.Next(kNow, 0, true) == "far");
}

// Guards against a node that stays behind because the one it asks is frozen or
// its connection is silent.
TEST_CASE("a node that does not answer is followed by others")
{
  RoutesFetch fetch(1);
  std::set<std::string> asked;
  for (const char* node : { "a", "b", "c" }) {
    fetch.RecordVersion(kNow, node, true, 7);
  }
  TimePoint now = kNow;
  for (; asked.size() < 3 && now < kNow + seconds(2); now += milliseconds(10)) {
    if (const auto node = fetch.Next(now, 5, false)) {
      CHECK(asked.insert(*node).second);
    }
  }
  CHECK(asked.size() == 3);
  CHECK(now - kNow < milliseconds(700));
  fetch.Lost("a");
  fetch.Lost("b");
  CHECK(fetch.Next(now + seconds(1), 5, false) == "c");
}
