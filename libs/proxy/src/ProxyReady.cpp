// What a proxy answers on its address for readiness and metrics.

#include "ProxyParts.h"

#include "proxy/ProxyMetrics.h"

namespace amaranthgap {

namespace {

// A node that could not list the others is ready after this time all the same.
constexpr Duration kListPatience = seconds(3);

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

} // namespace

bool
ProxyProcess::Parts::IsReady(TimePoint aNow) const
{
  return mRoutes && !mShutdownSince &&
         (mDiscovery->IsListed() || aNow - mStarted > kListPatience);
}

HttpResponse
ProxyProcess::Parts::AnswerReady(const HttpRequest& aRequest) const
{
  if (aRequest.mPath == "/metrics") {
    return { .mStatus = kOk,
             .mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } },
             .mBody = MetricsText() };
  }
  if (aRequest.mPath != mBinding.mReadyPath) {
    return { .mStatus = kNotFound };
  }
  return { .mStatus = IsReady(EventLoop::Now()) ? kOk : kUnavailable };
}

std::string
ProxyProcess::Parts::MetricsText() const
{
  return FormatMetrics({ .mCounts = mForwarder.Counts(),
                         .mInFlight = mForwarder.InFlight(),
                         .mUpstreamInFlight = mUpstream.InFlight(),
                         .mUpstreamSlots = mUpstream.Limit(),
                         .mUpstreamSent = mUpstream.SentCount(),
                         .mUpstreamCrashes = mCrashes.CrashCount(),
                         .mOnProbation = mCrashes.Evidence().CountOf(
                           EventLoop::Now(), Suspicion::Probation),
                         .mQuarantined = mCrashes.Evidence().CountOf(
                           EventLoop::Now(), Suspicion::Quarantined),
                         .mUpstreamRateLimit = mUpstream.RateLimit(),
                         .mResponseBytes = mUpstream.ResponseBytes(),
                         .mPeakResponseBytes = mUpstream.PeakResponseBytes(),
                         .mAccount = mAccount.get(),
                         .mShed = mCallers.Shed(),
                         .mCallerConnections = mCallers.Connections(),
                         .mConnectedPeers = mLinks.Connected(),
                         .mKnownNodes = mDiscovery->KnownNodes(),
                         .mWatchesStore = mDiscovery->IsWatching(),
                         .mReachesStore = mDiscovery->ReachesStore(),
                         .mStoreEra = mDiscovery->StoreEra(),
                         .mRoutesVersion = mRoutes ? mRoutes->Version() : 0 });
}

} // namespace amaranthgap
