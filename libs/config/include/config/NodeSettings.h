#pragma once

#include <string>
#include <vector>

#include "base/Logger.h"
#include "config/Manifest.h"

namespace amaranthgap {

/** Settings of one node, read once at startup. */
struct NodeSettings
{
  std::string mCluster;
  std::string mNodeId;
  std::string mRegion;
  std::string mDataCentre;
  std::string mCallerAddress; ///< HTTP for external callers, `ip:port`.
  std::string mLocalAddress;  ///< HTTP for the upstream and operators.
  std::string mPeerAddress;   ///< nng (TCP) and UDP, as advertised to peers.
  std::string mPeerListenAddress; ///< Bound for peers; default mPeerAddress.
  std::string mStoreAddress; ///< HTTP of the platform's store; may be empty.
  std::vector<std::string> mStaticPeers;
  std::string mInnerKey; ///< Secret shared by the nodes, 16 to 256 bytes.
  LogLevel mLogLevel = LogLevel::Info;
  uint32_t mMaxCallerConnections = 2000;
  uint32_t mMaxCallerCalls = 512;   ///< Concurrent calls of external callers.
  uint32_t mMaxUpstreamCalls = 256; ///< Concurrent calls to the upstream.
  uint32_t mMaxHeaderBytes = 16 * 1024;
  Duration mDrainTimeout = seconds(30);
  uint64_t mRandomSeed = 0; ///< 0: chosen at startup.
  /** Forwards calls with per-hop retries and without limits or throttles. Only
   * for the baseline runs of the benchmark. */
  bool mPolicyOff = false;
};

/** Parses and validates a settings file.
 * @param aFile file name to report in problems.
 * @return the settings, or all problems found. */
ConfigResult<NodeSettings>
ParseNodeSettings(std::string_view aText, const std::string& aFile);

} // namespace amaranthgap
