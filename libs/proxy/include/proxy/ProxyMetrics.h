#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "proxy/Forwarder.h"

namespace amaranthgap {

/** Values of one proxy that it serves to operators. */
struct ProxyMetrics
{
  ForwarderCounts mCounts; ///< Since the start of the process.
  uint64_t mInFlight = 0;
  uint64_t mUpstreamInFlight = 0;
  uint64_t mUpstreamSlots = 0;   ///< Requests that may run there at once.
  uint64_t mUpstreamSent = 0;    ///< Attempts sent to the upstream.
  uint64_t mUpstreamCrashes = 0; ///< With requests in flight.
  /** Fingerprints of requests under suspicion of crashing upstreams. */
  uint64_t mOnProbation = 0;
  uint64_t mQuarantined = 0;
  /** Requests per second that the upstream takes; no limit if empty. */
  std::optional<double> mUpstreamRateLimit;
  uint64_t mResponseBytes = 0; ///< Memory of incomplete responses.
  uint64_t mPeakResponseBytes = 0;
  const MemoryAccount* mAccount = nullptr; ///< Not null.
  CallerSide::ShedCounts mShed;
  uint64_t mCallerConnections = 0;
  uint64_t mConnectedPeers = 0;
  uint64_t mKnownNodes = 0;
  bool mWatchesStore = false;
  bool mReachesStore = true;
  uint64_t mStoreEra = 0; ///< 0 if unknown.
  uint64_t mRoutesVersion = 0;
};

/** @return the metrics in the text exposition format. */
std::string
FormatMetrics(const ProxyMetrics& aMetrics);

} // namespace amaranthgap
