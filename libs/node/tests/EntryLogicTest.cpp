#include <catch2/catch.hpp>

#include <functional>

#include "SimManifest.h"
#include "node/EntryLogic.h"

using namespace amaranthgap;

namespace {

const NodeRef kSelf{ { "self" }, { 10 } };
const NodeRef kOne{ { "one" }, { 20 } };
const NodeRef kTwo{ { "two" }, { 30 } };
const TimePoint kStart{ seconds(1000) };

MemberUpdate
Member(const NodeRef& aNode)
{
  return { .mNode = aNode,
           .mState = MemberState::Warm,
           .mRegion = "east",
           .mDataCentre = "dc1",
           .mPeerAddress = aNode.mId.mValue + ":1",
           .mService = "leaf",
           .mSlots = 8 };
}

MemberListPtr
Members(const std::vector<MemberUpdate>& aMembers)
{
  auto list = std::make_shared<MemberList>();
  for (const MemberUpdate& member : aMembers) {
    list->mByNode[member.mNode.mId] = member;
    if (member.mState == MemberState::Warm) {
      list->mByService[member.mService].push_back(member);
    }
  }
  return list;
}

/** An entry shard that knows two targets of one service. */
struct Fixture
{
  EntryShared mShared;
  EntryLogic mLogic{ { .mSelf = kSelf,
                       .mRegion = "east",
                       .mDataCentre = "dc1",
                       .mKeySecret = "secret",
                       .mShared = &mShared } };
  Effects mEffects;

  Fixture()
  {
    auto manifest = std::make_shared<Manifest>(
      BuildManifest(1, sim::TestManifest({ "leaf" })).value());
    mLogic.SetManifest(kStart, manifest);
    mLogic.SetMembers(
      kStart, Members({ Member(kSelf), Member(kOne), Member(kTwo) }), mEffects);
    mLogic.SetMembers(
      kStart, Members({ Member(kOne), Member(kTwo) }), mEffects);
    Clear();
  }

  void Clear() { mEffects = {}; }

  void Call(const std::string& aClass, const std::string& aKey = {})
  {
    mLogic.CallArrived(kStart,
                       { .mCaller = { 5 },
                         .mRequest = { "r" },
                         .mCallerName = "web",
                         .mService = "leaf",
                         .mRequestClass = aClass,
                         .mKey = aKey },
                       mEffects);
  }

  template<class T>
  std::vector<SendMessage> Sent() const
  {
    std::vector<SendMessage> sent;
    for (const Action& action : mEffects.mActions) {
      const auto* send = std::get_if<SendMessage>(&action);
      if (send != nullptr && std::holds_alternative<T>(send->mMessage)) {
        sent.push_back(*send);
      }
    }
    return sent;
  }

  std::vector<AnswerCaller> Answers() const
  {
    std::vector<AnswerCaller> answers;
    for (const Action& action : mEffects.mActions) {
      if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        answers.push_back(*answer);
      }
    }
    return answers;
  }

  /** Sends a read. @return its message. */
  std::pair<NodeRef, CallMessage> SendRead()
  {
    Call("read");
    REQUIRE(Sent<CallMessage>().size() == 1);
    const SendMessage send = Sent<CallMessage>()[0];
    Clear();
    return { send.mTo, std::get<CallMessage>(send.mMessage) };
  }
};

ReplyMessage
Good(CallId aCall)
{
  return { .mCall = aCall,
           .mOutcome = Outcome::Answered,
           .mHttp = { .mStatus = 200, .mBody = "mine" } };
}

} // namespace

// Guards against a reply that reaches a call it was not made for.
TEST_CASE("only the reply of its own target answers a call", "[entry]")
{
  struct Case
  {
    std::string mName;
    std::function<void(Fixture&, const NodeRef&, CallId)> mEvent;
  };
  const std::vector<Case> cases{
    { "unknown call",
      [](Fixture& aFixture, const NodeRef& aTarget, CallId aCall) {
        aFixture.mLogic.ReplyArrived(
          kStart, aTarget, Good({ aCall.mValue + 1 }), aFixture.mEffects);
      } },
    { "another node",
      [](Fixture& aFixture, const NodeRef& aTarget, CallId aCall) {
        aFixture.mLogic.ReplyArrived(kStart,
                                     aTarget == kOne ? kTwo : kOne,
                                     Good(aCall),
                                     aFixture.mEffects);
      } },
    { "another incarnation",
      [](Fixture& aFixture, const NodeRef& aTarget, CallId aCall) {
        aFixture.mLogic.ReplyArrived(
          kStart,
          { aTarget.mId, { aTarget.mIncarnation.mValue + 1 } },
          Good(aCall),
          aFixture.mEffects);
      } },
    { "a grant that was not asked for",
      [](Fixture& aFixture, const NodeRef&, CallId aCall) {
        aFixture.mLogic.GrantArrived(kStart,
                                     kSelf,
                                     { .mCall = aCall, .mGranted = true },
                                     aFixture.mEffects);
      } },
    { "a key that was not asked for",
      [](Fixture& aFixture, const NodeRef& aTarget, CallId aCall) {
        aFixture.mLogic.KeyArrived(
          kStart, aTarget, { .mCall = aCall, .mKey = "k" }, aFixture.mEffects);
      } },
  };
  for (const Case& item : cases) {
    INFO(item.mName);
    Fixture fixture;
    const auto [target, call] = fixture.SendRead();
    item.mEvent(fixture, target, call.mCall);
    CHECK(fixture.mEffects.mActions.empty());
    CHECK_FALSE(fixture.mEffects.mCounts.empty()); // Dropped and counted.
    fixture.Clear();
    fixture.mLogic.ReplyArrived(
      kStart, target, Good(call.mCall), fixture.mEffects);
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].mHttp.mBody == "mine");
    // The same reply again.
    fixture.Clear();
    fixture.mLogic.ReplyArrived(
      kStart, target, Good(call.mCall), fixture.mEffects);
    CHECK(fixture.mEffects.mActions.empty());
  }
}

// Guards against an outcome that claims more than is known.
TEST_CASE("outcomes of lost calls are honest", "[entry]")
{
  struct Case
  {
    std::string mName;
    std::function<void(Fixture&, const NodeRef&)> mEvent;
    Outcome mOutcome;
    Reason mReason;
  };
  const std::vector<Case> cases{
    { "stream broken",
      [](Fixture& aFixture, const NodeRef& aTarget) {
        aFixture.mLogic.PeerLost(kStart, aTarget, false, aFixture.mEffects);
      },
      Outcome::MayHaveRun,
      Reason::PeerLost },
    { "never sent",
      [](Fixture& aFixture, const NodeRef& aTarget) {
        aFixture.mLogic.PeerLost(kStart, aTarget, true, aFixture.mEffects);
      },
      Outcome::NotRun,
      Reason::PeerLost },
    { "declared dead",
      [](Fixture& aFixture, const NodeRef& aTarget) {
        auto one = Member(kOne);
        auto two = Member(kTwo);
        (aTarget == kOne ? one : two).mState = MemberState::Dead;
        aFixture.mLogic.SetMembers(
          kStart, Members({ one, two }), aFixture.mEffects);
      },
      Outcome::MayHaveRun,
      Reason::PeerLost },
    { "deadline",
      [](Fixture& aFixture, const NodeRef&) {
        aFixture.mLogic.Tick(kStart + seconds(1), aFixture.mEffects);
      },
      Outcome::MayHaveRun,
      Reason::DeadlineExpired },
  };
  for (const Case& item : cases) {
    INFO(item.mName);
    Fixture fixture;
    const auto [target, call] = fixture.SendRead();
    item.mEvent(fixture, target);
    // The retry that a lost call may ask for is refused by the root node.
    if (!fixture.Sent<RetryGrantRequest>().empty()) {
      CHECK(fixture.Answers().empty());
      fixture.mLogic.GrantArrived(kStart,
                                  kSelf,
                                  { .mCall = call.mCall, .mGranted = false },
                                  fixture.mEffects);
    }
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].mOutcome == item.mOutcome);
    CHECK(fixture.Answers()[0].mReason == item.mReason);
    CHECK(fixture.Answers()[0].mRetryAfter > Duration::zero());
    CHECK(fixture.mLogic.InFlight() == 0);
  }
}

// Guards against a retry without a grant, at a target that was tried, or after
// which the request counts as not run.
TEST_CASE("a retry needs a grant and another target", "[entry]")
{
  Fixture fixture;
  const auto [target, call] = fixture.SendRead();
  fixture.mLogic.PeerLost(kStart, target, false, fixture.mEffects);
  REQUIRE(fixture.Sent<RetryGrantRequest>().size() == 1);
  CHECK(fixture.Sent<RetryGrantRequest>()[0].mTo == kSelf);
  CHECK(fixture.Sent<CallMessage>().empty());

  fixture.Clear();
  const RetryGrant grant{ .mCall = call.mCall, .mGranted = true };
  fixture.mLogic.GrantArrived(kStart, kSelf, grant, fixture.mEffects);
  REQUIRE(fixture.Sent<CallMessage>().size() == 1);
  const SendMessage again = fixture.Sent<CallMessage>()[0];
  CHECK(again.mTo != target);
  const CallId id = std::get<CallMessage>(again.mMessage).mCall;
  CHECK(id != call.mCall);

  // The grant once more, and the late reply of the first attempt.
  fixture.Clear();
  fixture.mLogic.GrantArrived(kStart, kSelf, grant, fixture.mEffects);
  fixture.mLogic.ReplyArrived(
    kStart, target, Good(call.mCall), fixture.mEffects);
  CHECK(fixture.mEffects.mActions.empty());

  // The second attempt did not run, but the first one may have.
  fixture.mLogic.ReplyArrived(
    kStart,
    again.mTo,
    { .mCall = id, .mReason = Reason::DeadlineExpired },
    fixture.mEffects);
  REQUIRE(fixture.Answers().size() == 1);
  CHECK(fixture.Answers()[0].mOutcome == Outcome::MayHaveRun);
}

TEST_CASE("a silent root node ends the wait for a grant", "[entry]")
{
  Fixture fixture;
  const auto [target, call] = fixture.SendRead();
  fixture.mLogic.PeerLost(kStart, target, true, fixture.mEffects);
  fixture.Clear();
  fixture.mLogic.Tick(kStart + milliseconds(300), fixture.mEffects);
  REQUIRE(fixture.Answers().size() == 1);
  CHECK(fixture.Answers()[0].mOutcome == Outcome::NotRun);
}

TEST_CASE("faulty requests are refused as not run", "[entry]")
{
  struct Case
  {
    CallerCall mCall;
    Reason mReason;
  };
  const std::vector<Case> cases{
    { { .mCallerName = "nobody", .mService = "leaf", .mRequestClass = "read" },
      Reason::UnknownCaller },
    { { .mCallerName = "web", .mService = "none", .mRequestClass = "read" },
      Reason::UnknownService },
    { { .mCallerName = "web", .mService = "leaf", .mRequestClass = "none" },
      Reason::UnknownClass },
    { { .mCallerName = "web",
        .mService = "leaf",
        .mRequestClass = "read",
        .mHttp = { .mBody = std::string(600'000, 'x') } },
      Reason::TooLarge },
    { { .mCallerName = "web",
        .mService = "leaf",
        .mRequestClass = "charge",
        .mKey = "made up" },
      Reason::BadRequest },
  };
  for (const Case& item : cases) {
    Fixture fixture;
    fixture.mLogic.CallArrived(kStart, item.mCall, fixture.mEffects);
    REQUIRE(fixture.Answers().size() == 1);
    CHECK(fixture.Answers()[0].mOutcome == Outcome::NotRun);
    CHECK(fixture.Answers()[0].mReason == item.mReason);
    CHECK(fixture.Sent<CallMessage>().empty());
    CHECK(fixture.mShared.mExternalCalls == 0);
  }
}

// Guards against a claim of not run for a key that another node may have run.
TEST_CASE("only the node of a key says that it did not run", "[entry]")
{
  const std::string key = IssuedKey{ .mService = "leaf",
                                     .mRequestClass = "charge",
                                     .mParty = "north",
                                     .mNode = kOne }
                            .ToText("secret");
  Fixture draining;
  draining.mLogic.DrainStarted();
  draining.Call("charge", key);
  REQUIRE(draining.Answers().size() == 1);
  CHECK(draining.Answers()[0].mReason == Reason::Leaving);
  CHECK(draining.Answers()[0].mOutcome == Outcome::MayHaveRun);

  Fixture lost;
  lost.Call("charge", key);
  REQUIRE(lost.Sent<CallMessage>().size() == 1);
  CHECK(lost.Sent<CallMessage>()[0].mTo == kOne);
  lost.mLogic.PeerLost(kStart, kOne, true, lost.mEffects);
  REQUIRE(lost.Answers().size() == 1);
  CHECK(lost.Answers()[0].mOutcome == Outcome::MayHaveRun);

  // The next incarnation does not know either, nor do nodes without a record.
  Fixture replaced;
  replaced.Call("charge", key);
  const SendMessage sent = replaced.Sent<CallMessage>()[0];
  const NodeRef next{ kOne.mId, { 21 } };
  replaced.Clear();
  replaced.mLogic.ReplyArrived(
    kStart,
    next,
    { .mCall = std::get<CallMessage>(sent.mMessage).mCall,
      .mReason = Reason::WrongTarget },
    replaced.mEffects);
  REQUIRE(replaced.Sent<CallMessage>().size() == 1);
  const SendMessage asked = replaced.Sent<CallMessage>()[0];
  CHECK(asked.mTo == kTwo);
  replaced.mLogic.ReplyArrived(
    kStart,
    kTwo,
    { .mCall = std::get<CallMessage>(asked.mMessage).mCall,
      .mOutcome = Outcome::MayHaveRun,
      .mReason = Reason::KeyHolderGone },
    replaced.mEffects);
  REQUIRE(replaced.Answers().size() == 1);
  CHECK(replaced.Answers()[0].mOutcome == Outcome::MayHaveRun);
}

// Guards against a caller that is told to send again with a key and gets none;
// seen in a region that was cut off from all targets of the service.
TEST_CASE("without a node that issues a key there is no target", "[entry]")
{
  Fixture fixture;
  fixture.mLogic.SetMembers(kStart, Members({}), fixture.mEffects);
  fixture.Clear();
  fixture.Call("charge");
  REQUIRE(fixture.Answers().size() == 1);
  const AnswerCaller answer = fixture.Answers()[0];
  CHECK(answer.mOutcome == Outcome::NotRun);
  CHECK(answer.mReason == Reason::NoTarget);
  CHECK(answer.mRetryAfter > Duration::zero());
}

// Guards against work for requests that fail further down: a service answers
// with an error of its own when a child call was refused, which once counted as
// accepted, so that the root node never throttled.
TEST_CASE("refusals below a service throttle its callers", "[entry]")
{
  struct Case
  {
    const char* mName;
    int mStatus;
    double mPressure;
    bool mThrottles;
  };
  const Case cases[] = {
    { "refused below", 502, 1, true },
    { "error without load", 502, 0, false },
    { "answered beside a full queue", 200, 1, false },
  };
  for (const Case& row : cases) {
    INFO(row.mName);
    Fixture fixture;
    size_t refused = 0;
    for (uint64_t i = 0; i < 300; ++i) {
      const TimePoint now = kStart + milliseconds(10 * i);
      fixture.Clear();
      fixture.mLogic.CallArrived(now,
                                 { .mCaller = { 100 + i },
                                   .mRequest = { std::to_string(i) },
                                   .mCallerName = "web",
                                   .mService = "leaf",
                                   .mRequestClass = "read" },
                                 fixture.mEffects);
      const auto sent = fixture.Sent<CallMessage>();
      if (sent.empty()) {
        refused += fixture.Answers().at(0).mReason == Reason::Throttled;
        continue;
      }
      ReplyMessage reply = Good(std::get<CallMessage>(sent[0].mMessage).mCall);
      reply.mHttp.mStatus = row.mStatus;
      reply.mPressure = row.mPressure;
      fixture.mLogic.ReplyArrived(
        now + milliseconds(5), sent[0].mTo, reply, fixture.mEffects);
    }
    CHECK((refused > 100) == row.mThrottles);
    CHECK((refused == 0) != row.mThrottles);
  }
}
