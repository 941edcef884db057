#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthgap {

/** Host and port of an address. */
struct Address
{
  std::string mHost;
  uint16_t mPort = 0;
};

/** @return the parts of `host:port`, or nothing if the host is empty or the
 * port is not within 0 to 65535. The host is not validated. */
std::optional<Address>
ParseAddress(std::string_view aText);

/** @return whether the text is an IPv4 address. */
bool
IsIpv4Address(const std::string& aHost);

/** @return whether the text is `ip:port` with a port that can be connected to.
 */
bool
IsConnectable(std::string_view aText);

} // namespace amaranthgap
