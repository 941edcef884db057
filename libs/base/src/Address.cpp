#include "base/Address.h"

#include <charconv>

#include <arpa/inet.h>

namespace amaranthgap {

std::optional<Address>
ParseAddress(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  Address out{ .mHost = std::string(aText.substr(0, colon)) };
  const char* end = aText.data() + aText.size();
  const auto [at, ec] =
    std::from_chars(aText.data() + colon + 1, end, out.mPort);
  if (ec != std::errc() || at != end) {
    return std::nullopt;
  }
  return out;
}

bool
IsIpv4Address(const std::string& aHost)
{
  in_addr parsed{};
  return inet_pton(AF_INET, aHost.c_str(), &parsed) == 1;
}

bool
IsConnectable(std::string_view aText)
{
  const auto address = ParseAddress(aText);
  return address && address->mPort != 0 && IsIpv4Address(address->mHost);
}

} // namespace amaranthgap
