#pragma once

#include <string>
#include <vector>

#include "base/Logger.h"
#include "config/Manifest.h"

namespace amaranthgap {

/** Settings of one node, read once at the start. */
struct NodeSettings
{
  std::string mCluster;
  std::string mNodeId;
  std::string mRegion;
  std::string mDataCentre;
  std::string mCallerAddress; ///< HTTP for external callers, `ip:port`.
  std::string mLocalAddress;  ///< HTTP for the upstream and operators.
  std::string mPeerAddress;   ///< nng (TCP) and UDP, as told to other nodes.
  std::string mPeerListenAddress; ///< Bound for them; the same by default.
  std::string mStoreAddress; ///< HTTP of the platform's store; may be empty.
  std::vector<std::string> mStaticPeers;
  std::string mInnerKey; ///< Secret of the inner protocol, 16 bytes or more.
  LogLevel mLogLevel = LogLevel::Info;
  uint32_t mMaxCallerConnections = 2000;
  uint32_t mMaxCallerCalls = 512;   ///< Concurrent calls of external callers.
  uint32_t mMaxUpstreamCalls = 256; ///< Concurrent calls to the upstream.
  uint32_t mMaxHeaderBytes = 16 * 1024;
  Duration mDrainTimeout = seconds(30);
  uint64_t mRandomSeed = 0; ///< 0: drawn at the start.
  /** Plain forwarding with per-hop retries and without limits or throttles;
   * for comparison runs of the benchmark only. */
  bool mPolicyOff = false;
};

/** Reads and validates a settings file; every problem names its line. */
ConfigResult<NodeSettings>
ParseNodeSettings(std::string_view aText, const std::string& aFile);

} // namespace amaranthgap
