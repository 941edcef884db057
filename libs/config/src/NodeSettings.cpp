#include "config/NodeSettings.h"

#include <fmt/format.h>

#include "AddressReader.h"
#include "TableReader.h"

namespace amaranthgap {

namespace {

constexpr size_t kMinInnerKeyBytes = 16;
constexpr size_t kMaxInnerKeyBytes = 256;

void
ReadCount(TableReader& aTable,
          std::string_view aKey,
          IntegerRange aRange,
          uint32_t& aValue)
{
  if (const auto value = aTable.ReadInteger(aKey, Presence::Optional, aRange)) {
    aValue = uint32_t(*value);
  }
}

void
ReadIdentity(TableReader& aTable, NodeSettings& aSettings)
{
  const auto name = [&](std::string_view aKey) {
    return aTable.ReadName(aKey, Presence::Required).value_or("");
  };
  aSettings.mCluster = name("cluster");
  aSettings.mNodeId = name("node_id");
  aSettings.mRegion = name("region");
  aSettings.mDataCentre = name("data_centre");
  if (const auto key = aTable.ReadString("inner_key", Presence::Required)) {
    if (key->size() < kMinInnerKeyBytes || key->size() > kMaxInnerKeyBytes) {
      aTable.Report("inner_key",
                    fmt::format("out of range: must have {} to {} bytes",
                                kMinInnerKeyBytes,
                                kMaxInnerKeyBytes));
    }
    aSettings.mInnerKey = *key;
  }
}

void
ReadAddresses(TableReader& aTable,
              ProblemList& aProblems,
              NodeSettings& aSettings)
{
  AddressReader reader(aTable, aProblems);
  aSettings.mCallerAddress = reader.ReadListenAddress("caller_address");
  aSettings.mLocalAddress = reader.ReadLoopbackAddress("local_address");
  if (aTable.Has("peer_listen_address")) {
    aSettings.mPeerAddress = reader.ReadAdvertisedAddress("peer_address");
    aSettings.mPeerListenAddress =
      reader.ReadListenAddress("peer_listen_address");
  } else {
    aSettings.mPeerAddress = reader.ReadListenAddress("peer_address");
    aSettings.mPeerListenAddress = aSettings.mPeerAddress;
  }
  aSettings.mStoreAddress = reader.ReadRemoteAddress("store_address");
  aSettings.mStaticPeers = reader.ReadPeers("static_peers");
}

void
ReadLimits(TableReader& aTable, NodeSettings& aSettings)
{
  ReadCount(aTable,
            "max_caller_connections",
            { 1, 65535 },
            aSettings.mMaxCallerConnections);
  ReadCount(
    aTable, "max_caller_calls", { 1, 65535 }, aSettings.mMaxCallerCalls);
  ReadCount(
    aTable, "max_upstream_calls", { 1, 65535 }, aSettings.mMaxUpstreamCalls);
  ReadCount(
    aTable, "max_header_bytes", { 1024, 1 << 20 }, aSettings.mMaxHeaderBytes);
  if (const auto value = aTable.ReadInteger(
        "drain_timeout_ms", Presence::Optional, { 100, 3'600'000 })) {
    aSettings.mDrainTimeout = milliseconds(*value);
  }
}

void
ReadOptions(TableReader& aTable, NodeSettings& aSettings)
{
  if (const auto name = aTable.ReadString("log_level", Presence::Optional)) {
    if (const auto level = FromName<LogLevel>(*name)) {
      aSettings.mLogLevel = *level;
    } else {
      aTable.Report("log_level",
                    "out of range: must be debug, info, warning or error");
    }
  }
  if (const auto seed = aTable.ReadInteger(
        "random_seed", Presence::Optional, { 0, INT64_MAX })) {
    aSettings.mRandomSeed = uint64_t(*seed);
  }
  aSettings.mPolicyOff =
    aTable.ReadBoolean("policy_off", Presence::Optional).value_or(false);
}

} // namespace

ConfigResult<NodeSettings>
ParseNodeSettings(std::string_view aText, const std::string& aFile)
{
  ProblemList problems{ .mFile = aFile };
  if (aText.size() > kMaxSettingsBytes) {
    problems.Add(1, "(file)", "out of range: larger than 1 MB");
    return std::move(problems.mProblems);
  }
  const auto root = ParseToml(aText, problems);
  if (!root) {
    return std::move(problems.mProblems);
  }
  NodeSettings settings;
  TableReader reader(*root, "", problems);
  ReadIdentity(reader, settings);
  ReadAddresses(reader, problems, settings);
  ReadLimits(reader, settings);
  ReadOptions(reader, settings);
  reader.ReportUnknownKeys();
  if (!problems.mProblems.empty()) {
    return std::move(problems.mProblems);
  }
  return settings;
}

} // namespace amaranthgap
