#include <catch2/catch.hpp>

#include "membership/Membership.h"

using namespace amaranthgap;

namespace {

constexpr TimePoint kStart{ seconds(100) };

MemberUpdate
Update(const std::string& aId,
       uint64_t aIncarnation,
       uint32_t aRefutation,
       MemberState aState)
{
  return { .mNode = { { aId }, { aIncarnation } },
           .mRefutation = aRefutation,
           .mState = aState,
           .mRegion = "east",
           .mDataCentre = "east-1",
           .mPeerAddress = "10.0.0.1:7000",
           .mService = "billing",
           .mSlots = 16 };
}

size_t
PackedBytes(const auto& aBody)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aBody);
  return buf.size();
}

Envelope
From(const std::string& aId, uint64_t aIncarnation, Message aMessage)
{
  return { .mFrom = { { aId }, { aIncarnation } },
           .mFromAddress = "10.0.0.9:7000",
           .mMessage = std::move(aMessage) };
}

/** A node that has the member `a` (incarnation 5, refutation 2) in its table.
 */
struct Fixture
{
  explicit Fixture(MemberState aState = MemberState::Warm)
    : mMembership({ .mSelf = Update("self", 7, 0, MemberState::Joined) })
  {
    mMembership.Tick(kStart, mOut);
    mMembership.Announce(kStart, mOut);
    Deliver({ Update("a", 5, 2, MemberState::Warm) });
    if (aState != MemberState::Warm) {
      Deliver({ Update("a", 5, 2, MemberState::Suspect) });
      Deliver({ Update("a", 5, 2, aState) });
    }
    mOut = {};
  }

  void Deliver(std::vector<MemberUpdate> aUpdates)
  {
    mMembership.MessageArrived(
      kStart,
      From("b", 1, MemberUpdates{ .mUpdates = std::move(aUpdates) }),
      mOut);
  }

  const MemberUpdate& Known()
  {
    return mMembership.Table().At(mMembership.Table().Find({ "a" })).mUpdate;
  }

  Membership mMembership;
  PeerOutput mOut;
};

} // namespace

// Guards against outdated updates or false accusations that replace a newer
// entry.
TEST_CASE("newer updates take precedence over outdated ones", "[membership]")
{
  struct Row
  {
    MemberState mKnown;
    uint64_t mIncarnation;
    uint32_t mRefutation;
    MemberState mReceived;
    MemberState mResult;
  };
  using enum MemberState;
  const Row rows[] = {
    // Announcements by the node itself.
    { Warm, 5, 3, Leaving, Leaving },
    { Warm, 5, 1, Leaving, Warm },
    { Warm, 5, 2, Joined, Warm },
    { Warm, 6, 0, Joined, Joined },
    { Warm, 4, 9, Leaving, Warm },
    // Accusations; a live member turns Suspect before Dead.
    { Warm, 5, 2, Suspect, Suspect },
    { Warm, 5, 1, Suspect, Warm },
    { Warm, 5, 2, Dead, Suspect },
    { Warm, 4, 9, Dead, Warm },
    { Suspect, 5, 2, Dead, Dead },
    { Suspect, 5, 2, Warm, Suspect },
    { Suspect, 5, 3, Warm, Warm },
    { Dead, 5, 2, Suspect, Dead },
    { Dead, 5, 2, Warm, Dead },
    { Dead, 5, 3, Warm, Warm },
    { Dead, 6, 0, Joined, Joined },
    { Warm, 6, 0, Dead, Dead },
    // Left is final for its incarnation.
    { Left, 5, 9, Warm, Left },
    { Left, 5, 9, Dead, Left },
    { Left, 6, 0, Joined, Joined },
    { Dead, 5, 1, Left, Left },
  };
  for (const auto& row : rows) {
    CAPTURE(int(row.mKnown), row.mIncarnation, row.mRefutation);
    CAPTURE(int(row.mReceived));
    Fixture fixture(row.mKnown);
    REQUIRE(fixture.Known().mState == row.mKnown);
    fixture.Deliver(
      { Update("a", row.mIncarnation, row.mRefutation, row.mReceived) });
    CHECK(fixture.Known().mState == row.mResult);
  }
}

// Guards against datagrams above their limit, which result when the size of an
// update is underestimated.
TEST_CASE("PackedSize returns the exact msgpack size of an update",
          "[membership]")
{
  for (const size_t length : { 0U, 1U, 31U, 32U, 255U, 256U, 70000U }) {
    for (const uint64_t number :
         { 0ULL, 127ULL, 128ULL, 256ULL, 65536ULL, 1ULL << 33 }) {
      CAPTURE(length, number);
      auto update =
        Update(std::string(length, 'x'), number, uint32_t(number), {});
      update.mSlots = uint32_t(number);
      CHECK(PackedSize(update) == PackedBytes(update));
      update.mState = MemberState::Dead;
      CHECK(PackedSize(ForGossip(update)) == PackedBytes(ForGossip(update)));
    }
  }
}

// Guards against datagrams above 1,200 bytes, which result when many members
// change at the same time and all their updates are put into one message.
TEST_CASE("membership messages fit into a datagram", "[membership]")
{
  Fixture fixture;
  std::vector<MemberUpdate> updates;
  updates.reserve(500);
  for (int i = 0; i < 500; ++i) {
    updates.push_back(
      Update("host-" + std::to_string(i) + std::string(size_t(i % 60), 'x'),
             uint64_t(i) << 40,
             1,
             i % 3 == 0 ? MemberState::Left : MemberState::Warm));
  }
  fixture.Deliver(updates);
  for (auto& update : updates) {
    update.mState = MemberState::Suspect;
  }
  fixture.Deliver(updates);
  size_t sent = 0;
  for (int i = 1; i < 500; ++i) {
    fixture.mOut = {};
    fixture.mMembership.Tick(kStart + milliseconds(20) * i, fixture.mOut);
    fixture.mMembership.MessageArrived(
      kStart + milliseconds(20) * i, From("b", 1, Ping{}), fixture.mOut);
    for (const auto& send : fixture.mOut.mSends) {
      ++sent;
      if (send.mDatagram) {
        CHECK(std::visit([](const auto& aBody) { return PackedBytes(aBody); },
                         send.mMessage) <= 1060);
      }
    }
  }
  CHECK(sent > 500);
}

// Guards against digests that differ for equal lists of live members, for
// instance after another order of insertion: nodes would exchange pages without
// end.
TEST_CASE("digests depend only on the live members", "[membership]")
{
  MemberTable left;
  MemberTable right;
  for (int i = 0; i < 100; ++i) {
    left.Add(Update("host-" + std::to_string(i), 1, 1, MemberState::Warm),
             false,
             kStart);
    right.Add(Update("host-" + std::to_string(99 - i), 1, 1, MemberState::Warm),
              false,
              kStart);
  }
  CHECK(left.Digest() == right.Digest());
  CHECK(left.PageDigests() == right.PageDigests());
  auto suspect = Update("host-7", 1, 1, MemberState::Suspect);
  left.Replace(left.Find({ "host-7" }), suspect, false, kStart);
  CHECK(left.Digest() == right.Digest());
  suspect.mState = MemberState::Dead;
  left.Replace(left.Find({ "host-7" }), suspect, false, kStart);
  CHECK(left.Digest() != right.Digest());
  left.Forget(kStart + seconds(1));
  CHECK(left.Find({ "host-7" }) == MemberTable::kNone);
  CHECK(left.Count() == 99);
  CHECK(left.Live().size() == 99);
}

// Guards against updates that are gossiped without end, and against an outdated
// queue entry that is still sent after a newer one.
TEST_CASE("an update is sent a fixed number of times", "[membership]")
{
  MemberTable table;
  UpdateQueue queue;
  const auto index =
    table.Add(Update("a", 1, 1, MemberState::Warm), false, kStart);
  queue.Add(table, index, 3);
  CHECK(queue.Take(table, 960).size() == 1);
  table.Replace(index, Update("a", 1, 2, MemberState::Leaving), false, kStart);
  queue.Add(table, index, 3);
  size_t count = 0;
  for (int i = 0; i < 10; ++i) {
    for (const auto& update : queue.Take(table, 960)) {
      ++count;
      CHECK(update.mState == MemberState::Leaving);
    }
  }
  CHECK(count == 3);
  CHECK(queue.IsEmpty());
}

// Guards against false accusations by a node that was itself declared dead, for
// instance during a pause, and still has an outdated view.
TEST_CASE("accusations by a dead node are ignored", "[membership]")
{
  Fixture fixture;
  fixture.Deliver({ Update("c", 1, 1, MemberState::Warm) });
  fixture.Deliver({ Update("c", 1, 1, MemberState::Suspect) });
  fixture.Deliver({ Update("c", 1, 1, MemberState::Dead) });
  fixture.mOut = {};
  fixture.mMembership.MessageArrived(
    kStart + seconds(1),
    From("c",
         1,
         MemberUpdates{ .mUpdates = { Update("a", 5, 2, MemberState::Dead) } }),
    fixture.mOut);
  CHECK(fixture.Known().mState == MemberState::Warm);
  // The sender receives the accusation against itself, so that it can refute.
  REQUIRE_FALSE(fixture.mOut.mSends.empty());
  const auto& answer =
    std::get<MemberUpdates>(fixture.mOut.mSends[0].mMessage).mUpdates;
  CHECK(answer[0].mNode.mId.mValue == "c");
  CHECK(answer[0].mState == MemberState::Dead);
}

// Guards against a joining node that stays superseded because its clock, which
// gives its incarnation, is behind that of its predecessor.
TEST_CASE("a higher incarnation supersedes only a node whose own is final",
          "[membership]")
{
  for (const bool final : { false, true }) {
    CAPTURE(final);
    Fixture fixture;
    if (final) {
      fixture.mMembership.FixIncarnation();
    }
    fixture.Deliver({ Update("self", 900, 4, MemberState::Dead) });
    CHECK(fixture.mMembership.IsSuperseded() == final);
    CHECK((fixture.mMembership.Self().mNode.mIncarnation.mValue > 900) !=
          final);
    CHECK_FALSE(fixture.mOut.mAudit.empty());
  }
}

// Guards against an accuser that missed a refutation and never receives it
// again.
TEST_CASE("each accusation is refuted to its sender", "[membership]")
{
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.mOut = {};
    // With refutation 1, the accuser has missed all later ones.
    fixture.Deliver({ Update("self", 7, 1, MemberState::Dead) });
    REQUIRE(fixture.mOut.mSends.size() == 1);
    const auto& answer =
      std::get<MemberUpdates>(fixture.mOut.mSends[0].mMessage).mUpdates;
    CHECK(answer[0].mNode == fixture.mMembership.Self().mNode);
    CHECK(answer[0].mRefutation == 2);
  }
}
