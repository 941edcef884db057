#include "wire/FrameCodec.h"

#include <algorithm>
#include <utility>

namespace amaranthgap {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kCompactBytes = size_t(16) * 1024;
constexpr size_t kMaxElements = 100'000; // In one list.
constexpr size_t kMaxDepth = 32;
// Frames up to this size are always read.
constexpr size_t kSmallFrameBytes = size_t(64) * 1024;
// Enough for the kind of a message and its first field.
constexpr size_t kPrefixBytes = 16;
// A larger buffer is freed once it is empty.
constexpr size_t kMaxKeptBytes = size_t(64) * 1024;

template<size_t Index = 0>
LinkMessage
Convert(size_t aKind, const msgpack::object& aObject)
{
  if constexpr (Index < std::variant_size_v<LinkMessage>) {
    if (aKind == Index) {
      return aObject.as<std::variant_alternative_t<Index, LinkMessage>>();
    }
    return Convert<Index + 1>(aKind, aObject);
  } else {
    throw msgpack::type_error();
  }
}

bool
HasValidEnums(const LinkMessage& aMessage)
{
  const auto* reply = std::get_if<ForwardReply>(&aMessage);
  return !reply || (reply->mOutcome <= AttemptOutcome::MayHaveRun &&
                    reply->mReason <= AttemptReason::Suspected);
}

/** Reads the next value. A list takes memory by the length that it claims,
 * which may be far above the number of bytes that follow. */
msgpack::object_handle
Unpack(const char* aData, size_t aSize, size_t& aOffset)
{
  const size_t elements = std::min(aSize, kMaxElements);
  // The texts of the result stay in the buffer, which outlives it.
  const auto refersToBuffer = [](msgpack::type::object_type, size_t, void*) {
    return true;
  };
  return msgpack::unpack(
    aData,
    aSize,
    aOffset,
    refersToBuffer,
    nullptr,
    msgpack::unpack_limit(elements, elements, aSize, aSize, aSize, kMaxDepth));
}

Error
Malformed(const char* aDetail)
{
  return Error{ Step::Decode, "peer", aDetail };
}

/** Output of a packer. */
struct StringBuffer
{
  std::string mData;

  void write(const char* aData, size_t aSize) { mData.append(aData, aSize); }
};

/** Reads a whole number at the front of encoded data.
 * @return the number, or nothing if the data begins with something else. */
std::optional<uint64_t>
ReadNumber(std::string_view aData)
{
  try {
    size_t offset = 0;
    const auto number = msgpack::unpack(aData.data(), aData.size(), offset);
    return number.get().as<uint64_t>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/** Reads the beginning of a frame.
 * @return what would be skipped, or nothing if the message is neither an
 * attempt nor a reply. */
std::optional<SkippedFrame>
ReadPrefix(std::string_view aBody)
{
  constexpr uint8_t kShortArray = 0x90; // Up to 15 fields.
  constexpr uint8_t kArray = 0xdc;      // Two bytes of length follow.
  constexpr size_t kFirstField = 2;     // After kind and array.
  const auto kind = uint8_t(aBody[0]);
  const auto array = uint8_t(aBody[1]);
  const bool isRequest = kind == LinkMessage(ForwardRequest()).index();
  if (!isRequest && kind != LinkMessage(ForwardReply()).index()) {
    return std::nullopt;
  }
  const bool isLong = array == kArray;
  if (!isLong && (array & 0xf0) != kShortArray) {
    return std::nullopt;
  }
  const auto call = ReadNumber(aBody.substr(kFirstField + (isLong ? 2 : 0)));
  return call ? std::optional(SkippedFrame{ isRequest, *call }) : std::nullopt;
}

} // namespace

std::string
EncodeFrame(const LinkMessage& aMessage)
{
  StringBuffer buf;
  if (const auto* request = std::get_if<ForwardRequest>(&aMessage)) {
    buf.mData.reserve(request->mHttp.mBody.size() + kCompactBytes);
  } else if (const auto* reply = std::get_if<ForwardReply>(&aMessage)) {
    buf.mData.reserve(reply->mHttp.mBody.size() + kCompactBytes);
  }
  buf.mData.resize(kLengthBytes);
  msgpack::packer packer(buf);
  packer.pack_uint8(uint8_t(aMessage.index()));
  std::visit([&](const auto& aBody) { packer.pack(aBody); }, aMessage);
  std::string out = std::move(buf.mData);
  const auto size = uint32_t(out.size() - kLengthBytes);
  for (size_t n = 0; n < kLengthBytes; ++n) {
    out[n] = char((size >> (8 * n)) & 0xff);
  }
  return out;
}

FrameReader::FrameReader(RoomFunction aHasRoom)
  : mHasRoom(std::move(aHasRoom))
{
}

void
FrameReader::Feed(std::string_view aData)
{
  const size_t skipped = std::min(mSkipBytes, aData.size());
  mSkipBytes -= skipped;
  aData.remove_prefix(skipped);
  if (mUsed > kCompactBytes || mUsed == mBuffer.size()) {
    mBuffer.erase(0, mUsed);
    mUsed = 0;
  }
  mBuffer.append(aData);
}

std::optional<SkippedFrame>
FrameReader::NextSkipped()
{
  if (mSkipped.empty()) {
    return std::nullopt;
  }
  const SkippedFrame out = mSkipped.front();
  mSkipped.erase(mSkipped.begin());
  return out;
}

size_t
FrameReader::BufferedBytes() const
{
  return std::max(mBuffer.capacity(), mFrameBytes);
}

bool
FrameReader::Admit(size_t aSize)
{
  if (mFrameBytes > 0) {
    return true;
  }
  if (mHasRoom && aSize > kSmallFrameBytes) {
    const std::string_view body =
      std::string_view(mBuffer).substr(mUsed + kLengthBytes);
    if (body.size() < kPrefixBytes) {
      return false;
    }
    const auto skipped = ReadPrefix(body);
    if (skipped && !mHasRoom(aSize)) {
      mSkipped.push_back(*skipped);
      const size_t here = std::min(aSize, body.size());
      mUsed += kLengthBytes + here;
      mSkipBytes = aSize - here;
      return false;
    }
    mBuffer.erase(0, std::exchange(mUsed, 0));
    mBuffer.reserve(kLengthBytes + aSize);
  }
  mFrameBytes = kLengthBytes + aSize;
  return true;
}

Result<std::optional<LinkMessage>>
FrameReader::Next()
{
  if (mUsed == mBuffer.size() && mBuffer.capacity() > kMaxKeptBytes) {
    mBuffer = std::string();
    mUsed = 0;
  }
  std::string_view rest = std::string_view(mBuffer).substr(mUsed);
  if (rest.size() < kLengthBytes) {
    return std::optional<LinkMessage>();
  }
  size_t size = 0;
  for (size_t n = 0; n < kLengthBytes; ++n) {
    size |= size_t(uint8_t(rest[n])) << (8 * n);
  }
  if (size > kLargestFrame) {
    return Malformed("frame over the limit");
  }
  const size_t skippedBefore = mSkipped.size();
  if (!Admit(size)) {
    return mSkipped.size() > skippedBefore ? Next()
                                           : std::optional<LinkMessage>();
  }
  rest = std::string_view(mBuffer).substr(mUsed);
  if (rest.size() < kLengthBytes + size) {
    return std::optional<LinkMessage>();
  }
  mUsed += kLengthBytes + size;
  mFrameBytes = 0;
  try {
    size_t offset = 0;
    const char* data = rest.data() + kLengthBytes;
    const auto kind = Unpack(data, size, offset);
    const auto body = Unpack(data, size, offset);
    auto message = Convert(kind.get().as<uint8_t>(), body.get());
    if (!HasValidEnums(message)) {
      return Malformed("value out of range");
    }
    return std::optional<LinkMessage>(std::move(message));
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
}

} // namespace amaranthgap
