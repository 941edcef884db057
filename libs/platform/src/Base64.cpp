#include "platform/Base64.h"

#include <openssl/evp.h>

namespace amaranthgap {

std::string
EncodeBase64(std::string_view aData)
{
  // EVP_EncodeBlock also writes a terminating zero.
  std::string out(4 * ((aData.size() + 2) / 3) + 1, '\0');
  const int n =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                    reinterpret_cast<const unsigned char*>(aData.data()),
                    int(aData.size()));
  out.resize(size_t(n));
  return out;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string out(aText.size() / 4 * 3, '\0');
  const int n =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    int(aText.size()));
  if (n != int(out.size())) {
    return std::nullopt;
  }
  // EVP_DecodeBlock keeps the bytes that stand for the padding.
  for (size_t at = aText.size(); at > 0 && aText[at - 1] == '='; --at) {
    out.pop_back();
  }
  return out;
}

} // namespace amaranthgap
