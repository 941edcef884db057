#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "Names.h"
#include "TableReader.h"
#include "base/Address.h"

namespace amaranthgap {

constexpr size_t kMaxSettingsBytes = size_t(1) << 20;
constexpr size_t kMaxStaticPeers = 64;

/** @return the parts of `host:port`, or nothing if the host is empty or the
 * port is not within 1 to 65535. The host is not validated. */
inline std::optional<Address>
ParseServiceAddress(std::string_view aText)
{
  auto out = ParseAddress(aText);
  return out && out->mPort != 0 ? out : std::nullopt;
}

/** Reads the addresses in one settings file and reports those that conflict
 * with an address that the process binds. Not thread-safe. */
class AddressReader
{
public:
  AddressReader(TableReader& aTable, ProblemList& aProblems)
    : mTable(aTable)
    , mProblems(aProblems)
  {
  }

  /** Reads an `ip:port` that the process binds. */
  std::string ReadListenAddress(std::string_view aKey)
  {
    const auto text = mTable.ReadString(aKey, Presence::Required);
    if (!text) {
      return {};
    }
    const auto address = ParseIpAddress(aKey, *text);
    if (address) {
      ReportCollision(aKey, *address);
      mListenAddresses.emplace_back(std::string(aKey), *address);
    }
    return *text;
  }

  /** Reads an `ip:port` that is only connected to, such as the address
   * advertised to other nodes. The port may belong to a forwarder on another
   * host, so it is not compared with the bound addresses. */
  std::string ReadAdvertisedAddress(std::string_view aKey)
  {
    const auto text = mTable.ReadString(aKey, Presence::Required);
    if (!text) {
      return {};
    }
    const auto address = ParseIpAddress(aKey, *text);
    if (address && address->mHost == "0.0.0.0") {
      mTable.Report(aKey, "out of range: must be an address to connect to");
    }
    return *text;
  }

  /** Reads an `ip:port` that the process binds on the loopback interface. */
  std::string ReadLoopbackAddress(std::string_view aKey)
  {
    std::string text = ReadListenAddress(aKey);
    if (const auto address = ParseServiceAddress(text);
        address && IsIpv4Address(address->mHost) &&
        !address->mHost.starts_with("127.")) {
      mTable.Report(aKey, "out of range: must be a loopback address");
    }
    return text;
  }

  /** Reads an optional `host:port` of another process; empty if absent. */
  std::string ReadRemoteAddress(std::string_view aKey)
  {
    auto text = mTable.ReadString(aKey, Presence::Optional).value_or("");
    if (text.empty()) {
      return text;
    }
    const auto address = ParseServiceAddress(text);
    if (!address || !IsValidName(address->mHost)) {
      mTable.Report(aKey, "out of range: must be host:port");
    } else {
      ReportCollision(aKey, *address);
    }
    return text;
  }

  /** Reads an optional array of distinct `ip:port` texts. */
  std::vector<std::string> ReadPeers(std::string_view aKey)
  {
    std::vector<std::string> out;
    const toml::array* peers = mTable.ReadArray(aKey, Presence::Optional);
    if (!peers) {
      return out;
    }
    if (peers->size() > kMaxStaticPeers) {
      mTable.Report(
        aKey,
        fmt::format("out of range: more than {} entries", kMaxStaticPeers));
      return out;
    }
    for (const toml::node& node : *peers) {
      const auto key = fmt::format("{}[{}]", aKey, out.size());
      const auto line = node.source().begin.line;
      const auto text = node.value_exact<std::string>();
      const auto address = text ? ParseServiceAddress(*text) : std::nullopt;
      if (!text) {
        mProblems.Add(line, key, "wrong type: expected string");
      } else if (!address || !IsIpv4Address(address->mHost)) {
        mProblems.Add(line, key, "out of range: must be ip:port");
      } else if (std::find(out.begin(), out.end(), *text) != out.end()) {
        mProblems.Add(line, key, "duplicate address");
      }
      out.push_back(text.value_or(""));
    }
    return out;
  }

private:
  std::optional<Address> ParseIpAddress(std::string_view aKey,
                                        const std::string& aText)
  {
    auto address = ParseServiceAddress(aText);
    if (!address || !IsIpv4Address(address->mHost)) {
      mTable.Report(aKey, "out of range: must be ip:port, port 1 to 65535");
      return std::nullopt;
    }
    return address;
  }

  void ReportCollision(std::string_view aKey, const Address& aAddress)
  {
    for (const auto& [key, other] : mListenAddresses) {
      const bool sameHost = other.mHost == aAddress.mHost ||
                            other.mHost == "0.0.0.0" ||
                            aAddress.mHost == "0.0.0.0";
      if (other.mPort == aAddress.mPort && sameHost) {
        mTable.Report(aKey, fmt::format("duplicate address: same as {}", key));
      }
    }
  }

  TableReader& mTable;
  ProblemList& mProblems;
  std::vector<std::pair<std::string, Address>> mListenAddresses;
};

} // namespace amaranthgap
