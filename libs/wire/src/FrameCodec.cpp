#include "wire/FrameCodec.h"

#include <algorithm>
#include <array>

namespace amaranthgap {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kCompactBytes = size_t(16) * 1024;
constexpr size_t kMaxElements = 100'000; // In one list.
constexpr size_t kMaxDepth = 32;

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
  return msgpack::unpack(
    aData,
    aSize,
    aOffset,
    nullptr,
    nullptr,
    msgpack::unpack_limit(elements, elements, aSize, aSize, aSize, kMaxDepth));
}

Error
Malformed(const char* aDetail)
{
  return Error{ Step::Decode, "peer", aDetail };
}

} // namespace

std::string
EncodeFrame(const LinkMessage& aMessage)
{
  msgpack::sbuffer buf;
  const std::array<char, kLengthBytes> length{};
  buf.write(length.data(), length.size());
  msgpack::packer packer(buf);
  packer.pack_uint8(uint8_t(aMessage.index()));
  std::visit([&](const auto& aBody) { packer.pack(aBody); }, aMessage);
  std::string out(buf.data(), buf.size());
  const auto size = uint32_t(out.size() - kLengthBytes);
  for (size_t n = 0; n < kLengthBytes; ++n) {
    out[n] = char((size >> (8 * n)) & 0xff);
  }
  return out;
}

void
FrameReader::Feed(std::string_view aData)
{
  if (mUsed > kCompactBytes || mUsed == mBuffer.size()) {
    mBuffer.erase(0, mUsed);
    mUsed = 0;
  }
  mBuffer.append(aData);
}

Result<std::optional<LinkMessage>>
FrameReader::Next()
{
  const std::string_view rest = std::string_view(mBuffer).substr(mUsed);
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
  if (rest.size() < kLengthBytes + size) {
    return std::optional<LinkMessage>();
  }
  mUsed += kLengthBytes + size;
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
