#include "idempotency/IssuedKey.h"

#include <array>
#include <charconv>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace amaranthgap {
namespace {

constexpr std::string_view kVersion = "k1";
constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr size_t kFieldCount = 8; // Including the version, without the tag.
constexpr size_t kTagBytes = 16;  // As in messages between nodes.
constexpr size_t kMaxTextBytes = 1024;

std::string
ToHex(std::string_view aBytes)
{
  std::string text;
  for (const unsigned char c : aBytes) {
    text += kHexDigits[c >> 4];
    text += kHexDigits[c & 15];
  }
  return text;
}

bool
IsUnreserved(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_';
}

std::string
Escape(std::string_view aName)
{
  std::string text;
  for (const char c : aName) {
    if (IsUnreserved(c)) {
      text += c;
    } else {
      text += '~' + ToHex({ &c, 1 });
    }
  }
  return text;
}

std::optional<std::string>
Unescape(std::string_view aText)
{
  std::string name;
  for (size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '~') {
      name += aText[i];
      continue;
    }
    if (i + 2 >= aText.size()) {
      return std::nullopt;
    }
    const size_t high = kHexDigits.find(aText[i + 1]);
    const size_t low = kHexDigits.find(aText[i + 2]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    name += char(high * 16 + low);
    i += 2;
  }
  return name;
}

template<class T>
std::optional<T>
ParseNumber(std::string_view aText)
{
  T value{};
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (ec != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

std::string
ComputeTag(std::string_view aBody, std::string_view aSecret)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aSecret.data(),
       int(aSecret.size()),
       reinterpret_cast<const unsigned char*>(aBody.data()),
       aBody.size(),
       digest.data(),
       &size);
  return ToHex({ reinterpret_cast<const char*>(digest.data()), kTagBytes });
}

std::vector<std::string_view>
Split(std::string_view aText)
{
  std::vector<std::string_view> fields;
  for (;;) {
    const size_t dot = aText.find('.');
    fields.push_back(aText.substr(0, dot));
    if (dot == std::string_view::npos) {
      return fields;
    }
    aText.remove_prefix(dot + 1);
  }
}

} // namespace

std::string
IssuedKey::ToText(std::string_view aSecret) const
{
  std::string body{ kVersion };
  for (const std::string& name :
       { mService, mRequestClass, mParty, mNode.mId.mValue }) {
    body += '.' + Escape(name);
  }
  body += '.' + std::to_string(mNode.mIncarnation.mValue);
  body += '.' + std::to_string(mSequence);
  body += '.' + std::to_string(mIssuedMillis);
  return body + '.' + ComputeTag(body, aSecret);
}

std::optional<IssuedKey>
IssuedKey::FromText(std::string_view aText, std::string_view aSecret)
{
  const size_t last = aText.rfind('.');
  if (aText.size() > kMaxTextBytes || last == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view body = aText.substr(0, last);
  const std::string_view tag = aText.substr(last + 1);
  const std::string expected = ComputeTag(body, aSecret);
  if (tag.size() != expected.size() ||
      CRYPTO_memcmp(tag.data(), expected.data(), tag.size()) != 0) {
    return std::nullopt;
  }
  const auto fields = Split(body);
  if (fields.size() != kFieldCount || fields[0] != kVersion) {
    return std::nullopt;
  }
  const auto service = Unescape(fields[1]);
  const auto requestClass = Unescape(fields[2]);
  const auto party = Unescape(fields[3]);
  const auto node = Unescape(fields[4]);
  const auto incarnation = ParseNumber<uint64_t>(fields[5]);
  const auto sequence = ParseNumber<uint64_t>(fields[6]);
  const auto issuedMillis = ParseNumber<int64_t>(fields[7]);
  if (!service || !requestClass || !party || !node || !incarnation ||
      !sequence || !issuedMillis) {
    return std::nullopt;
  }
  return IssuedKey{ .mService = *service,
                    .mRequestClass = *requestClass,
                    .mParty = *party,
                    .mNode = { { *node }, { *incarnation } },
                    .mSequence = *sequence,
                    .mIssuedMillis = *issuedMillis };
}

} // namespace amaranthgap
