#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "base/EnumNames.h"
#include "base/Error.h"
#include "wire/Messages.h"

struct evp_mac_ctx_st; // EVP_MAC_CTX

namespace amaranthgap {

/** Version of the inner protocol that this build sends. It also takes the
 * neighbouring versions: the next one may append fields to a body, which are
 * skipped here. */
constexpr uint32_t kProtocolVersion = 1;

/** Cause for dropping a received message. */
enum class Rejection : uint8_t
{
  TooLarge,
  Truncated,
  BadTag,
  Malformed,
  WrongVersion,
  WrongCluster,
  UnknownKind,
  WrongAddressee,
  Replayed,
};

template<>
struct EnumNames<Rejection>
{
  static constexpr std::array kNames{
    std::pair{ Rejection::TooLarge, std::string_view{ "too-large" } },
    std::pair{ Rejection::Truncated, std::string_view{ "truncated" } },
    std::pair{ Rejection::BadTag, std::string_view{ "bad-tag" } },
    std::pair{ Rejection::Malformed, std::string_view{ "malformed" } },
    std::pair{ Rejection::WrongVersion, std::string_view{ "wrong-version" } },
    std::pair{ Rejection::WrongCluster, std::string_view{ "wrong-cluster" } },
    std::pair{ Rejection::UnknownKind, std::string_view{ "unknown-kind" } },
    std::pair{ Rejection::WrongAddressee,
               std::string_view{ "wrong-addressee" } },
    std::pair{ Rejection::Replayed, std::string_view{ "replayed" } },
  };
};

/** @return the size limit of a message kind in bytes, envelope and tag
 * included; 0 for an unknown kind. */
size_t
MaxMessageBytes(size_t aKind);

/** @return a short name of a message kind, for logs and metrics. */
std::string_view
MessageKindName(size_t aKind);

/**
 * Turns envelopes into authenticated bytes and back. A message is a msgpack
 * array followed by the first 16 bytes of an HMAC-SHA256 over that array. The
 * tag is checked before anything is parsed.
 *
 * Immutable; safe for use by several threads.
 */
class Codec
{
public:
  struct Options
  {
    std::string mCluster;
    std::string mKey;
    uint32_t mVersion = kProtocolVersion;
  };

  static constexpr size_t kTagBytes = 16;
  /** Limit of the largest kinds, for the sockets. */
  static constexpr size_t kLargestMessage = size_t(1024) * 1024;

  explicit Codec(Options aOptions);

  /** @return the bytes, or an error when the message exceeds its limit. */
  [[nodiscard]] Result<std::string> Encode(const Envelope& aEnvelope) const;

  /**
   * Verifies and parses one message.
   * @param aSelf the receiving node. Messages that answer to a call of an
   *   earlier incarnation are dropped. Others pass with another incarnation,
   *   because the addressee answers them with its present one.
   */
  [[nodiscard]] std::variant<Envelope, Rejection> Decode(
    std::string_view aBytes,
    const NodeRef& aSelf) const;

private:
  using Tag = std::array<char, kTagBytes>;

  [[nodiscard]] Tag MakeTag(std::string_view aBytes) const;

  Options mOptions;
  std::shared_ptr<evp_mac_ctx_st> mKeyed; ///< Copied for each tag.
};

} // namespace amaranthgap
