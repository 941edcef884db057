#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "base/Rng.h"
#include "quarantine/CrashCorrelator.h"

using namespace amaranthgap;

namespace {

const TimePoint kStart{ seconds(100) };
using enum FingerprintState;

struct Event
{
  enum class Kind : uint8_t
  {
    Crash,    ///< With the fingerprints in flight.
    Complete, ///< Of the first fingerprint.
    Report,
    Wait,
  };
  Kind mKind = Kind::Crash;
  std::vector<uint64_t> mInFlight;
  CrashReport mReport;
  Duration mWait{};
};

Event
Crash(std::vector<uint64_t> aInFlight)
{
  return { .mInFlight = std::move(aInFlight) };
}

Event
Complete(uint64_t aFingerprint)
{
  return { .mKind = Event::Kind::Complete, .mInFlight = { aFingerprint } };
}

Event
Report(std::vector<uint64_t> aSuspects,
       std::vector<uint64_t> aQuarantined,
       std::vector<uint64_t> aCleared)
{
  CrashReport report;
  report.mSuspects = std::move(aSuspects);
  report.mQuarantined = std::move(aQuarantined);
  report.mCleared = std::move(aCleared);
  return { .mKind = Event::Kind::Report, .mReport = report };
}

Event
Wait(Duration aTime)
{
  return { .mKind = Event::Kind::Wait, .mWait = aTime };
}

struct SequenceCase
{
  const char* mName;
  std::vector<Event> mEvents;
  std::vector<std::pair<uint64_t, FingerprintState>> mExpected;
};

} // namespace

// Guards against innocent requests in quarantine, and against a crashing
// request that stays out of it.
TEST_CASE("crashes are related to the requests in flight", "[quarantine]")
{
  // Fingerprint 1 crashes, the others are innocent.
  const std::vector<SequenceCase> cases{
    { "one crash makes suspects",
      { Crash({ 1, 2, 3 }) },
      { { 1, Suspect }, { 2, Suspect }, { 3, Suspect }, { 4, Clear } } },
    { "alone at two crashes",
      { Crash({ 1, 2 }), Crash({ 1 }) },
      { { 1, Quarantined }, { 2, Suspect } } },
    { "three crashes beside other requests",
      { Crash({ 1, 2 }),
        Complete(2),
        Crash({ 1, 3 }),
        Complete(3),
        Crash({ 1, 4 }) },
      { { 1, Quarantined }, { 2, Clear }, { 3, Clear }, { 4, Clear } } },
    { "innocent suspect beside a new crashing request",
      { Crash({ 2, 3 }), Crash({ 2, 1 }) },
      { { 2, Suspect }, { 1, Suspect }, { 3, Suspect } } },
    { "two suspects in flight prove nothing",
      { Crash({ 1, 2 }), Crash({ 1, 2 }), Crash({ 1, 2 }) },
      { { 1, Suspect }, { 2, Suspect } } },
    { "copies sent at once count as crashes",
      { Crash({ 1, 2 }),
        Report({ 1, 3 }, {}, {}),
        Crash({ 1, 4 }),
        Crash({ 1, 5 }) },
      { { 1, Quarantined }, { 5, Clear }, { 3, Suspect } } },
    { "copies on one upstream are one request",
      { Crash({ 1, 1, 1 }) },
      { { 1, Suspect } } },
    { "a completed request is clear, and starts anew",
      { Crash({ 1, 2 }), Complete(2), Crash({ 2, 3 }) },
      { { 2, Suspect }, { 1, Suspect }, { 3, Suspect } } },
    { "a crash without requests", { Crash({}) }, { { 1, Clear } } },
    { "first crash alone is no proof", { Crash({ 1 }) }, { { 1, Suspect } } },
    { "suspicion ends", { Crash({ 1 }), Wait(minutes(10)) }, { { 1, Clear } } },
    { "quarantine lasts ten minutes",
      { Crash({ 1 }), Crash({ 1 }), Wait(minutes(10) - seconds(1)) },
      { { 1, Quarantined } } },
    { "quarantine ends",
      { Crash({ 1 }), Crash({ 1 }), Wait(minutes(10)) },
      { { 1, Clear } } },
    { "a report that arrives twice adds no crash",
      { Report({ 1 }, {}, {}), Report({ 1 }, {}, {}), Crash({ 1, 2 }) },
      { { 1, Suspect } } },
    { "a report counts the crashes known to its sender",
      { Report({ 1, 1 }, {}, {}), Crash({ 1, 2 }) },
      { { 1, Quarantined } } },
    { "a late suspicion does not lift a quarantine",
      { Report({}, { 1 }, {}), Report({ 1 }, {}, {}) },
      { { 1, Quarantined } } },
    { "a late clearance does not lift a quarantine",
      { Report({}, { 1 }, {}), Report({}, {}, { 1 }) },
      { { 1, Quarantined } } },
    { "a completed copy does not lift a quarantine",
      { Report({}, { 1 }, {}), Complete(1) },
      { { 1, Quarantined } } },
    { "a quarantine reported twice does not last longer",
      { Report({}, { 1 }, {}),
        Wait(minutes(9)),
        Report({}, { 1 }, {}),
        Wait(minutes(1)) },
      { { 1, Clear } } },
    { "a lost report costs one more crash",
      { Crash({ 1, 2 }), Crash({ 1, 3 }), Crash({ 1, 4 }) },
      { { 1, Quarantined } } },
    { "a quarantined request does not take others along",
      { Report({}, { 1 }, {}), Crash({ 1, 2 }), Crash({ 1, 2 }) },
      { { 1, Quarantined } } },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    CrashCorrelator correlator({});
    TimePoint now = kStart;
    for (const auto& event : test.mEvents) {
      switch (event.mKind) {
        case Event::Kind::Crash:
          correlator.RecordCrash(now, event.mInFlight);
          break;
        case Event::Kind::Complete:
          correlator.RecordCompletion(now, event.mInFlight[0]);
          break;
        case Event::Kind::Report:
          correlator.Apply(now, event.mReport);
          break;
        case Event::Kind::Wait:
          now += event.mWait;
          break;
      }
    }
    for (const auto& [fingerprint, state] : test.mExpected) {
      INFO("fingerprint " << fingerprint);
      CHECK(correlator.StateOf(now, fingerprint) == state);
    }
  }
}

// Guards against reports that leave out what changed.
TEST_CASE("changes are reported once", "[quarantine]")
{
  CrashCorrelator correlator({});
  auto report = correlator.RecordCrash(kStart, { 2, 1 });
  CHECK(report.mSuspects == std::vector<uint64_t>{ 1, 2 });
  CHECK(report.mQuarantined.empty());
  const auto cleared = correlator.RecordCompletion(kStart, 2);
  REQUIRE(cleared.has_value());
  CHECK(cleared->mCleared == std::vector<uint64_t>{ 2 });
  CHECK_FALSE(correlator.RecordCompletion(kStart, 2).has_value());
  report = correlator.RecordCrash(kStart, { 1 });
  CHECK(report.mQuarantined == std::vector<uint64_t>{ 1 });
  CHECK(report.mSuspects.empty());
  CHECK(correlator.Snapshot(kStart).mQuarantined == std::vector<uint64_t>{ 1 });
  CHECK(correlator.Expire(kStart + minutes(9)).empty());
  CHECK(correlator.Expire(kStart + minutes(10)) == std::vector<uint64_t>{ 1 });
  CHECK(correlator.Expire(kStart + minutes(10)).empty());
  CHECK(correlator.Size() == 0);
}

// Guards against memory without bound, and against suspects that push proven
// crashing requests out.
TEST_CASE("a full table keeps the quarantined", "[quarantine]")
{
  CrashCorrelator correlator({ .mCapacity = 10 });
  correlator.RecordCrash(kStart, { 1 });
  correlator.RecordCrash(kStart, { 1 });
  for (uint64_t i = 100; i < 200; ++i) {
    correlator.RecordCrash(kStart + milliseconds(i), { i, i + 1000 });
    REQUIRE(correlator.Size() <= 10);
  }
  const TimePoint now = kStart + seconds(1);
  CHECK(correlator.StateOf(now, 1) == Quarantined);
  CHECK(correlator.StateOf(now, 199) == Suspect);
  CHECK(correlator.StateOf(now, 100) == Clear);
}

// Guards against fingerprints that ignore a part or shift bytes between parts.
TEST_CASE("fingerprints cover service, class, method, path and body",
          "[quarantine]")
{
  const HttpRequest http{ .mMethod = "GET", .mPath = "/a", .mBody = "b" };
  const uint64_t base = FingerprintOf("s", "c", http);
  std::set<uint64_t> all{ base };
  all.insert(FingerprintOf("t", "c", http));
  all.insert(FingerprintOf("s", "d", http));
  all.insert(FingerprintOf("sc", "", http));
  for (const auto& other : {
         HttpRequest{ .mMethod = "PUT", .mPath = "/a", .mBody = "b" },
         HttpRequest{ .mMethod = "GET", .mPath = "/ab", .mBody = "" },
         HttpRequest{ .mMethod = "GET", .mPath = "/a", .mBody = "c" },
       }) {
    all.insert(FingerprintOf("s", "c", other));
  }
  CHECK(all.size() == 7);
  const HttpRequest traced{ .mMethod = "GET",
                            .mPath = "/a",
                            .mHeaders = { { "traceparent", "1" } },
                            .mBody = "b" };
  CHECK(FingerprintOf("s", "c", traced) == base);
}

// Guards against two nodes that both run a suspect, and against suspects that
// move when an unrelated node leaves.
TEST_CASE("one node is designated for a suspect", "[quarantine]")
{
  const std::vector<NodeId> nodes{ { "a" }, { "b" }, { "c" } };
  const std::vector<NodeId> shuffled{ { "c" }, { "a" }, { "b" } };
  std::map<NodeId, int> counts;
  for (uint64_t i = 0; i < 300; ++i) {
    const auto node = CrashCorrelator::DesignatedNode(i, nodes);
    REQUIRE(node.has_value());
    ++counts[*node];
    CHECK(CrashCorrelator::DesignatedNode(i, shuffled) == node);
    std::vector<NodeId> fewer;
    for (const auto& other : nodes) {
      if (other == *node || other.mValue < "c") {
        fewer.push_back(other);
      }
    }
    CHECK(CrashCorrelator::DesignatedNode(i, fewer) == node);
  }
  CHECK(counts.size() == 3);
  CHECK_FALSE(CrashCorrelator::DesignatedNode(1, {}).has_value());
}

// -- Model of a service -------------------------------------------------------

// Guards against a crashing request that takes down more than three upstreams
// besides its copies, and against innocent requests in quarantine, with reports
// lost, doubled and late.
TEST_CASE("a crashing request is stopped", "[quarantine]")
{
  constexpr size_t kNodes = 6;
  constexpr uint64_t kCrashing = 1;
  for (const auto& [copiesAtOnce, roundsLate] :
       { std::pair{ 1, 0 }, { 1, 2 }, { 2, 0 }, { 2, 2 }, { 4, 2 } }) {
    const int copies = copiesAtOnce;
    const int delay = roundsLate;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      INFO(copies << " copies at once, reports " << delay
                  << " rounds late, seed " << seed);
      Rng rng(seed);
      std::vector<NodeId> names;
      std::vector<CrashCorrelator> nodes(kNodes, CrashCorrelator({}));
      for (size_t i = 0; i < kNodes; ++i) {
        names.push_back({ "n" + std::to_string(i) });
      }
      struct Late
      {
        int mRound;
        size_t mNode;
        CrashReport mReport;
      };
      std::vector<Late> late;
      int round = 0;
      const auto publish = [&](size_t aFrom, const CrashReport& aReport) {
        for (size_t to = 0; to < kNodes; ++to) {
          const int times = rng.Below(5) == 0 ? 2 : 1;
          for (int i = 0; i < times && to != aFrom; ++i) {
            late.push_back({ round + int(rng.Below(delay + 1)), to, aReport });
          }
        }
      };
      uint64_t nextInnocent = 1000;
      int crashes = 0;
      for (; round < 60; ++round) {
        const TimePoint now = kStart + milliseconds(100 * round);
        std::erase_if(late, [&](const Late& aLate) {
          if (aLate.mRound > round) {
            return false;
          }
          nodes[aLate.mNode].Apply(now, aLate.mReport);
          return true;
        });
        // Innocent requests run on all nodes; one is the same everywhere.
        std::vector<std::vector<uint64_t>> running(kNodes);
        std::set<size_t> hit;
        const auto send = [&](uint64_t aFingerprint, size_t aNode) {
          const auto state = nodes[aNode].StateOf(now, aFingerprint);
          const auto own = CrashCorrelator::DesignatedNode(aFingerprint, names);
          const bool hasSuspect = std::any_of(
            running[aNode].begin(), running[aNode].end(), [&](uint64_t aOther) {
              return nodes[aNode].StateOf(now, aOther) == Suspect;
            });
          if (state == Quarantined ||
              (state == Suspect && (own != names[aNode] || hasSuspect))) {
            return;
          }
          running[aNode].push_back(aFingerprint);
          if (aFingerprint == kCrashing) {
            hit.insert(aNode);
          }
        };
        // The caller sends the crashing request again, wherever it may run.
        std::set<size_t> chosen;
        while (chosen.size() < size_t(copies)) {
          chosen.insert(rng.Below(kNodes));
        }
        for (const size_t node : chosen) {
          send(kCrashing, node);
        }
        for (size_t node = 0; node < kNodes; ++node) {
          send(2, node);
          send(nextInnocent++, node);
        }
        for (size_t node = 0; node < kNodes; ++node) {
          if (hit.contains(node)) {
            ++crashes;
            publish(node, nodes[node].RecordCrash(now, running[node]));
            continue;
          }
          for (const uint64_t fingerprint : running[node]) {
            if (const auto report =
                  nodes[node].RecordCompletion(now, fingerprint)) {
              publish(node, *report);
            }
          }
        }
      }
      const TimePoint end = kStart + seconds(10);
      for (auto& node : nodes) {
        for (uint64_t i = 2; i < nextInnocent; i = i == 2 ? 1000 : i + 1) {
          REQUIRE(node.StateOf(end, i) != Quarantined);
        }
      }
      // Three, further copies at the first crash, and those that run where
      // the report has not arrived.
      CHECK(crashes <= 2 + copies + delay * copies);
    }
  }
}
