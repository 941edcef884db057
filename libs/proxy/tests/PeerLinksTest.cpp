#include <catch2/catch.hpp>

#include <optional>

#include "proxy/PeerLinks.h"

using namespace amaranthgap;

namespace {

constexpr Duration kPatience = seconds(10);
// A silent connection is replaced after this time while answers are due.
constexpr Duration kReplaceTime = milliseconds(1500);

/** Peer whose replies a test controls. */
class FakePeer
{
public:
  static constexpr size_t kBodyBytes = 1000;

  explicit FakePeer(EventLoop& aLoop)
    : mLoop(aLoop)
    , mListener(aLoop)
  {
    const auto listening = mListener.Listen(
      "127.0.0.1:0", {}, [this](std::unique_ptr<TcpStream> aStream) {
        Accept(std::move(aStream));
      });
    REQUIRE(listening);
  }

  /** Whether probes and new connections get answers. */
  void SetSilent(bool aIsSilent) { mIsSilent = aIsSilent; }
  void Reply(size_t aConnection, uint64_t aCall)
  {
    ForwardReply reply;
    reply.mCall = aCall;
    reply.mOutcome = AttemptOutcome::Answered;
    mConnections[aConnection]->mStream->Write(EncodeFrame(reply));
  }
  void Refuse(size_t aConnection, uint64_t aCall)
  {
    ForwardReply reply;
    reply.mCall = aCall;
    reply.mReason = AttemptReason::NoRoom;
    mConnections[aConnection]->mStream->Write(EncodeFrame(reply));
  }
  /** Sends the first aBytes of an answer and ends the connection. */
  void ReplyInPart(uint64_t aCall, size_t aBytes, bool aIsReset)
  {
    ForwardReply reply;
    reply.mCall = aCall;
    reply.mOutcome = AttemptOutcome::Answered;
    reply.mHttp = { .mStatus = 200, .mBody = std::string(kBodyBytes, 'b') };
    TcpStream& stream = *mConnections.back()->mStream;
    stream.Write(EncodeFrame(reply).substr(0, aBytes));
    if (aIsReset) {
      mLoop.Defer([&stream] { stream.Reset(); });
    } else {
      stream.Close();
    }
  }
  void CloseAll()
  {
    for (const auto& it : mConnections) {
      it->mStream->Close();
    }
  }

  [[nodiscard]] size_t Connections() const { return mConnections.size(); }
  [[nodiscard]] NodeAddress Address() const
  {
    return { .mNode = "peer",
             .mRun = 1,
             .mAddress = "127.0.0.1:" + std::to_string(mListener.Port()) };
  }

private:
  struct Connection
  {
    std::unique_ptr<TcpStream> mStream;
    FrameReader mReader;
  };

  void Accept(std::unique_ptr<TcpStream> aStream)
  {
    auto& connection =
      *mConnections.emplace_back(std::make_unique<Connection>());
    connection.mStream = std::move(aStream);
    connection.mStream->SetCallbacks(
      { .mOnData = [this, &connection](std::string_view aData) {
        Received(connection, aData);
      } });
    NodeState state;
    state.mNode = "peer";
    state.mRun = 1;
    connection.mStream->Write(EncodeFrame(state));
  }

  void Received(Connection& aConnection, std::string_view aData)
  {
    aConnection.mReader.Feed(aData);
    while (auto message = aConnection.mReader.Next()) {
      if (!message.value()) {
        return;
      }
      if (std::holds_alternative<LinkProbe>(*message.value()) && !mIsSilent) {
        aConnection.mStream->Write(EncodeFrame(LinkProbe{ true }));
      }
    }
  }

  EventLoop& mLoop;
  TcpListener mListener;
  bool mIsSilent = false;
  std::vector<std::unique_ptr<Connection>> mConnections;
};

/** Links of one node to a FakePeer. */
class LinkedNode
{
public:
  LinkedNode()
    : mLogger({ .mLevel = LogLevel::Error })
    , mPeer(mLoop)
    , mLinks(mLoop,
             mLogger,
             std::make_shared<MemoryAccount>(size_t(1024) * 1024),
             { .mState = [this](const NodeState&) { ++mStates; },
               .mLost = [](const std::string&) {},
               .mRoutes = [](const std::string&) {},
               .mLoad = [](const std::string&, const LoadReport&) {},
               .mNodes = [](const std::vector<NodeAddress>&) {},
               .mNotice = [](const std::string&, const StoreNotice&) {},
               .mSelf = [] { return NodeAddress{ .mNode = "self" }; } })
  {
    mLinks.SetLinks(EventLoop::Now(), { mPeer.Address() });
    REQUIRE(Until([&] { return mStates == 1; }));
  }

  /** Sends an attempt whose reply is going to be stored. */
  uint64_t Send(bool aIsIdempotent, std::optional<ForwardReply>& aReply)
  {
    ForwardRequest request;
    request.mIdempotent = aIsIdempotent;
    return mLinks.Send(EventLoop::Now(),
                       "peer",
                       std::move(request),
                       [&](ForwardReply aGot) { aReply = std::move(aGot); });
  }

  template<class Condition>
  bool Until(Condition aCondition, Duration aMost = kPatience)
  {
    const TimePoint end = EventLoop::Now() + aMost;
    while (!aCondition() && EventLoop::Now() < end) {
      mLoop.RunFor(milliseconds(20));
      mLinks.Tick(EventLoop::Now());
    }
    return aCondition();
  }

  FakePeer& Peer() { return mPeer; }
  PeerLinks& Links() { return mLinks; }

private:
  EventLoop mLoop;
  Logger mLogger;
  int mStates = 0;
  FakePeer mPeer;
  PeerLinks mLinks;
};

} // namespace

// Guards against a refusal of an earlier attempt that is taken for the reply to
// the next one.
TEST_CASE("a repeated refusal of a peer ends no other attempt")
{
  LinkedNode node;
  std::optional<ForwardReply> first;
  std::optional<ForwardReply> second;
  const uint64_t refused = node.Send(false, first);
  node.Peer().Refuse(0, refused);
  REQUIRE(node.Until([&] { return first.has_value(); }));
  const uint64_t answered = node.Send(false, second);
  node.Peer().Refuse(0, refused);
  node.Peer().Refuse(0, refused);
  CHECK_FALSE(
    node.Until([&] { return second.has_value(); }, milliseconds(100)));
  node.Peer().Reply(0, answered);
  REQUIRE(node.Until([&] { return second.has_value(); }));
  CHECK(second->mOutcome == AttemptOutcome::Answered);
}

// Guards against the loss of an answer that is ready: non-idempotent attempts
// were given up when their node was frozen or slow for a second.
TEST_CASE("non-idempotent attempts wait for a node that is silent for a while")
{
  LinkedNode node;
  std::optional<ForwardReply> once;
  std::optional<ForwardReply> many;
  const uint64_t call = node.Send(false, once);
  node.Send(true, many);
  node.Peer().SetSilent(true);
  // Idempotent attempts are retried elsewhere.
  REQUIRE(node.Until([&] { return many.has_value(); }, kReplaceTime));
  CHECK(many->mOutcome == AttemptOutcome::MayHaveRun);
  CHECK(many->mReason == AttemptReason::PeerLost);
  // New attempts get a new connection.
  CHECK(node.Until([&] { return node.Peer().Connections() == 2; }));
  CHECK_FALSE(once);
  node.Peer().Reply(0, call);
  REQUIRE(node.Until([&] { return once.has_value(); }));
  CHECK(once->mOutcome == AttemptOutcome::Answered);
}

TEST_CASE("a silent connection that ends fails the attempts that wait on it")
{
  LinkedNode node;
  std::optional<ForwardReply> once;
  node.Send(false, once);
  node.Peer().SetSilent(true);
  REQUIRE(node.Until([&] { return node.Peer().Connections() == 2; }));
  CHECK_FALSE(once);
  node.Peer().CloseAll();
  REQUIRE(node.Until([&] { return once.has_value(); }));
  CHECK(once->mOutcome == AttemptOutcome::MayHaveRun);
}

// Guards against a part of a reply that is taken for the whole.
TEST_CASE("a reply that is cut off ends its attempt without an answer")
{
  for (const bool isReset : { false, true }) {
    for (const size_t size : { size_t(2), size_t(40), FakePeer::kBodyBytes }) {
      INFO(size << " bytes, reset: " << isReset);
      LinkedNode node;
      std::optional<ForwardReply> reply;
      const uint64_t call = node.Send(false, reply);
      node.Peer().ReplyInPart(call, size, isReset);
      REQUIRE(node.Until([&] { return reply.has_value(); }));
      CHECK(reply->mOutcome == AttemptOutcome::MayHaveRun);
      CHECK(reply->mHttp.mBody.empty());
    }
  }
}

// Guards against answers to requests that were given up at their deadline.
TEST_CASE("a cancelled attempt on a silent connection gets no answer")
{
  LinkedNode node;
  std::optional<ForwardReply> once;
  const uint64_t call = node.Send(false, once);
  node.Peer().SetSilent(true);
  REQUIRE(node.Until([&] { return node.Peer().Connections() == 2; }));
  node.Links().Cancel("peer", call);
  node.Peer().Reply(0, call);
  node.Until([] { return false; }, milliseconds(200));
  CHECK_FALSE(once);
}
