#include <catch2/catch.hpp>

#include <algorithm>
#include <cstring>
#include <mutex>
#include <random>

#include <fmt/format.h>
#include <poll.h>

#include "TestSocket.h"
#include "server/PeerTransport.h"

using namespace amaranthgap;

namespace {

std::string
FreeAddress()
{
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  (void)::bind(socket, reinterpret_cast<sockaddr*>(&address), length);
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  ::close(socket);
  return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

/** One end with what it has received and lost. */
class End
{
public:
  explicit End(const std::string& aId,
               const std::string& aAddress = FreeAddress(),
               Duration aIdle = seconds(60))
    : mSelf{ { aId }, { 7 } }
    , mAddress(aAddress)
    , mTransport({ .mPeerAddress = aAddress,
                   .mListenAddress = aAddress,
                   .mSelf = mSelf,
                   .mCodec = { .mCluster = "test", .mKey = "0123456789abcdef" },
                   .mIdleTimeout = aIdle,
                   .mConnectTimeout = milliseconds(500) },
                 MakeHooks())
  {
    REQUIRE(mTransport.Start());
    mTicker = std::thread([this] {
      while (!mEnd) {
        mTransport.Tick(std::chrono::steady_clock::now());
        std::this_thread::sleep_for(milliseconds(10));
      }
    });
  }
  ~End()
  {
    mEnd = true;
    mTicker.join();
  }

  void Send(const End& aTo, Message aMessage, Transport aTransport)
  {
    Send(
      aTo, std::move(aMessage), aTransport, std::chrono::steady_clock::now());
  }
  void Send(const End& aTo,
            Message aMessage,
            Transport aTransport,
            TimePoint aDecided)
  {
    mTransport.Send(aDecided,
                    { .mTo = aTo.mSelf,
                      .mAddress = aTo.mAddress,
                      .mTransport = aTransport,
                      .mMessage = std::move(aMessage) });
  }

  size_t GetArrived()
  {
    const std::scoped_lock lock(mMutex);
    return mArrived.size();
  }
  size_t GetLost()
  {
    const std::scoped_lock lock(mMutex);
    return mLost.size();
  }
  uint64_t GetRejected(Rejection aCause)
  {
    return mTransport.GetCounters().mRejected[size_t(aCause)];
  }

  NodeRef mSelf;
  std::string mAddress;
  std::mutex mMutex;
  std::vector<Envelope> mArrived;
  std::vector<bool> mLost; ///< Values of aNeverSent.
  PeerTransport mTransport;

private:
  PeerTransport::Hooks MakeHooks()
  {
    return { .mArrived =
               [this](Envelope aEnvelope) {
                 const std::scoped_lock lock(mMutex);
                 mArrived.push_back(std::move(aEnvelope));
               },
             .mLost =
               [this](const NodeRef&, bool aNeverSent) {
                 const std::scoped_lock lock(mMutex);
                 mLost.push_back(aNeverSent);
               },
             .mRejected = [](Rejection, std::string_view) {},
             .mSendFailed = [](const Error&) {} };
  }

  std::atomic<bool> mEnd = false;
  std::thread mTicker;
};

} // namespace

// Guards against lost, repeated or altered messages on either transport.
TEST_CASE("messages arrive once on both transports", "[server]")
{
  End a("a");
  End b("b");
  for (uint64_t n = 0; n < 500; ++n) {
    a.Send(b, CancelCall{ { n } }, Transport::Stream);
  }
  REQUIRE(Eventually([&] { return b.GetArrived() == 500; }));
  a.Send(b, Ping{ .mProbe = 1 }, Transport::Datagram);
  REQUIRE(Eventually([&] { return b.GetArrived() == 501; }));
  std::vector<bool> seen(500);
  for (const Envelope& envelope : b.mArrived) {
    CHECK(envelope.mFrom == a.mSelf);
    CHECK(envelope.mFromAddress == a.mAddress);
    if (const auto* cancel = std::get_if<CancelCall>(&envelope.mMessage)) {
      seen.at(cancel->mCall.mValue) = true;
    }
  }
  CHECK(std::count(seen.begin(), seen.end(), true) == 500);
  CHECK(a.mTransport.GetOpenConnectionCount() == 1);
  CHECK(a.GetLost() == 0);
}

// Guards against connections from an address other than the one that network
// rules between hosts admit.
TEST_CASE("connections come from the listen address", "[server]")
{
  const std::string port = FreeAddress().substr(std::strlen("127.0.0.1"));
  End a("a", "127.5.0.1" + port);
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(::bind(listener, generic, length) == 0);
  REQUIRE(::listen(listener, 1) == 0);
  REQUIRE(::getsockname(listener, generic, &length) == 0);
  a.mTransport.Send(
    std::chrono::steady_clock::now(),
    { .mTo = { { "b" }, { 7 } },
      .mAddress = fmt::format("127.0.0.1:{}", ntohs(address.sin_port)),
      .mMessage = CancelCall{} });
  pollfd event{ .fd = listener, .events = POLLIN };
  REQUIRE(::poll(&event, 1, 2000) == 1);
  const int connection = ::accept(listener, generic, &length);
  CHECK(ntohl(address.sin_addr.s_addr) == 0x7f050001);
  ::close(connection);
  ::close(listener);
}

// Guards against a call that waits for its deadline because nobody says that
// its target is not there.
TEST_CASE("a peer that is not there is reported as never sent to", "[server]")
{
  End a("a");
  std::string address;
  {
    End b("b");
    address = b.mAddress;
  }
  const auto start = std::chrono::steady_clock::now();
  a.mTransport.Send(start,
                    { .mTo = { { "b" }, { 7 } },
                      .mAddress = address,
                      .mMessage = CancelCall{} });
  REQUIRE(Eventually([&] { return a.GetLost() == 1; }));
  CHECK(a.mLost[0]);
  CHECK(std::chrono::steady_clock::now() - start < seconds(1));
}

// Guards against work that is declared not run although it may have started.
TEST_CASE("a peer that goes away may have received", "[server]")
{
  End a("a");
  auto b = std::make_unique<End>("b");
  a.Send(*b, CancelCall{}, Transport::Stream);
  REQUIRE(Eventually([&] { return b->GetArrived() == 1; }));
  const NodeRef to = b->mSelf;
  const std::string address = b->mAddress;
  b.reset();
  REQUIRE(Eventually([&] { return a.GetLost() == 1; }));
  CHECK_FALSE(a.mLost[0]);
  // A new attempt finds nothing there, and nothing was handed over since.
  a.mTransport.Send(
    std::chrono::steady_clock::now(),
    { .mTo = to, .mAddress = address, .mMessage = CancelCall{} });
  REQUIRE(Eventually([&] { return a.GetLost() == 2; }));
  CHECK(a.mLost[1]);
}

// Guards against a message that is handed over after its call was declared not
// run on account of the loss.
TEST_CASE("what was decided before a loss is not sent after it", "[server]")
{
  End a("a");
  const std::string address = FreeAddress();
  const auto early = std::chrono::steady_clock::now();
  const SendMessage message{ .mTo = { { "b" }, { 7 } },
                             .mAddress = address,
                             .mMessage = CancelCall{ { 1 } } };
  a.mTransport.Send(early, message);
  REQUIRE(Eventually([&] { return a.GetLost() == 1; }));
  std::this_thread::sleep_for(milliseconds(20));
  End b("b", address);
  a.mTransport.Send(early, message);
  REQUIRE(Eventually([&] { return a.GetLost() == 2; }));
  CHECK(a.mLost[1]);
  std::this_thread::sleep_for(milliseconds(20));
  a.Send(b, CancelCall{ { 2 } }, Transport::Stream);
  REQUIRE(Eventually([&] { return b.GetArrived() == 1; }));
  CHECK(std::get<CancelCall>(b.mArrived[0].mMessage).mCall.mValue == 2);
}

// Guards against connections that are kept for each of 4,100 members, and
// against an idle close that is taken for a loss or hides an earlier hand-over.
TEST_CASE("idle connections are closed without a loss", "[server]")
{
  End a("a", FreeAddress(), milliseconds(100));
  auto b = std::make_unique<End>("b");
  a.Send(*b, CancelCall{}, Transport::Stream);
  REQUIRE(Eventually([&] { return b->GetArrived() == 1; }));
  REQUIRE(
    Eventually([&] { return a.mTransport.GetOpenConnectionCount() == 0; }));
  CHECK(a.GetLost() == 0);
  a.Send(*b, CancelCall{}, Transport::Stream);
  REQUIRE(Eventually([&] { return b->GetArrived() == 2; }));
  REQUIRE(
    Eventually([&] { return a.mTransport.GetOpenConnectionCount() == 0; }));
  const NodeRef to = b->mSelf;
  const std::string address = b->mAddress;
  b.reset();
  a.mTransport.Send(
    std::chrono::steady_clock::now(),
    { .mTo = to, .mAddress = address, .mMessage = CancelCall{} });
  REQUIRE(Eventually([&] { return a.GetLost() == 1; }));
  // The first two messages were handed over, and their fate is open.
  CHECK_FALSE(a.mLost[0]);
}

// Guards against messages near the limit that the sockets cut or refuse.
TEST_CASE("large messages arrive, too large ones are not sent", "[server]")
{
  End a("a");
  End b("b");
  CallMessage call;
  call.mHttp.mBody.assign(size_t{ 1000 } * 1024, 'x');
  a.Send(b, call, Transport::Stream);
  REQUIRE(Eventually([&] { return b.GetArrived() == 1; }));
  CHECK(std::get<CallMessage>(b.mArrived[0].mMessage).mHttp.mBody.size() ==
        size_t{ 1000 } * 1024);
  call.mHttp.mBody.assign(size_t{ 1100 } * 1024, 'x');
  a.Send(b, call, Transport::Stream);
  CHECK(a.mTransport.GetCounters().mSendFailures == 1);
  a.Send(b, CancelCall{}, Transport::Stream);
  CHECK(Eventually([&] { return b.GetArrived() == 2; }));
}

// Guards against strangers on the port who stop the service or change state.
TEST_CASE("bad bytes on the port are counted and change nothing", "[server]")
{
  const unsigned seed =
    Catch::rngSeed() != 0 ? Catch::rngSeed() : std::random_device{}();
  WARN("seed " << seed);
  std::mt19937 rng(seed);
  End a("a");
  End b("b");
  const int port = std::stoi(b.mAddress.substr(b.mAddress.find(':') + 1));
  const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(uint16_t(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int n = 0; n < 100; ++n) {
    std::string junk(rng() % 2000, '\0');
    for (char& c : junk) {
      c = char(rng());
    }
    sendto(udp,
           junk.data(),
           junk.size(),
           0,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address));
    // One half speaks the framing of nng and is dropped by the codec.
    TestSocket socket(port);
    if (n % 2 == 0) {
      const std::string hello("\0SP\0\0\x50\0\0", 8);
      std::string frame(6, '\0');
      frame += char(junk.size() >> 8);
      frame += char(junk.size());
      frame.insert(0, hello).append(junk);
      socket.Send(frame);
    } else {
      socket.Send(junk);
    }
  }
  ::close(udp);
  const auto rejected = [&] {
    return b.GetRejected(Rejection::BadTag) +
           b.GetRejected(Rejection::Truncated);
  };
  CHECK(Eventually([&] { return rejected() >= 100; }));
  CHECK(b.GetArrived() == 0);
  a.Send(b, CancelCall{}, Transport::Stream);
  CHECK(Eventually([&] { return b.GetArrived() == 1; }));
}
