// What a proxy does with the reports and notices of its upstream.

#include "ProxyParts.h"

#include <fmt/format.h>

namespace amaranthgap {

namespace {

// A status check costs the upstream a request. It waits this long for the store
// to tell that there was no earlier process, which makes it unnecessary.
constexpr Duration kRegistrationPatience = milliseconds(500);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

} // namespace

HttpResponse
ProxyProcess::Parts::AnswerUpstream(const HttpRequest& aRequest)
{
  const TimePoint now = EventLoop::Now();
  auto message = mBinding.mReadUpstream(aRequest);
  if (!message) {
    mLogger.Write(
      now,
      LogLevel::Warning,
      "upstream-message-unusable",
      { { "path", aRequest.mPath }, { "detail", message.error().ToString() } });
    return { .mStatus = kBadRequest };
  }
  if (const auto* report = std::get_if<UpstreamReport>(&message.value())) {
    const ReportOutcome verdict = mHeartbeats.Offer(now, *report);
    if (verdict == ReportOutcome::Current) {
      ApplyReport(now);
    } else {
      mLogger.Write(now,
                    LogLevel::Info,
                    "upstream-report-ignored",
                    { { "verdict", std::string(ToName(verdict)) },
                      { "instance", report->mInstance },
                      { "service", report->mService },
                      { "started", std::to_string(report->mStartedMillis) },
                      { "sequence", std::to_string(report->mSequence) } });
    }
  } else {
    const auto& end = std::get<UpstreamEnd>(message.value());
    UpstreamLeaves(now, end.mInstance, end.mStartedMillis);
    mLogger.Write(now,
                  LogLevel::Info,
                  "upstream-ended",
                  { { "instance", end.mInstance },
                    { "started", std::to_string(end.mStartedMillis) } });
  }
  CheckStatus(now);
  return { .mStatus = kOk,
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody = "{}" };
}

void
ProxyProcess::Parts::ApplyReport(TimePoint aNow)
{
  if (const UpstreamReport* latest = mHeartbeats.Latest()) {
    mUpstream.SetReport(aNow, *latest, mHeartbeats.TakesWork());
  }
  mForwarder.SetService(mHeartbeats.Service());
}

void
ProxyProcess::Parts::FirstRegistered(TimePoint aNow, bool aHadEntry)
{
  mHadEntry = aHadEntry;
  if (!aHadEntry && mHeartbeats.NoEarlierProcess(aNow)) {
    ApplyReport(aNow);
  }
  CheckStatus(aNow);
}

void
ProxyProcess::Parts::CheckStatus(TimePoint aNow)
{
  const UpstreamReport* run = mHeartbeats.Unconfirmed();
  if (!run || mStatusCheck.IsUnderWay() || !mRoutes) {
    return;
  }
  mIsCheckDeferred = !mHadEntry && aNow - mStarted < kRegistrationPatience;
  if (mIsCheckDeferred) {
    return;
  }
  const ServiceOptions* service = mRoutes->FindService(run->mService);
  if (!service) {
    return; // Until the operators configure it, it gets no requests.
  }
  if (service->mHealthPath.empty()) {
    StatusChecked(aNow, UpstreamReport(*run), {});
  } else {
    mStatusCheck.Start(service->mHealthPath,
                       [this, checked = *run](const UpstreamStatus& aStatus) {
                         StatusChecked(EventLoop::Now(), checked, aStatus);
                       });
  }
}

void
ProxyProcess::Parts::StatusChecked(TimePoint aNow,
                                   const UpstreamReport& aChecked,
                                   const UpstreamStatus& aStatus)
{
  const bool isConfirmed = mHeartbeats.StatusChecked(aNow, aChecked, aStatus);
  mLogger.Write(aNow,
                LogLevel::Info,
                "upstream-checked",
                { { "instance", aChecked.mInstance },
                  { "started", std::to_string(aChecked.mStartedMillis) },
                  { "verdict", std::string(ToName(aStatus.mVerdict)) },
                  { "answered_by", aStatus.mInstance },
                  { "confirmed", isConfirmed ? "yes" : "no" } });
  if (isConfirmed) {
    ApplyReport(aNow);
  } else {
    mForwarder.SetService(mHeartbeats.Service());
  }
}

void
ProxyProcess::Parts::UpstreamLeaves(TimePoint aNow,
                                    const std::string& aInstance,
                                    int64_t aStartedMillis)
{
  if (mHeartbeats.Ended(aNow, aInstance, aStartedMillis)) {
    ApplyReport(aNow);
  }
}

void
ProxyProcess::Parts::NoticeReturned(TimePoint aNow,
                                    const NodeAddress& aPeer,
                                    const UpstreamNotice& aNotice)
{
  const auto& rate = aNotice.mRequestsPerSecond;
  mLogger.Write(aNow,
                LogLevel::Info,
                "upstream-notice-returned",
                { { "peer", aPeer.mNode },
                  { "instance", aNotice.mInstance },
                  { "limit_per_s", rate ? fmt::format("{:.2f}", *rate) : "" },
                  { "leaving", aNotice.mIsLeaving ? "yes" : "no" } });
  if (aNotice.mIsLeaving) {
    UpstreamLeaves(aNow, aNotice.mInstance, aNotice.mStartedMillis);
  }
  mUpstream.ReturnNotice(aNow, aNotice);
}

CrashExchange::Outlets
ProxyProcess::Parts::CrashOutlets()
{
  return { .mSend =
             [this](const CrashNotice& aNotice,
                    const CrashExchange::PeerFilter& aFilter) {
               SendCrashes(aNotice, aFilter);
             },
           .mKeep =
             [this](TimePoint aNow, const CrashNotice& aVerdicts) {
               mQuarantines.Keep(aNow, aVerdicts);
             },
           .mReadKept =
             [this](bool aIsUrgent) {
               // A node that has lost the others watches the store by itself.
               if (aIsUrgent || mDiscovery->IsWatching()) {
                 mQuarantines.ReadSoon();
               }
             } };
}

void
ProxyProcess::Parts::SendCrashes(const CrashNotice& aNotice,
                                 const CrashExchange::PeerFilter& aFilter)
{
  mLinks.SendCrashes(aNotice, aFilter);
  mPeerServer.SendCrashes(aNotice, [&](const CrashExchange::Peer& aPeer) {
    return !mLinks.IsConnected(aPeer.mNode) && aFilter(aPeer);
  });
}

void
ProxyProcess::Parts::UpstreamChanged()
{
  ++mRevision;
  if (!mUpstream.Service().empty()) {
    mDiscovery->SetService(mUpstream.Service());
    mCrashes.SetService(mUpstream.Service());
  }
  const NodeState state = OwnState();
  mLogger.Write(EventLoop::Now(),
                LogLevel::Info,
                "upstream-changed",
                { { "service", state.mService },
                  { "instance", state.mInstance },
                  { "takes_work", state.mTakesWork ? "yes" : "no" },
                  { "limit", std::to_string(state.mLimit) } });
  mForwarder.Targets().SetTarget(EventLoop::Now(), state);
  mPeerServer.Announce();
}

} // namespace amaranthgap
