#include <catch2/catch.hpp>

#include <algorithm>

#include "manifest/ManifestReplica.h"
#include "manifest/StoreRecords.h"

using namespace amaranthgap;

namespace {

constexpr TimePoint kStart{ seconds(100) };

ManifestEntries
Entries(const std::string& aParty, int aCallers = 1)
{
  ManifestEntries entries;
  for (int i = 0; i < aCallers; ++i) {
    entries["callers/caller-" + std::to_string(i)] =
      aParty + std::string(aCallers > 1 ? 60 : 0, 'x');
  }
  return entries;
}

ManifestStamp
StampOf(uint64_t aVersion, const ManifestEntries& aEntries)
{
  return { .mVersion = aVersion, .mDigest = ComputeDigest(aEntries) };
}

ManifestDelta
Delta(uint64_t aFrom,
      const ManifestEntries& aOld,
      uint64_t aTo,
      const ManifestEntries& aNew)
{
  auto delta = ComputeDelta(aOld, aNew);
  delta.mFrom = aFrom == 0 ? ManifestStamp{} : StampOf(aFrom, aOld);
  delta.mTo = StampOf(aTo, aNew);
  return delta;
}

/** Two replicas that exchange messages. */
struct Pair
{
  explicit Pair(ManifestReplica::Options aOptions = {})
    : mNodes{ ManifestReplica(aOptions), ManifestReplica(aOptions) }
  {
  }

  static Envelope From(int aNode, Message aMessage)
  {
    const auto name = std::to_string(aNode);
    return { .mFrom = { { "node-" + name }, { 1 } },
             .mFromAddress = name,
             .mMessage = std::move(aMessage) };
  }

  /** Delivers the messages in aOut and all that follow from them. */
  void Deliver(int aFrom, PeerOutput aOut)
  {
    for (auto& entry : aOut.mAudit) {
      mAudit.push_back(entry);
    }
    for (auto& send : aOut.mSends) {
      msgpack::sbuffer buf;
      std::visit([&](const auto& aBody) { msgpack::pack(buf, aBody); },
                 send.mMessage);
      mBytesSent[aFrom] += buf.size();
      mLargestMessage = std::max(mLargestMessage, buf.size());
      const int to = std::stoi(send.mAddress);
      PeerOutput out;
      mNodes[to].MessageArrived(mNow, From(aFrom, send.mMessage), out);
      Deliver(to, std::move(out));
    }
  }

  void Run(Duration aDuration)
  {
    for (const TimePoint end = mNow + aDuration; mNow < end;
         mNow += milliseconds(50)) {
      for (int i = 0; i < 2; ++i) {
        PeerOutput out;
        mNodes[i].Tick(
          mNow,
          [&](size_t) {
            return std::vector<PeerAddress>{
              { .mNode = { { "node-" + std::to_string(1 - i) }, { 1 } },
                .mAddress = std::to_string(1 - i) }
            };
          },
          out);
        Deliver(i, std::move(out));
      }
    }
  }

  /** Tells the second replica which version the first has in force. */
  void Announce()
  {
    PeerOutput out;
    mNodes[1].HandlePeerStamp(
      mNow,
      mNodes[0].Stamp(),
      { .mNode = { { "node-0" }, { 1 } }, .mAddress = "0" },
      out);
    Deliver(1, std::move(out));
  }

  [[nodiscard]] size_t Count(AuditKind aKind) const
  {
    return size_t(std::count_if(
      mAudit.begin(), mAudit.end(), [&](const AuditEntry& aEntry) {
        return aEntry.mKind == aKind;
      }));
  }

  ManifestReplica mNodes[2];
  std::vector<AuditEntry> mAudit;
  uint64_t mBytesSent[2] = {};
  size_t mLargestMessage = 0;
  TimePoint mNow = kStart;
};

bool
ApplyVersion(ManifestReplica& aReplica,
             uint64_t aVersion,
             ManifestEntries aEntries)
{
  PeerOutput out;
  const auto stamp = StampOf(aVersion, aEntries);
  return aReplica.ApplyFullManifest(
    kStart, stamp, std::move(aEntries), "peer", out);
}

} // namespace

// Guards against a replica that reverts to an older manifest (G8), received in
// full or as a delta. With the version check disabled, both are accepted.
TEST_CASE("a lower version is never applied", "[manifest]")
{
  for (const bool check : { true, false }) {
    CAPTURE(check);
    ManifestReplica replica({ .mCheckVersion = check });
    REQUIRE(ApplyVersion(replica, 5, Entries("five")));
    CHECK(ApplyVersion(replica, 4, Entries("four")) != check);
    PeerOutput out;
    CHECK(replica.ApplyDeltas(
            kStart, { Delta(0, {}, 3, Entries("three")) }, "peer", out) !=
          check);
    CHECK((replica.Stamp().mVersion == 5) == check);
  }
}

// Guards against content that differs from what was published. With the digest
// check disabled, it comes into force.
TEST_CASE("content that does not match its digest is rejected", "[manifest]")
{
  for (const bool check : { true, false }) {
    CAPTURE(check);
    ManifestReplica replica({ .mCheckDigest = check });
    REQUIRE(ApplyVersion(replica, 1, Entries("one")));
    auto delta = Delta(1, Entries("one"), 2, Entries("two"));
    delta.mSet[0].second = "forged";
    PeerOutput out;
    CHECK(replica.ApplyDeltas(kStart, { delta }, "peer", out) != check);
    auto stamp = StampOf(3, Entries("three"));
    CHECK(replica.ApplyFullManifest(
            kStart, stamp, Entries("forged"), "peer", out) != check);
    CHECK((replica.Stamp().mVersion == 1) == check);
    CHECK(out.mAudit.size() == 2);
  }
}

// Guards against two manifests with the same version and different content that
// go unnoticed, and against a report for each ping.
TEST_CASE("a fork is rejected and reported once", "[manifest]")
{
  Pair pair;
  REQUIRE(ApplyVersion(pair.mNodes[0], 2, Entries("left")));
  REQUIRE(ApplyVersion(pair.mNodes[1], 2, Entries("right")));
  for (int i = 0; i < 5; ++i) {
    pair.Announce();
  }
  pair.Run(seconds(3));
  CHECK(pair.Count(AuditKind::ManifestFork) == 2);
  CHECK(pair.mNodes[1].Entries() == Entries("right"));
  // The next version ends the fork, although its delta applies to one side
  // only.
  PeerOutput out;
  REQUIRE(pair.mNodes[0].ApplyDeltas(
    pair.mNow,
    { Delta(2, Entries("left"), 3, Entries("both")) },
    "store",
    out));
  pair.Run(seconds(3));
  CHECK(pair.mNodes[1].Stamp() == pair.mNodes[0].Stamp());
}

// Guards against a node that stays behind after it has missed versions.
TEST_CASE("missing deltas are pulled in order", "[manifest]")
{
  Pair pair({ .mRumors = false });
  REQUIRE(ApplyVersion(pair.mNodes[0], 1, Entries("0")));
  REQUIRE(ApplyVersion(pair.mNodes[1], 1, Entries("0")));
  for (uint64_t i = 1; i <= 100; ++i) {
    PeerOutput out;
    REQUIRE(pair.mNodes[0].ApplyDeltas(
      pair.mNow,
      { Delta(
        i, Entries(std::to_string(i - 1)), i + 1, Entries(std::to_string(i))) },
      "store",
      out));
  }
  pair.Announce();
  CHECK(pair.mNodes[1].Stamp().mVersion == 101);
  CHECK(pair.mNodes[1].Entries() == Entries("100"));
  CHECK(pair.mBytesSent[0] < 20'000);
}

// Guards against a node that stays at an old version after a damaged delta; it
// pulls the full manifest instead.
TEST_CASE("the full manifest is pulled after a delta fails", "[manifest]")
{
  Pair pair({ .mRumors = false });
  REQUIRE(ApplyVersion(pair.mNodes[0], 1, Entries("one")));
  REQUIRE(ApplyVersion(pair.mNodes[1], 1, Entries("one")));
  PeerOutput out;
  REQUIRE(pair.mNodes[0].ApplyDeltas(
    pair.mNow, { Delta(1, Entries("one"), 2, Entries("two")) }, "store", out));
  auto damaged = Delta(1, Entries("one"), 2, Entries("two"));
  damaged.mSet[0].second = "other";
  PeerOutput received;
  pair.mNodes[1].MessageArrived(
    pair.mNow,
    Pair::From(
      0, ManifestRumor{ .mManifest = damaged.mTo, .mDeltas = { damaged } }),
    received);
  pair.Deliver(1, std::move(received));
  pair.Run(seconds(3));
  CHECK(pair.mNodes[1].Stamp().mVersion == 2);
  CHECK(pair.mNodes[1].Entries() == Entries("two"));
}

// Guards against a transfer that exceeds the rate or message limit, and one
// that restarts at each change: 15,000 changes a day are one every 6 s.
TEST_CASE("a manifest of 1 MB is transferred in pages during changes",
          "[manifest]")
{
  Pair pair({ .mRumors = false });
  auto entries = Entries("p", 10'000);
  REQUIRE(ApplyVersion(pair.mNodes[0], 1, entries));
  uint64_t version = 1;
  uint64_t maxBytesPerSecond = 0;
  for (int second = 0; second < 30; ++second) {
    const uint64_t before = pair.mBytesSent[0];
    pair.Announce();
    pair.Run(seconds(1));
    maxBytesPerSecond =
      std::max(maxBytesPerSecond, pair.mBytesSent[0] - before);
    if (second % 2 == 1) {
      const auto old = entries;
      entries["callers/changing"] = std::to_string(second);
      PeerOutput out;
      REQUIRE(pair.mNodes[0].ApplyDeltas(
        pair.mNow,
        { Delta(version, old, version + 1, entries) },
        "store",
        out));
      ++version;
    }
  }
  pair.Announce();
  CHECK(pair.mNodes[1].Stamp() == pair.mNodes[0].Stamp());
  CHECK(pair.mLargestMessage <= size_t{ 64 } * 1024);
  CHECK(maxBytesPerSecond <= size_t{ 5 } * 50 * 1024);
}

// Guards against a node that sends more than 9 KB/s because many new nodes pull
// the full manifest from it.
TEST_CASE("full transfers stay within the budget of a node", "[manifest]")
{
  ManifestReplica server({});
  REQUIRE(ApplyVersion(server, 1, Entries("p", 10'000)));
  uint64_t bytes = 0;
  for (int i = 0; i < 600 * 10; ++i) {
    const TimePoint now = kStart + milliseconds(100) * i;
    PeerOutput out;
    server.MessageArrived(
      now, Pair::From(i % 50, ManifestPull{ .mFirstEntry = 0 }), out);
    for (const auto& send : out.mSends) {
      msgpack::sbuffer buf;
      msgpack::pack(buf, std::get<ManifestPage>(send.mMessage));
      bytes += buf.size();
    }
  }
  CHECK(bytes > size_t{ 1024 } * 1024);
  CHECK(bytes / 600 < 9000);
}

// Guards against a version that this build cannot parse replacing the manifest
// in force, or blocking the next version that can be parsed.
TEST_CASE("a version that cannot be parsed is refused and reported once",
          "[manifest]")
{
  Pair pair;
  REQUIRE(ApplyVersion(pair.mNodes[0], 1, Entries("one")));
  const ManifestEntries unreadable{ { "unheard/of", "x" } };
  PeerOutput out;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(pair.mNodes[0].ApplyFullManifest(
      kStart, StampOf(2, unreadable), unreadable, "peer", out));
  }
  CHECK(out.mAudit.size() == 1);
  CHECK(out.mAudit[0].mKind == AuditKind::ManifestRefused);
  CHECK(pair.mNodes[0].InForce()->mVersion == 1);
  CHECK(ApplyVersion(pair.mNodes[0], 3, Entries("three")));
}

// Guards against rumors that do not fit into a datagram with their delta.
TEST_CASE("a rumor fits into a datagram", "[manifest]")
{
  for (const int callers : { 1, 5, 12, 13, 14, 50 }) {
    CAPTURE(callers);
    Pair pair;
    REQUIRE(ApplyVersion(pair.mNodes[0], 1, Entries("one")));
    PeerOutput out;
    REQUIRE(pair.mNodes[0].ApplyDeltas(
      kStart,
      { Delta(1, Entries("one"), 2, Entries("two", callers)) },
      "store",
      out));
    PeerOutput ticked;
    pair.mNodes[0].Tick(
      kStart, [](size_t) { return std::vector<PeerAddress>{ {} }; }, ticked);
    REQUIRE(ticked.mSends.size() == 1);
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::get<ManifestRumor>(ticked.mSends[0].mMessage));
    CHECK(buf.size() <= 1000);
  }
}
