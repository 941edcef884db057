#include <catch2/catch.hpp>

#include "SimManifest.h"
#include "node/TargetLogic.h"

using namespace amaranthgap;

namespace {

const NodeRef kSelf{ { "self" }, { 10 } };
const NodeRef kEntry{ { "entry" }, { 20 } };
const TimePoint kStart{ seconds(1000) };
const HttpResponse kAnswer{ .mStatus = 200, .mBody = "done" };

struct Fixture
{
  TargetLogic mLogic{ { .mSelf = kSelf, .mKeySecret = "secret" } };
  Effects mEffects;

  explicit Fixture(uint32_t aSlots = 2)
  {
    mLogic.SetManifest(
      kStart,
      std::make_shared<Manifest>(
        BuildManifest(1, sim::TestManifest({ "leaf" })).value()));
    Announce(kStart, "run-1", false, aSlots);
    Clear();
  }

  void Clear() { mEffects = {}; }

  void Announce(TimePoint aNow,
                const std::string& aRun,
                bool aLeaving = false,
                uint32_t aSlots = 2)
  {
    mLogic.UpstreamAnnounced(aNow,
                             { .mService = "leaf",
                               .mAddress = "127.0.0.1:1",
                               .mSlots = aSlots,
                               .mRun = aRun,
                               .mLeaving = aLeaving },
                             mEffects);
  }

  void Call(uint64_t aId,
            TimePoint aNow = kStart,
            const std::string& aKey = {},
            uint32_t aTimeoutMs = 1000)
  {
    mLogic.PeerCall(aNow,
                    kEntry,
                    "entry:1",
                    { .mCall = { aId },
                      .mRequest = { "r" + std::to_string(aId) },
                      .mRoot = kEntry,
                      .mCaller = "web",
                      .mParty = "north",
                      .mService = "leaf",
                      .mRequestClass = aKey.empty() ? "read" : "charge",
                      .mImportance = 3,
                      .mDepth = 1,
                      .mTimeoutMs = aTimeoutMs,
                      .mIdempotent = aKey.empty(),
                      .mKey = aKey,
                      .mFingerprint = 1000 + (aKey.empty() ? aId : 0) },
                    mEffects);
  }

  void Cancel(uint64_t aId)
  {
    mLogic.PeerCancel(kStart, kEntry, { .mCall = { aId } }, mEffects);
  }

  void Answer(const StartUpstream& aStart, TimePoint aNow = kStart)
  {
    mLogic.UpstreamAnswered(aNow, aStart.mExecution, kAnswer, mEffects);
  }

  void Fail(const StartUpstream& aStart,
            UpstreamFailure aFailure,
            TimePoint aNow = kStart)
  {
    mLogic.UpstreamFailed(aNow, aStart.mExecution, aFailure, mEffects);
  }

  std::string Key(TimePoint aNow = kStart)
  {
    Effects effects;
    mLogic.KeyRequested(
      aNow,
      kEntry,
      "entry:1",
      { .mParty = "north", .mService = "leaf", .mRequestClass = "charge" },
      effects);
    return std::get<KeyIssued>(
             std::get<SendMessage>(effects.mActions.at(0)).mMessage)
      .mKey;
  }

  template<class T>
  std::vector<T> Of() const
  {
    std::vector<T> found;
    for (const Action& action : mEffects.mActions) {
      if (const auto* item = std::get_if<T>(&action)) {
        found.push_back(*item);
      }
    }
    return found;
  }

  std::vector<ReplyMessage> Replies() const
  {
    std::vector<ReplyMessage> replies;
    for (const SendMessage& send : Of<SendMessage>()) {
      if (const auto* reply = std::get_if<ReplyMessage>(&send.mMessage)) {
        replies.push_back(*reply);
      }
    }
    return replies;
  }

  /** Expects one start. @return its execution. */
  StartUpstream Started()
  {
    REQUIRE(Of<StartUpstream>().size() == 1);
    StartUpstream start = Of<StartUpstream>()[0];
    Clear();
    return start;
  }
};

} // namespace

// Guards against a call that runs twice because its message arrived twice.
TEST_CASE("a call message runs once", "[target]")
{
  Fixture fixture;
  fixture.Call(7);
  const StartUpstream start = fixture.Started();
  fixture.Call(7);
  CHECK(fixture.mEffects.mActions.empty());
  fixture.Answer(start);
  REQUIRE(fixture.Replies().size() == 1);
  fixture.Clear();
  fixture.Call(7, kStart + seconds(1));
  // Also after the memory of single calls has ended.
  fixture.Announce(kStart + minutes(3), "run-1");
  fixture.mLogic.Tick(kStart + minutes(3), fixture.mEffects);
  fixture.Call(7, kStart + minutes(3));
  CHECK(fixture.Of<StartUpstream>().empty());
  CHECK(fixture.Replies().empty());
}

TEST_CASE("a cancellation that overtakes its call stops it", "[target]")
{
  Fixture fixture;
  fixture.Cancel(7);
  fixture.Call(7);
  CHECK(fixture.mEffects.mActions.empty());
}

TEST_CASE("the state of the upstream decides on new calls", "[target]")
{
  Fixture unannounced;
  unannounced.mLogic = TargetLogic({ .mSelf = kSelf, .mKeySecret = "secret" });
  unannounced.Call(1);
  REQUIRE(unannounced.Replies().size() == 1);
  CHECK(unannounced.Replies()[0].mOutcome == Outcome::NotRun);
  CHECK(unannounced.Replies()[0].mReason == Reason::UpstreamDown);

  Fixture leaving;
  leaving.Announce(kStart, "run-1", true);
  leaving.Clear();
  leaving.Call(1);
  CHECK(leaving.Replies().at(0).mReason == Reason::Leaving);
  CHECK(leaving.Replies().at(0).mLoad.mLeaving);
  CHECK(leaving.Key().empty());

  Fixture draining;
  draining.mLogic.DrainStarted(kStart, draining.mEffects);
  draining.Clear();
  draining.Call(1);
  CHECK(draining.Replies().at(0).mReason == Reason::Leaving);
  CHECK(draining.Key().empty());

  Fixture silent;
  silent.Call(1, kStart + milliseconds(2900));
  silent.Started();
  silent.Call(2, kStart + seconds(3)); // No tick in between.
  CHECK(silent.Replies().at(0).mReason == Reason::UpstreamDown);
}

// Guards against an upstream that gets more calls than slots because a
// cancelled one was taken as ended.
TEST_CASE("a cancelled execution keeps its slot until it ends", "[target]")
{
  Fixture fixture(1);
  fixture.Call(1);
  const StartUpstream start = fixture.Started();
  fixture.Cancel(1);
  CHECK(fixture.Of<CancelUpstream>().size() == 1);
  fixture.Clear();
  fixture.Call(2);
  CHECK(fixture.Of<StartUpstream>().empty());
  fixture.Fail(start, UpstreamFailure::ConnectionLost);
  CHECK(fixture.Of<StartUpstream>().size() == 1);
  CHECK(fixture.Replies().empty());
}

// Guards against a started booking that is cut off because its caller left, so
// that nobody can say whether it was made.
TEST_CASE("a keyed execution outlives its caller", "[target]")
{
  Fixture fixture;
  const std::string key = fixture.Key();
  fixture.Call(1, kStart, key);
  const StartUpstream start = fixture.Started();
  fixture.Cancel(1);
  CHECK(fixture.Of<CancelUpstream>().empty());
  SECTION("sent again while it runs")
  {
    fixture.Call(2, kStart, key);
    CHECK(fixture.Of<StartUpstream>().empty());
    fixture.Answer(start);
  }
  SECTION("sent again after its end")
  {
    fixture.Answer(start);
    CHECK(fixture.Replies().empty());
    fixture.Call(2, kStart, key);
  }
  SECTION("not ended by the deadline")
  {
    fixture.mLogic.Tick(kStart + milliseconds(1100), fixture.mEffects);
    CHECK(fixture.Of<CancelUpstream>().size() == 1);
    fixture.Call(2, kStart + milliseconds(1100), key);
    fixture.Fail(
      start, UpstreamFailure::ConnectionLost, kStart + milliseconds(1101));
    REQUIRE(fixture.Replies().size() == 1);
    CHECK(fixture.Replies()[0].mOutcome == Outcome::MayHaveRun);
    return;
  }
  REQUIRE(fixture.Replies().size() == 1);
  CHECK(fixture.Replies()[0].mOutcome == Outcome::Answered);
  CHECK(fixture.Replies()[0].mHttp.mBody == kAnswer.mBody);
}

TEST_CASE("results of the upstream become honest outcomes", "[target]")
{
  struct Case
  {
    UpstreamFailure mFailure;
    Outcome mOutcome;
    Reason mReason;
  };
  const std::vector<Case> cases{
    { UpstreamFailure::NotConnected, Outcome::NotRun, Reason::UpstreamDown },
    { UpstreamFailure::ConnectionLost,
      Outcome::MayHaveRun,
      Reason::UpstreamFailed },
    { UpstreamFailure::Incomplete,
      Outcome::MayHaveRun,
      Reason::UpstreamFailed },
    { UpstreamFailure::TimedOut, Outcome::MayHaveRun, Reason::DeadlineExpired },
    { UpstreamFailure::TooLarge, Outcome::MayHaveRun, Reason::AnswerTooLarge },
  };
  for (const Case& item : cases) {
    Fixture fixture;
    fixture.Call(1);
    const StartUpstream start = fixture.Started();
    fixture.Fail(start, item.mFailure);
    REQUIRE(fixture.Replies().size() == 1);
    CHECK(fixture.Replies()[0].mOutcome == item.mOutcome);
    CHECK(fixture.Replies()[0].mReason == item.mReason);
    // A second result for the same execution changes nothing.
    fixture.Clear();
    fixture.Answer(start);
    CHECK(fixture.Replies().empty());
  }
}

// Guards against a restarted node that runs a key again which its predecessor,
// whose table is lost, may have run.
TEST_CASE("a key of another incarnation is not run", "[target]")
{
  Fixture predecessor;
  predecessor.mLogic.SetSelf({ kSelf.mId, { 9 } });
  Fixture fixture;
  fixture.Call(1, kStart, predecessor.Key());
  CHECK(fixture.Of<StartUpstream>().empty());
  REQUIRE(fixture.Replies().size() == 1);
  CHECK(fixture.Replies()[0].mOutcome == Outcome::MayHaveRun);
  CHECK(fixture.Replies()[0].mReason == Reason::KeyHolderGone);
}

// Guards against a delayed copy that runs after the caller was told that its
// request did not run and took another key.
TEST_CASE("a key answered as not run never runs", "[target]")
{
  Fixture fixture;
  const std::string key = fixture.Key();
  fixture.Call(1, kStart, key);
  const StartUpstream start = fixture.Started();
  fixture.Fail(start, UpstreamFailure::NotConnected);
  REQUIRE(fixture.Replies().size() == 1);
  CHECK(fixture.Replies()[0].mOutcome == Outcome::NotRun);
  CHECK_FALSE(fixture.Replies()[0].mIssuedKey.empty());
  const std::string fresh = fixture.Replies()[0].mIssuedKey;
  fixture.Clear();
  fixture.Call(2, kStart, key);
  CHECK(fixture.Of<StartUpstream>().empty());
  REQUIRE(fixture.Replies().size() == 1);
  CHECK(fixture.Replies()[0].mReason == Reason::KeyRequired);
  fixture.Clear();
  fixture.Call(3, kStart, fresh);
  CHECK(fixture.Of<StartUpstream>().size() == 1);
}

TEST_CASE("a draining node answers known keys and runs no new ones", "[target]")
{
  Fixture fixture;
  const std::string used = fixture.Key();
  const std::string unused = fixture.Key();
  fixture.Call(1, kStart, used);
  const StartUpstream start = fixture.Started();
  fixture.mLogic.DrainStarted(kStart, fixture.mEffects);
  fixture.mLogic.Tick(kStart, fixture.mEffects);
  CHECK_FALSE(fixture.mLogic.IsDrained());
  fixture.Clear();
  fixture.Call(2, kStart, used); // Joins.
  CHECK(fixture.mEffects.mActions.empty());
  fixture.Answer(start);
  CHECK(fixture.Replies().size() == 2);
  fixture.Clear();
  fixture.Call(3, kStart, used);
  CHECK(fixture.Replies().at(0).mHttp.mBody == "done");
  fixture.Clear();
  fixture.Call(4, kStart, unused);
  CHECK(fixture.Replies().at(0).mReason == Reason::Leaving);
  fixture.mLogic.Tick(kStart, fixture.mEffects);
  CHECK(fixture.mLogic.IsDrained()); // No other node takes the record.
}

// Guards against a crash that is seen late: its suspects must be known before
// the next target runs them.
TEST_CASE("a crash is concluded from broken calls", "[target]")
{
  Fixture fixture;
  fixture.Call(1);
  const StartUpstream one = fixture.Started();
  fixture.Call(2);
  const StartUpstream two = fixture.Started();
  fixture.Fail(one, UpstreamFailure::ConnectionLost);
  CHECK(fixture.Replies().at(0).mSuspect);
  CHECK(fixture.mLogic.Upstream().State(kStart) == UpstreamState::Up);
  fixture.Fail(two, UpstreamFailure::ConnectionLost);
  CHECK(fixture.mLogic.Upstream().State(kStart) == UpstreamState::Down);
  CHECK(fixture.Of<AuditEntry>().size() >= 3); // Two suspects, one state.

  // One broken call among answered ones is no crash.
  Fixture other;
  other.Call(1);
  const StartUpstream first = other.Started();
  other.Call(2);
  const StartUpstream second = other.Started();
  other.Fail(first, UpstreamFailure::Incomplete);
  other.Answer(second);
  CHECK(other.mLogic.Upstream().State(kStart) == UpstreamState::Up);
}

TEST_CASE("suspects run one at a time", "[target]")
{
  Fixture fixture(8);
  fixture.mLogic.CrashReported(
    kStart, { .mService = "leaf", .mSuspects = { 1001, 1002 } });
  fixture.Call(1);
  const StartUpstream first = fixture.Started();
  fixture.Call(2);
  CHECK(fixture.Of<StartUpstream>().empty());
  fixture.Call(3); // Innocent.
  const StartUpstream innocent = fixture.Started();
  CHECK(innocent.mRequest.mValue == "r3");
  fixture.Answer(first);
  CHECK(fixture.Started().mRequest.mValue == "r2");
}
