#include <catch2/catch.hpp>

#include <random>

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "wire/Codec.h"
#include "wire/ReplayWindow.h"

using namespace amaranthgap;

namespace {

const NodeRef kSelf{ { "b" }, { 7 } };

Codec
MakeCodec(const std::string& aKey = "0123456789abcdef",
          const std::string& aCluster = "test",
          uint32_t aVersion = kProtocolVersion)
{
  return Codec({ .mCluster = aCluster, .mKey = aKey, .mVersion = aVersion });
}

Envelope
MakeEnvelope(Message aMessage)
{
  return { .mFrom = { { "a" }, { 5 } },
           .mFromAddress = "127.0.0.1:1",
           .mTo = kSelf,
           .mSequence = 42,
           .mMessage = std::move(aMessage) };
}

CallMessage
MakeCall()
{
  return { .mCall = { 9 },
           .mRequest = { "req" },
           .mRoot = { { "root" }, { 3 } },
           .mCaller = "caller",
           .mParty = "party",
           .mService = "billing",
           .mRequestClass = "charge",
           .mImportance = 8,
           .mDepth = 2,
           .mTimeoutMs = 1500,
           .mIdempotent = false,
           .mKey = "key",
           .mFingerprint = 0xffffffffffffffff,
           .mHttp = {
             "POST", "/x?y=%41", { { "H", "%0d%0a" } }, "\0body\xff" } };
}

std::vector<Message>
MakeAllKinds()
{
  const MemberUpdate member{ .mNode = kSelf,
                             .mRefutation = 2,
                             .mState = MemberState::Suspect,
                             .mRegion = "east",
                             .mDataCentre = "east-1",
                             .mPeerAddress = "127.0.0.1:2",
                             .mService = "billing",
                             .mSlots = 4,
                             .mWarmUpMs = 10 };
  const ManifestDelta delta{ .mFrom = { 1, 2 },
                             .mTo = { 2, 3 },
                             .mSet = { { "a", "b" } },
                             .mRemoved = { "c" },
                             .mPublishId = "id",
                             .mPublisher = "me",
                             .mWallMillis = -1 };
  const HttpResponse http{ 200, { { "A", "b" } }, "body" };
  return {
    MakeCall(),
    ReplyMessage{ .mCall = { 9 },
                  .mOutcome = Outcome::MayHaveRun,
                  .mReason = Reason::AnswerTooLarge,
                  .mHttp = http,
                  .mRetryAfterMs = 3,
                  .mLoad = { 1, 2, 3, true },
                  .mPressure = 1.5,
                  .mSuspect = true,
                  .mTouchedOnce = true },
    CancelCall{ { 1 } },
    RetryGrantRequest{ { "r" }, { 1 } },
    RetryGrant{ { 1 }, true },
    KeyRequest{ { 1 }, "p", "s", "c" },
    KeyIssued{ { 1 }, "key", Reason::Leaving },
    ClosingRecordTransfer{
      kSelf, "s", 1, 2, { { "key", 4, Outcome::Answered, http } } },
    CrashReport{ "s", { 1 }, { 2, 3 }, {} },
    UsageReport{ "s", { { "p", 9, 0.25 } } },
    Ping{ 1, { 2, 3 }, 4, { member } },
    Ack{ 1, { 2, 3 }, 4, { member, member } },
    PingRequest{ 1, kSelf, "127.0.0.1:2" },
    MemberUpdates{ { member } },
    MemberDigest{ { 1, 2, 3 }, true },
    MemberPage{ 3, { member } },
    ManifestRumor{ { 2, 3 }, { delta } },
    ManifestPull{ { 1, 2 }, 3, 4 },
    ManifestPage{ { delta }, { 2, 3 }, 5, 6, { { "k", "v" } } },
  };
}

std::string
EncodeOrFail(const Codec& aCodec, const Envelope& aEnvelope)
{
  const auto bytes = aCodec.Encode(aEnvelope);
  REQUIRE(bytes);
  return bytes.value();
}

std::string
Packed(const Message& aMessage)
{
  msgpack::sbuffer buf;
  std::visit([&](const auto& aBody) { msgpack::pack(buf, aBody); }, aMessage);
  return { buf.data(), buf.size() };
}

// An authentic message built by hand, as a faulty or a newer peer builds it.
template<class PackBody>
std::string
Seal(uint32_t aVersion, uint64_t aKind, PackBody aPackBody)
{
  const std::string key = "0123456789abcdef";
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(buf);
  packer.pack_array(10);
  packer.pack(aVersion);
  packer.pack("test");
  packer.pack("a");
  packer.pack(5);
  packer.pack("127.0.0.1:1");
  packer.pack("b");
  packer.pack(7);
  packer.pack(42);
  packer.pack(aKind);
  aPackBody(packer);
  std::string out(buf.data(), buf.size());
  std::array<unsigned char, 32> tag{};
  HMAC(EVP_sha256(),
       key.data(),
       int(key.size()),
       reinterpret_cast<const unsigned char*>(out.data()),
       out.size(),
       tag.data(),
       nullptr);
  return out.append(reinterpret_cast<const char*>(tag.data()), 16);
}

} // namespace

// Guards against a field that is lost or changed on the way.
TEST_CASE("every message kind survives a round trip", "[wire]")
{
  const Codec codec = MakeCodec();
  const auto kinds = MakeAllKinds();
  REQUIRE(kinds.size() == std::variant_size_v<Message>);
  for (size_t n = 0; n < kinds.size(); ++n) {
    INFO(MessageKindName(n));
    REQUIRE(kinds[n].index() == n);
    const auto decoded =
      codec.Decode(EncodeOrFail(codec, MakeEnvelope(kinds[n])), kSelf);
    REQUIRE(std::holds_alternative<Envelope>(decoded));
    const auto& envelope = std::get<Envelope>(decoded);
    CHECK(envelope.mFrom == NodeRef{ { "a" }, { 5 } });
    CHECK(envelope.mFromAddress == "127.0.0.1:1");
    CHECK(envelope.mTo == kSelf);
    CHECK(envelope.mSequence == 42);
    REQUIRE(envelope.mMessage.index() == n);
    CHECK(Packed(envelope.mMessage) == Packed(kinds[n]));
  }
}

// Guards against messages of other clusters, keys, nodes or versions that
// change state.
TEST_CASE("messages that are not meant for the node are dropped", "[wire]")
{
  struct Row
  {
    const char* mName;
    Codec mSender;
    NodeRef mTo;
    Message mMessage;
    Rejection mCause;
  };
  const std::string key = "0123456789abcdef";
  const std::vector<Row> rows{
    { "wrong key",
      MakeCodec("other-key-other-key"),
      kSelf,
      CancelCall{},
      Rejection::BadTag },
    { "wrong cluster",
      MakeCodec(key, "other"),
      kSelf,
      CancelCall{},
      Rejection::WrongCluster },
    { "version too new",
      MakeCodec(key, "test", kProtocolVersion + 2),
      kSelf,
      CancelCall{},
      Rejection::WrongVersion },
    { "version 0",
      MakeCodec(key, "test", 0),
      kSelf,
      CancelCall{},
      Rejection::WrongVersion },
    { "wrong node",
      MakeCodec(),
      { { "c" }, { 7 } },
      CancelCall{},
      Rejection::WrongAddressee },
    { "reply to an earlier incarnation",
      MakeCodec(),
      { { "b" }, { 6 } },
      ReplyMessage{},
      Rejection::WrongAddressee },
    { "grant to an earlier incarnation",
      MakeCodec(),
      { { "b" }, { 6 } },
      RetryGrant{},
      Rejection::WrongAddressee },
    { "outcome outside of its table",
      MakeCodec(),
      kSelf,
      ReplyMessage{ .mOutcome = Outcome(77) },
      Rejection::Malformed },
    { "member state outside of its table",
      MakeCodec(),
      kSelf,
      MemberUpdates{ { { .mState = MemberState(77) } } },
      Rejection::Malformed },
  };
  const Codec codec = MakeCodec();
  for (const Row& row : rows) {
    INFO(row.mName);
    Envelope envelope = MakeEnvelope(row.mMessage);
    envelope.mTo = row.mTo;
    const auto decoded =
      codec.Decode(EncodeOrFail(row.mSender, envelope), kSelf);
    REQUIRE(std::holds_alternative<Rejection>(decoded));
    CHECK(ToName(std::get<Rejection>(decoded)) == ToName(row.mCause));
  }
}

// Guards against a call that waits for its deadline because the replaced node
// never learns of it: the target answers such a call itself.
TEST_CASE("calls to an earlier incarnation reach the decisions", "[wire]")
{
  const Codec codec = MakeCodec();
  for (const uint64_t incarnation : { 0, 6, 7 }) {
    Envelope envelope = MakeEnvelope(MakeCall());
    envelope.mTo.mIncarnation.mValue = incarnation;
    CHECK(std::holds_alternative<Envelope>(
      codec.Decode(EncodeOrFail(codec, envelope), kSelf)));
  }
}

// Guards against a rolling replacement in which neighbouring versions drop each
// other's messages.
TEST_CASE("neighbouring versions are taken", "[wire]")
{
  const Codec older = MakeCodec("0123456789abcdef", "test", 3);
  const Codec newer = MakeCodec("0123456789abcdef", "test", 4);
  const Envelope envelope = MakeEnvelope(MakeCall());
  CHECK(std::holds_alternative<Envelope>(
    older.Decode(EncodeOrFail(newer, envelope), kSelf)));
  CHECK(std::holds_alternative<Envelope>(
    newer.Decode(EncodeOrFail(older, envelope), kSelf)));
}

// Guards against a newer peer whose appended fields are taken for damage.
TEST_CASE("fields appended by a newer version are skipped", "[wire]")
{
  const auto decoded = MakeCodec().Decode(Seal(kProtocolVersion + 1,
                                               4,
                                               [](auto& aPacker) {
                                                 aPacker.pack_array(4);
                                                 aPacker.pack_array(1);
                                                 aPacker.pack(9);
                                                 aPacker.pack(true);
                                                 aPacker.pack("appended");
                                                 aPacker.pack_array(2);
                                                 aPacker.pack(1);
                                                 aPacker.pack_nil();
                                               }),
                                          kSelf);
  REQUIRE(std::holds_alternative<Envelope>(decoded));
  const auto* grant =
    std::get_if<RetryGrant>(&std::get<Envelope>(decoded).mMessage);
  REQUIRE(grant != nullptr);
  CHECK(grant->mCall.mValue == 9);
  CHECK(grant->mGranted);
}

// Guards against a faulty peer that holds the key.
TEST_CASE("authentic but malformed messages are dropped", "[wire]")
{
  const auto check = [](uint64_t aKind, Rejection aCause, auto aPackBody) {
    const auto decoded =
      MakeCodec().Decode(Seal(kProtocolVersion, aKind, aPackBody), kSelf);
    REQUIRE(std::holds_alternative<Rejection>(decoded));
    CHECK(ToName(std::get<Rejection>(decoded)) == ToName(aCause));
  };
  check(
    99, Rejection::UnknownKind, [](auto& aPacker) { aPacker.pack_array(0); });
  check(2, Rejection::Malformed, [](auto& aPacker) { aPacker.pack("text"); });
  check(2, Rejection::Malformed, [](auto& aPacker) {
    aPacker.pack_array(1);
    aPacker.pack("not a number");
  });
  check(2, Rejection::Malformed, [](auto& aPacker) {
    for (int n = 0; n < 1000; ++n) {
      aPacker.pack_array(1);
    }
    aPacker.pack_nil();
  });
  check(4, Rejection::TooLarge, [](auto& aPacker) {
    aPacker.pack(std::string(2000, 'x'));
  });
}

// Guards against reading past the end, and against cut messages that pass.
TEST_CASE("truncated messages are dropped", "[wire]")
{
  const Codec codec = MakeCodec();
  const std::string bytes = EncodeOrFail(codec, MakeEnvelope(MakeCall()));
  for (size_t n = 0; n < bytes.size(); ++n) {
    REQUIRE(std::holds_alternative<Rejection>(
      codec.Decode(std::string_view(bytes).substr(0, n), kSelf)));
  }
}

// Guards against messages that fill memory or a datagram.
TEST_CASE("oversized messages are neither sent nor taken", "[wire]")
{
  const Codec codec = MakeCodec();
  CallMessage call = MakeCall();
  call.mHttp.mBody.assign(Codec::kLargestMessage, 'x');
  CHECK_FALSE(codec.Encode(MakeEnvelope(call)));
  CHECK_FALSE(
    codec.Encode(MakeEnvelope(KeyRequest{ .mParty = std::string(1024, 'x') })));
  CHECK_FALSE(codec.Encode(
    MakeEnvelope(Ping{ .mUpdates = std::vector<MemberUpdate>(100) })));
  const std::string large(Codec::kLargestMessage + 1, 'x');
  CHECK(std::get<Rejection>(codec.Decode(large, kSelf)) == Rejection::TooLarge);
}

// Guards against a crash or a wrong acceptance on damaged bytes.
TEST_CASE("random damage never passes", "[wire]")
{
  const unsigned seed =
    Catch::rngSeed() != 0 ? Catch::rngSeed() : std::random_device{}();
  WARN("seed " << seed);
  std::mt19937 rng(seed);
  const Codec codec = MakeCodec();
  const auto kinds = MakeAllKinds();
  for (int round = 0; round < 20000; ++round) {
    std::string bytes =
      EncodeOrFail(codec, MakeEnvelope(kinds[rng() % kinds.size()]));
    const std::string original = bytes;
    const unsigned changes = 1 + rng() % 4;
    for (unsigned n = 0; n < changes && !bytes.empty(); ++n) {
      const size_t at = rng() % bytes.size();
      switch (rng() % 4) {
        case 0:
          bytes[at] = char(rng());
          break;
        case 1:
          bytes.erase(at, 1 + rng() % 8);
          break;
        case 2:
          bytes.insert(at, 1 + rng() % 8, char(rng()));
          break;
        default:
          std::swap(bytes[at], bytes[rng() % bytes.size()]);
      }
    }
    if (bytes != original) {
      REQUIRE(std::holds_alternative<Rejection>(codec.Decode(bytes, kSelf)));
    }
  }
}

// Guards against a crash on damaged bodies from a peer that holds the key.
TEST_CASE("random damage under a valid tag is survived", "[wire]")
{
  const unsigned seed =
    Catch::rngSeed() != 0 ? Catch::rngSeed() : std::random_device{}();
  WARN("seed " << seed);
  std::mt19937 rng(seed);
  const Codec codec = MakeCodec();
  const auto kinds = MakeAllKinds();
  size_t taken = 0;
  for (int round = 0; round < 20000; ++round) {
    const size_t kind = rng() % kinds.size();
    std::string body = Packed(kinds[kind]);
    for (unsigned n = rng() % 4; n > 0; --n) {
      body[rng() % body.size()] = char(rng());
    }
    const std::string bytes = Seal(kProtocolVersion, kind, [&](auto& aPacker) {
      aPacker.pack_bin_body(body.data(), uint32_t(body.size()));
    });
    const auto decoded = codec.Decode(bytes, kSelf);
    if (const auto* envelope = std::get_if<Envelope>(&decoded)) {
      ++taken;
      REQUIRE(envelope->mMessage.index() == kind);
    }
  }
  // Undamaged ones are among them.
  CHECK(taken > 1000);
}

// -- Replay -----------------------------------------------------------------

// Guards against a message that takes effect twice.
TEST_CASE("a number is accepted once", "[wire]")
{
  ReplayWindow window;
  const TimePoint now{};
  const NodeRef sender{ { "a" }, { 5 } };
  CHECK(window.Accept(now, sender, 10));
  CHECK_FALSE(window.Accept(now, sender, 10));
  CHECK(window.Accept(now, sender, 9));
  CHECK(window.Accept(now, sender, 1'000'000));
  CHECK(window.Accept(now, sender, 11));
  CHECK_FALSE(window.Accept(now, sender, 1'000'000));
  CHECK(window.Accept(now, { { "b" }, { 5 } }, 10));
}

// Guards against replays of what the window has already forgotten.
TEST_CASE("numbers below the window count as seen", "[wire]")
{
  ReplayWindow window;
  const TimePoint now{};
  const NodeRef sender{ { "a" }, { 5 } };
  for (uint64_t n = 0; n < 3 * ReplayWindow::kBlocks; ++n) {
    REQUIRE(window.Accept(now, sender, n * 64));
  }
  for (uint64_t n = 0; n < 2 * ReplayWindow::kBlocks; ++n) {
    REQUIRE_FALSE(window.Accept(now, sender, n * 64));
  }
  window.Compact(now + ReplayWindow::kIdle * 2);
  for (uint64_t n = 0; n < 3 * ReplayWindow::kBlocks; ++n) {
    REQUIRE_FALSE(window.Accept(now, sender, n * 64));
  }
  CHECK(window.Accept(now, sender, 3 * ReplayWindow::kBlocks * 64));
}

// Guards against replays under an incarnation that has been replaced twice.
TEST_CASE("only the latest incarnations of a sender are taken", "[wire]")
{
  ReplayWindow window;
  const TimePoint now{};
  CHECK(window.Accept(now, { { "a" }, { 5 } }, 1));
  CHECK(window.Accept(now, { { "a" }, { 6 } }, 1));
  CHECK(window.Accept(now, { { "a" }, { 7 } }, 1));
  CHECK_FALSE(window.Accept(now, { { "a" }, { 5 } }, 2));
  CHECK(window.Accept(now, { { "a" }, { 6 } }, 2));
  CHECK(window.GetSenderCount() == 2);
}
