#include "config/ProxySettings.h"

#include "AddressReader.h"
#include "TableReader.h"

namespace amaranthgap {

namespace {

void
ReadIdentity(TableReader& aTable, ProxySettings& aSettings)
{
  const auto name = [&](std::string_view aKey) {
    return aTable.ReadName(aKey, Presence::Required).value_or("");
  };
  aSettings.mNodeId = name("node_id");
  aSettings.mRegion = name("region");
  aSettings.mDataCentre = name("data_centre");
  aSettings.mService = name("service");
}

void
ReadAddresses(TableReader& aTable,
              ProblemList& aProblems,
              ProxySettings& aSettings)
{
  AddressReader reader(aTable, aProblems);
  aSettings.mCallerAddress = reader.ReadListenAddress("caller_address");
  aSettings.mReadyAddress = reader.ReadListenAddress("ready_address");
  aSettings.mReportAddress = reader.ReadListenAddress("report_address");
  aSettings.mPeerAddress = reader.ReadListenAddress("peer_address");
  aSettings.mUpstreamAddress = reader.ReadAdvertisedAddress("upstream_address");
  aSettings.mStoreAddress = reader.ReadAdvertisedAddress("store_address");
}

void
ReadOptions(TableReader& aTable, ProxySettings& aSettings)
{
  if (const auto value = aTable.ReadInteger(
        "shutdown_time_ms", Presence::Optional, { 100, 3'600'000 })) {
    aSettings.mShutdownTime = milliseconds(*value);
  }
  if (const auto value =
        aTable.ReadBoolean("pace_started_upstreams", Presence::Optional)) {
    aSettings.mPacesStart = *value;
  }
  if (const auto value = aTable.ReadInteger(
        "memory_mb", Presence::Optional, { 32, 1'000'000 })) {
    aSettings.mMemoryMegabytes = uint32_t(*value);
  }
  if (const auto value = aTable.ReadInteger(
        "max_descriptors", Presence::Optional, { 128, 1'000'000 })) {
    aSettings.mMaxDescriptors = uint32_t(*value);
  }
  if (const auto value = aTable.ReadInteger(
        "log_lines_per_second", Presence::Optional, { 1, 10'000 })) {
    aSettings.mLogLinesPerSecond = uint32_t(*value);
  }
  if (const auto name = aTable.ReadString("log_level", Presence::Optional)) {
    if (const auto level = FromName<LogLevel>(*name)) {
      aSettings.mLogLevel = *level;
    } else {
      aTable.Report("log_level",
                    "out of range: must be debug, info, warning or error");
    }
  }
}

} // namespace

ConfigResult<ProxySettings>
ParseProxySettings(std::string_view aText, const std::string& aFile)
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
  ProxySettings settings;
  TableReader reader(*root, "", problems);
  ReadIdentity(reader, settings);
  ReadAddresses(reader, problems, settings);
  ReadOptions(reader, settings);
  reader.ReportUnknownKeys();
  if (!problems.mProblems.empty()) {
    return std::move(problems.mProblems);
  }
  return settings;
}

} // namespace amaranthgap
