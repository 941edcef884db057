#include "proxy/ProxyMetrics.h"

#include <fmt/format.h>

namespace amaranthgap {

std::string
FormatMetrics(const ProxyMetrics& aMetrics)
{
  const ForwarderCounts& counts = aMetrics.mCounts;
  std::string out;
  const auto add = [&](const char* aName, const char* aType, uint64_t aValue) {
    out += fmt::format("# TYPE amaranthgap_{0} {1}\namaranthgap_{0} {2}\n",
                       aName,
                       aType,
                       aValue);
  };
  add("requests_total", "counter", counts.mRequests);
  add("answered_total", "counter", counts.mAnswered);
  add("refused_total", "counter", counts.mRefused);
  add("failed_total", "counter", counts.mFailed);
  add("throttled_total", "counter", counts.mThrottled);
  add("quarantine_refusals_total", "counter", counts.mQuarantined);
  add("retries_total", "counter", counts.mRetries);
  add("redirects_total", "counter", counts.mRedirects);
  add("cancelled_total", "counter", counts.mCancelled);
  add("memory_refusals_total", "counter", counts.mNoMemory);
  add("unauthorized_total", "counter", counts.mUnauthorized);
  add("over_allowance_total", "counter", counts.mOverAllowance);
  add("in_flight", "gauge", aMetrics.mInFlight);
  add("upstream_in_flight", "gauge", aMetrics.mUpstreamInFlight);
  add("upstream_slots", "gauge", aMetrics.mUpstreamSlots);
  add("upstream_sent_total", "counter", aMetrics.mUpstreamSent);
  add("upstream_crashes_total", "counter", aMetrics.mUpstreamCrashes);
  add("fingerprints_on_probation", "gauge", aMetrics.mOnProbation);
  add("fingerprints_quarantined", "gauge", aMetrics.mQuarantined);
  if (aMetrics.mUpstreamRateLimit) {
    out += fmt::format("# TYPE amaranthgap_upstream_rate_limit gauge\n"
                       "amaranthgap_upstream_rate_limit {:.3f}\n",
                       *aMetrics.mUpstreamRateLimit);
  }
  add("response_buffer_bytes", "gauge", aMetrics.mResponseBytes);
  add("response_buffer_peak_bytes", "gauge", aMetrics.mPeakResponseBytes);
  for (const auto& [use, name] : EnumNames<MemoryUse>::kNames) {
    add(fmt::format("held_{}_bytes", name).c_str(),
        "gauge",
        aMetrics.mAccount->HeldFor(use));
  }
  add("held_bytes", "gauge", aMetrics.mAccount->Held());
  add("held_peak_bytes", "gauge", aMetrics.mAccount->Peak());
  add("held_limit_bytes", "gauge", aMetrics.mAccount->Limit());
  add("callers_shed_for_memory_total", "counter", aMetrics.mShed.mForMemory);
  add("callers_shed_for_descriptors_total",
      "counter",
      aMetrics.mShed.mForDescriptors);
  add("caller_connections", "gauge", aMetrics.mCallerConnections);
  add("peers_connected", "gauge", aMetrics.mConnectedPeers);
  add("nodes_known", "gauge", aMetrics.mKnownNodes);
  add("store_watching", "gauge", aMetrics.mWatchesStore ? 1 : 0);
  add("store_reached", "gauge", aMetrics.mReachesStore ? 1 : 0);
  add("store_era", "gauge", aMetrics.mStoreEra);
  add("routes_version", "gauge", aMetrics.mRoutesVersion);
  return out;
}

} // namespace amaranthgap
