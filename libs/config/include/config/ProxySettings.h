#pragma once

#include <cstdint>
#include <string>

#include "base/Logger.h"
#include "base/Time.h"
#include "config/Manifest.h"

namespace amaranthgap {

/** Settings of one proxy process. */
struct ProxySettings
{
  std::string mNodeId;
  std::string mRegion;
  std::string mDataCentre;
  std::string mService;         ///< Service of the upstream on this host.
  std::string mUpstreamAddress; ///< `ip:port`, like all addresses.
  std::string mCallerAddress;   ///< For callers and calls by the upstream.
  std::string mReadyAddress;
  std::string mReportAddress; ///< For reports from the upstream.
  std::string mPeerAddress;   ///< For other nodes.
  std::string mStoreAddress;
  Duration mShutdownTime = seconds(6); ///< Time from SIGTERM to SIGKILL.
  /** Memory of the host, in megabytes, which bounds what the process holds for
   * others. The default is that of the smallest hosts. */
  uint32_t mMemoryMegabytes = 160;
  /** Descriptors that the process may open. */
  uint32_t mMaxDescriptors = 4000;
  /** Whether an upstream that has just started or recovered is paced. */
  bool mPacesStart = false;
  LogLevel mLogLevel = LogLevel::Info;
  uint32_t mLogLinesPerSecond = 20; ///< Per log event.
};

/** Parses and validates a settings file.
 * @param aFile file name to report in problems.
 * @return the settings, or all problems found. */
ConfigResult<ProxySettings>
ParseProxySettings(std::string_view aText, const std::string& aFile);

} // namespace amaranthgap
