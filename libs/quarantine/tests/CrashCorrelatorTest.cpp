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
    Crash,    ///< Of the upstream, with the fingerprints in flight.
    Complete, ///< The first fingerprint completes.
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

// Guards against quarantining innocent requests, and against failing to
// quarantine a crashing request.
TEST_CASE("repeated crashes quarantine the request that causes them",
          "[quarantine]")
{
  // Fingerprint 1 crashes, the others are innocent.
  const std::vector<SequenceCase> cases{
    { "one crash makes all requests in flight suspects",
      { Crash({ 1, 2, 3 }) },
      { { 1, Suspect }, { 2, Suspect }, { 3, Suspect }, { 4, Clear } } },
    { "second crash with only one request in flight",
      { Crash({ 1, 2 }), Crash({ 1 }) },
      { { 1, Quarantined }, { 2, Suspect } } },
    { "three crashes with other requests in flight",
      { Crash({ 1, 2 }),
        Complete(2),
        Crash({ 1, 3 }),
        Complete(3),
        Crash({ 1, 4 }) },
      { { 1, Quarantined }, { 2, Clear }, { 3, Clear }, { 4, Clear } } },
    { "innocent suspect in flight with a new crashing request",
      { Crash({ 2, 3 }), Crash({ 2, 1 }) },
      { { 2, Suspect }, { 1, Suspect }, { 3, Suspect } } },
    { "crashes with two suspects in flight do not quarantine",
      { Crash({ 1, 2 }), Crash({ 1, 2 }), Crash({ 1, 2 }) },
      { { 1, Suspect }, { 2, Suspect } } },
    { "crashes by concurrent copies on other nodes are counted",
      { Crash({ 1, 2 }),
        Report({ 1, 3 }, {}, {}),
        Crash({ 1, 4 }),
        Crash({ 1, 5 }) },
      { { 1, Quarantined }, { 5, Clear }, { 3, Suspect } } },
    { "copies on one upstream count as one request",
      { Crash({ 1, 1, 1 }) },
      { { 1, Suspect } } },
    { "a completed request is clear and its count restarts",
      { Crash({ 1, 2 }), Complete(2), Crash({ 2, 3 }) },
      { { 2, Suspect }, { 1, Suspect }, { 3, Suspect } } },
    { "a crash without requests", { Crash({}) }, { { 1, Clear } } },
    { "first crash with only one request in flight does not quarantine",
      { Crash({ 1 }) },
      { { 1, Suspect } } },
    { "a suspect expires",
      { Crash({ 1 }), Wait(minutes(10)) },
      { { 1, Clear } } },
    { "quarantine lasts ten minutes",
      { Crash({ 1 }), Crash({ 1 }), Wait(minutes(10) - seconds(1)) },
      { { 1, Quarantined } } },
    { "quarantine expires",
      { Crash({ 1 }), Crash({ 1 }), Wait(minutes(10)) },
      { { 1, Clear } } },
    { "a duplicate report adds no crash",
      { Report({ 1 }, {}, {}), Report({ 1 }, {}, {}), Crash({ 1, 2 }) },
      { { 1, Suspect } } },
    { "a report carries the crash count of its sender",
      { Report({ 1, 1 }, {}, {}), Crash({ 1, 2 }) },
      { { 1, Quarantined } } },
    { "a late suspect report does not end a quarantine",
      { Report({}, { 1 }, {}), Report({ 1 }, {}, {}) },
      { { 1, Quarantined } } },
    { "a late clearing report does not end a quarantine",
      { Report({}, { 1 }, {}), Report({}, {}, { 1 }) },
      { { 1, Quarantined } } },
    { "a completed copy does not end a quarantine",
      { Report({}, { 1 }, {}), Complete(1) },
      { { 1, Quarantined } } },
    { "a duplicate report does not extend a quarantine",
      { Report({}, { 1 }, {}),
        Wait(minutes(9)),
        Report({}, { 1 }, {}),
        Wait(minutes(1)) },
      { { 1, Clear } } },
    { "three crashes, with the clearing reports lost",
      { Crash({ 1, 2 }), Crash({ 1, 3 }), Crash({ 1, 4 }) },
      { { 1, Quarantined } } },
    { "others in flight with a quarantined request are not quarantined",
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

// Guards against state changes that are missing from reports or reported twice.
TEST_CASE("each state change is reported once", "[quarantine]")
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

// Guards against unbounded memory use, and against the eviction of quarantined
// fingerprints by many new suspects.
TEST_CASE("a full table evicts suspects before quarantined fingerprints",
          "[quarantine]")
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

// Guards against equal fingerprints for requests that differ in one part, or in
// where one part ends and the next begins.
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

// Guards against two nodes running the same suspect, and against a change of
// the designated node when another node leaves.
TEST_CASE("all nodes designate the same node for a suspect", "[quarantine]")
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

// -- Simulation of a service --------------------------------------------------

// Guards against a crashing request that crashes more than three upstreams, not
// counting concurrent copies, and against quarantining innocent requests, when
// reports arrive late and twice.
TEST_CASE("a retried crashing request is quarantined after few crashes",
          "[quarantine]")
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
      struct DelayedReport
      {
        int mRound;
        size_t mNode;
        CrashReport mReport;
      };
      std::vector<DelayedReport> delayedReports;
      int round = 0;
      const auto publish = [&](size_t aFrom, const CrashReport& aReport) {
        for (size_t to = 0; to < kNodes; ++to) {
          const int times = rng.Below(5) == 0 ? 2 : 1;
          for (int i = 0; i < times && to != aFrom; ++i) {
            delayedReports.push_back(
              { round + int(rng.Below(delay + 1)), to, aReport });
          }
        }
      };
      uint64_t nextInnocent = 1000;
      int crashes = 0;
      for (; round < 60; ++round) {
        const TimePoint now = kStart + milliseconds(100 * round);
        std::erase_if(delayedReports, [&](const DelayedReport& aDelayed) {
          if (aDelayed.mRound > round) {
            return false;
          }
          nodes[aDelayed.mNode].Apply(now, aDelayed.mReport);
          return true;
        });
        // Two innocent requests run on each node; fingerprint 2 runs on all.
        std::vector<std::vector<uint64_t>> running(kNodes);
        std::set<size_t> crashed;
        const auto send = [&](uint64_t aFingerprint, size_t aNode) {
          const auto state = nodes[aNode].StateOf(now, aFingerprint);
          const auto designated =
            CrashCorrelator::DesignatedNode(aFingerprint, names);
          const bool hasSuspect = std::any_of(
            running[aNode].begin(), running[aNode].end(), [&](uint64_t aOther) {
              return nodes[aNode].StateOf(now, aOther) == Suspect;
            });
          if (state == Quarantined ||
              (state == Suspect &&
               (designated != names[aNode] || hasSuspect))) {
            return;
          }
          running[aNode].push_back(aFingerprint);
          if (aFingerprint == kCrashing) {
            crashed.insert(aNode);
          }
        };
        // The caller retries the crashing request on random nodes.
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
          if (crashed.contains(node)) {
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
      // Three crashes, plus the other copies in the first round, plus copies on
      // nodes that the report has not reached yet.
      CHECK(crashes <= 2 + copies + delay * copies);
    }
  }
}
