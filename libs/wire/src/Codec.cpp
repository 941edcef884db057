#include "wire/Codec.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <optional>

#include <fmt/format.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

namespace amaranthgap {

namespace {

constexpr size_t kKinds = std::variant_size_v<Message>;
constexpr size_t kDatagram = 1200;
constexpr size_t kPage = size_t(64) * 1024;
constexpr size_t kReport = size_t(16) * 1024;
constexpr size_t kEnvelopeFields = 10;

struct KindInfo
{
  std::string_view mName;
  size_t mLimit;
};

constexpr std::array<KindInfo, kKinds> kKindTable{ {
  { "call", Codec::kLargestMessage },
  { "reply", Codec::kLargestMessage },
  { "cancel-call", Codec::kLargestMessage },
  { "retry-grant-request", 1024 },
  { "retry-grant", 1024 },
  { "key-request", 1024 },
  { "key-issued", 1024 },
  { "closing-record", Codec::kLargestMessage },
  { "crash-report", kReport },
  { "usage-report", kReport },
  { "ping", kDatagram },
  { "ack", kDatagram },
  { "ping-request", kDatagram },
  { "member-updates", kDatagram },
  { "member-digest", kPage },
  { "member-page", kPage },
  { "manifest-rumor", kDatagram },
  { "manifest-pull", kPage },
  { "manifest-page", kPage },
} };

// Kinds that refer to a call id of the addressed incarnation.
bool
BelongsToIncarnation(const Message& aMessage)
{
  return std::holds_alternative<ReplyMessage>(aMessage) ||
         std::holds_alternative<CancelCall>(aMessage) ||
         std::holds_alternative<RetryGrant>(aMessage) ||
         std::holds_alternative<KeyIssued>(aMessage);
}

template<size_t Index = 0>
Message
ConvertBody(size_t aKind, const msgpack::object& aObject)
{
  if constexpr (Index < kKinds) {
    if (aKind == Index) {
      return aObject.as<std::variant_alternative_t<Index, Message>>();
    }
    return ConvertBody<Index + 1>(aKind, aObject);
  } else {
    throw msgpack::type_error();
  }
}

bool
HasValidEnums(const Message& aMessage)
{
  if (const auto* reply = std::get_if<ReplyMessage>(&aMessage)) {
    return reply->mOutcome <= Outcome::MayHaveRun &&
           reply->mReason <= Reason::AnswerTooLarge;
  }
  if (const auto* issued = std::get_if<KeyIssued>(&aMessage)) {
    return issued->mReason <= Reason::AnswerTooLarge;
  }
  const auto valid = [](const std::vector<MemberUpdate>& aUpdates) {
    return std::all_of(
      aUpdates.begin(), aUpdates.end(), [](const MemberUpdate& aUpdate) {
        return aUpdate.mState <= MemberState::Dead;
      });
  };
  return std::visit(
    [&](const auto& aBody) {
      if constexpr (requires { aBody.mUpdates; }) {
        return valid(aBody.mUpdates);
      }
      return true;
    },
    aMessage);
}

// Reads the fields in front of the body, which have the same place in every
// version.
std::optional<Rejection>
ReadHead(const msgpack::object& aObject,
         const std::string& aCluster,
         uint32_t aVersion,
         Envelope& aEnvelope,
         size_t& aKind)
{
  if (aObject.type != msgpack::type::ARRAY || aObject.via.array.size == 0) {
    return Rejection::Malformed;
  }
  const msgpack::object* field = aObject.via.array.ptr;
  const auto version = field[0].as<uint32_t>();
  if (version + 1 < aVersion || version > aVersion + 1 || version == 0) {
    return Rejection::WrongVersion;
  }
  if (aObject.via.array.size < kEnvelopeFields) {
    return Rejection::Malformed;
  }
  if (field[1].as<std::string_view>() != aCluster) {
    return Rejection::WrongCluster;
  }
  aEnvelope.mFrom.mId.mValue = field[2].as<std::string>();
  aEnvelope.mFrom.mIncarnation.mValue = field[3].as<uint64_t>();
  aEnvelope.mFromAddress = field[4].as<std::string>();
  aEnvelope.mTo.mId.mValue = field[5].as<std::string>();
  aEnvelope.mTo.mIncarnation.mValue = field[6].as<uint64_t>();
  aEnvelope.mSequence = field[7].as<uint64_t>();
  aKind = field[8].as<size_t>();
  return std::nullopt;
}

} // namespace

size_t
MaxMessageBytes(size_t aKind)
{
  return aKind < kKinds ? kKindTable[aKind].mLimit : 0;
}

std::string_view
MessageKindName(size_t aKind)
{
  return aKind < kKinds ? kKindTable[aKind].mName : "unknown";
}

Codec::Codec(Options aOptions)
  : mOptions(std::move(aOptions))
{
  EVP_MAC* mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  std::string digest = "SHA256";
  const std::array<OSSL_PARAM, 2> params{
    OSSL_PARAM_construct_utf8_string(
      OSSL_MAC_PARAM_DIGEST, digest.data(), digest.size()),
    OSSL_PARAM_construct_end(),
  };
  mKeyed.reset(EVP_MAC_CTX_new(mac), &EVP_MAC_CTX_free);
  EVP_MAC_init(mKeyed.get(),
               reinterpret_cast<const unsigned char*>(mOptions.mKey.data()),
               mOptions.mKey.size(),
               params.data());
  EVP_MAC_free(mac);
}

Codec::Tag
Codec::MakeTag(std::string_view aBytes) const
{
  // Copying the keyed state is cheaper than looking the algorithm up and
  // hashing the key for each message.
  const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(
    EVP_MAC_CTX_dup(mKeyed.get()), &EVP_MAC_CTX_free);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  size_t n = 0;
  EVP_MAC_update(context.get(),
                 reinterpret_cast<const unsigned char*>(aBytes.data()),
                 aBytes.size());
  EVP_MAC_final(context.get(), digest.data(), &n, digest.size());
  Tag tag{};
  std::memcpy(tag.data(), digest.data(), tag.size());
  return tag;
}

Result<std::string>
Codec::Encode(const Envelope& aEnvelope) const
{
  msgpack::sbuffer buf;
  msgpack::packer<msgpack::sbuffer> packer(buf);
  packer.pack_array(kEnvelopeFields);
  packer.pack(mOptions.mVersion);
  packer.pack(mOptions.mCluster);
  packer.pack(aEnvelope.mFrom.mId.mValue);
  packer.pack(aEnvelope.mFrom.mIncarnation.mValue);
  packer.pack(aEnvelope.mFromAddress);
  packer.pack(aEnvelope.mTo.mId.mValue);
  packer.pack(aEnvelope.mTo.mIncarnation.mValue);
  packer.pack(aEnvelope.mSequence);
  packer.pack(uint64_t(aEnvelope.mMessage.index()));
  std::visit([&](const auto& aBody) { packer.pack(aBody); },
             aEnvelope.mMessage);
  const size_t kind = aEnvelope.mMessage.index();
  const size_t total = buf.size() + kTagBytes;
  if (total > MaxMessageBytes(kind)) {
    return Error{ Step::Send,
                  aEnvelope.mTo.mId.mValue,
                  fmt::format("{} of {} bytes exceeds the limit of {}",
                              MessageKindName(kind),
                              total,
                              MaxMessageBytes(kind)) };
  }
  std::string out;
  out.reserve(total);
  out.append(buf.data(), buf.size());
  const Tag tag = MakeTag(out);
  out.append(tag.data(), tag.size());
  return out;
}

std::variant<Envelope, Rejection>
Codec::Decode(std::string_view aBytes, const NodeRef& aSelf) const
{
  if (aBytes.size() > kLargestMessage) {
    return Rejection::TooLarge;
  }
  if (aBytes.size() <= kTagBytes) {
    return Rejection::Truncated;
  }
  const std::string_view content = aBytes.substr(0, aBytes.size() - kTagBytes);
  const Tag tag = MakeTag(content);
  if (CRYPTO_memcmp(tag.data(), aBytes.data() + content.size(), tag.size()) !=
      0) {
    return Rejection::BadTag;
  }
  try {
    const auto byReference = [](msgpack::type::object_type, size_t, void*) {
      return true;
    };
    const msgpack::object_handle handle = msgpack::unpack(
      content.data(),
      content.size(),
      byReference,
      nullptr,
      msgpack::unpack_limit(
        100'000, 1'000, kLargestMessage, kLargestMessage, kLargestMessage, 32));
    const msgpack::object& root = handle.get();
    Envelope envelope;
    size_t kind = 0;
    if (const auto rejection = ReadHead(
          root, mOptions.mCluster, mOptions.mVersion, envelope, kind)) {
      return *rejection;
    }
    if (kind >= kKinds) {
      return Rejection::UnknownKind;
    }
    if (aBytes.size() > MaxMessageBytes(kind)) {
      return Rejection::TooLarge;
    }
    if (!envelope.mTo.mId.IsEmpty() && envelope.mTo.mId != aSelf.mId) {
      return Rejection::WrongAddressee;
    }
    const msgpack::object& body = root.via.array.ptr[kEnvelopeFields - 1];
    if (body.type != msgpack::type::ARRAY) {
      return Rejection::Malformed;
    }
    envelope.mMessage = ConvertBody(kind, body);
    if (!HasValidEnums(envelope.mMessage)) {
      return Rejection::Malformed;
    }
    if (BelongsToIncarnation(envelope.mMessage) &&
        envelope.mTo.mIncarnation.mValue != 0 &&
        envelope.mTo.mIncarnation != aSelf.mIncarnation) {
      return Rejection::WrongAddressee;
    }
    return envelope;
  } catch (const std::exception&) {
    return Rejection::Malformed;
  }
}

} // namespace amaranthgap
