#include <catch2/catch.hpp>

#include "wire/FrameCodec.h"

using namespace amaranthgap;

TEST_CASE("frames are read whole, however their bytes arrive")
{
  ForwardRequest request;
  request.mCall = 7;
  request.mRequestId = "id";
  request.mHttp.mBody = std::string(1000, 'x');
  ForwardReply reply;
  reply.mCall = 7;
  reply.mOutcome = AttemptOutcome::MayHaveRun;
  reply.mReason = AttemptReason::PeerLost;
  const std::string bytes = EncodeFrame(request) + EncodeFrame(reply);
  FrameReader reader;
  std::vector<LinkMessage> messages;
  for (const char it : bytes) {
    reader.Feed({ &it, 1 });
    auto message = reader.Next();
    REQUIRE(message);
    if (message.value()) {
      messages.push_back(std::move(*message.value()));
    }
  }
  REQUIRE(messages.size() == 2);
  CHECK(std::get<ForwardRequest>(messages[0]).mHttp.mBody ==
        request.mHttp.mBody);
  CHECK(std::get<ForwardReply>(messages[1]).mReason == AttemptReason::PeerLost);
}

// Guards against messages to a node of an older version, which closes its
// connection when it cannot read one.
TEST_CASE("a state of an older node says that it reads no crash notices")
{
  NodeState state;
  state.mNode = "n1";
  state.mLinkRevision = uint8_t(kLinkRevision);
  std::string frame = EncodeFrame(state);
  const char fifteenFields = '\x9f';
  REQUIRE(frame[5] == fifteenFields);
  // Without the last field, as nodes sent it before.
  frame[5] = '\x9e';
  frame.pop_back();
  frame[0] = char(frame[0] - 1);
  FrameReader reader;
  reader.Feed(frame);
  const auto read = reader.Next();
  REQUIRE(read);
  REQUIRE(read.value());
  const auto& older = std::get<NodeState>(*read.value());
  CHECK(older.mNode == "n1");
  CHECK(older.mLinkRevision == uint8_t(LinkRevision::First));
}

TEST_CASE("a frame that cannot be read is an error")
{
  std::string unknownKind = EncodeFrame(LinkProbe{});
  unknownKind[4] = 99;
  std::string cut = EncodeFrame(RoutesRequest{ 1 });
  cut[0] = char(cut[0] - 1);
  // A probe with another body.
  const auto framed = [](const std::string& aBody) {
    std::string out = EncodeFrame(LinkProbe{}).substr(0, 5) + aBody;
    const size_t size = out.size() - 4;
    for (size_t n = 0; n < 4; ++n) {
      out[n] = char((size >> (8 * n)) & 0xff);
    }
    return out;
  };
  const std::vector<std::pair<std::string, std::string>> cases{
    { "larger than any frame", std::string("\xff\xff\xff\x7f", 4) },
    { "unknown kind", unknownKind },
    { "body cut short", cut },
    { "not msgpack", std::string("\x02\0\0\0\xc1\xc1", 6) },
    { "nested a million times", framed(std::string(1'000'000, '\x91')) },
    { "more elements than bytes", framed("\xdd\xff\xff\xff\xff") },
    { "more pairs than bytes", framed("\xdf\xff\xff\xff\xff") },
    { "text longer than the frame", framed("\xdb\xff\xff\xff\xff") },
  };
  for (const auto& [name, bytes] : cases) {
    INFO(name);
    FrameReader reader;
    reader.Feed(bytes);
    CHECK_FALSE(reader.Next());
  }
}
