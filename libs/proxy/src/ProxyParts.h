#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "proxy/CallerSide.h"
#include "proxy/CrashExchange.h"
#include "proxy/Discovery.h"
#include "proxy/Forwarder.h"
#include "proxy/PeerLinks.h"
#include "proxy/PeerServer.h"
#include "proxy/ProxyProcess.h"
#include "proxy/QuarantineRecords.h"
#include "proxy/StatusCheck.h"
#include "proxy/UpstreamSide.h"

namespace amaranthgap {

/** The parts of a proxy and what they tell each other. */
struct ProxyProcess::Parts
{
  Parts(EventLoop& aLoop, ProxySettings aSettings, Binding aBinding);

  Status Start();
  void Tick(TimePoint aNow);
  void SlowTick(TimePoint aNow);
  void StartShutdown(TimePoint aNow);
  /** Goes on with a shutdown that was started. */
  void ContinueShutdown(TimePoint aNow);
  /** Closes the connections of callers, of the upstream's reports and of
   * questions for readiness, once they have their answers. */
  void FinishCallers(TimePoint aNow);
  /** @return the connections that others have opened. */
  [[nodiscard]] size_t OpenConnections() const;
  void Stop(TimePoint aNow);
  void TakeRoutes(const std::string& aDocument, const char* aFrom);
  /** Logs routes that are not taken. */
  void LogOldRoutes(const RouteTable& aTable,
                    const std::string& aDocument,
                    const char* aFrom);
  void PeerState(TimePoint aNow, const NodeState& aState);
  void Announce();
  HttpResponse AnswerReady(const HttpRequest& aRequest) const;
  HttpResponse AnswerUpstream(const HttpRequest& aRequest);
  std::string MetricsText() const;
  NodeState OwnState() const;
  uint64_t Send(TimePoint aNow,
                const std::string& aNode,
                ForwardRequest aRequest,
                std::function<void(ForwardReply)> aDone);
  CrashExchange::Outlets CrashOutlets();
  /** Sends a notice once to each connected node that a function selects. */
  void SendCrashes(const CrashNotice& aNotice,
                   const CrashExchange::PeerFilter& aFilter);
  void UpstreamChanged();
  /** Takes no more work for a run of the upstream that leaves. */
  void UpstreamLeaves(TimePoint aNow,
                      const std::string& aInstance,
                      int64_t aStartedMillis);
  /** Takes over what is known of the upstream. */
  void ApplyReport(TimePoint aNow);
  /** Takes whether the store had an entry of an earlier process of this node.
   */
  void FirstRegistered(TimePoint aNow, bool aHadEntry);
  /** Tells other nodes of the usage of customers. */
  void ReportUsage(TimePoint aNow);
  void SendUsage(const std::vector<UsageExchange::Outgoing>& aReports);
  void UsageReceived(TimePoint aNow,
                     const CrashExchange::Peer& aFrom,
                     const CustomerUsageReport& aReport);
  /** Checks the status of an upstream that is not confirmed yet. */
  void CheckStatus(TimePoint aNow);
  void StatusChecked(TimePoint aNow,
                     const UpstreamReport& aChecked,
                     const UpstreamStatus& aStatus);
  /** Takes what the upstream told before this process started. */
  void NoticeReturned(TimePoint aNow,
                      const NodeAddress& aPeer,
                      const UpstreamNotice& aNotice);
  [[nodiscard]] bool IsReady(TimePoint aNow) const;
  /** @return the bytes that callers and other nodes have not taken yet. */
  [[nodiscard]] size_t UnsentBytes() const;
  [[nodiscard]] CallerSide::Options CallerOptions() const;

  ProxySettings mSettings;
  Binding mBinding;
  uint64_t mSeed;
  uint64_t mRun; ///< Start of this process by the wall clock.
  uint64_t mRevision = 0;
  EventLoop& mLoop;
  Logger mLogger;
  TimePoint mStarted = EventLoop::Now();
  std::shared_ptr<MemoryAccount> mAccount;
  std::unique_ptr<LeasedStore> mStore;
  CrashExchange mCrashes;
  QuarantineRecords mQuarantines;
  UpstreamSide mUpstream;
  HeartbeatTracker mHeartbeats;
  StatusCheck mStatusCheck;
  /** Whether an earlier process of this node was in the store. */
  std::optional<bool> mHadEntry;
  bool mIsCheckDeferred = false; ///< Until mHadEntry is known.
  Forwarder mForwarder;
  CallerSide mCallers;
  CallerSide mReadySide;
  CallerSide mReportSide;
  PeerLinks mLinks;
  PeerServer mPeerServer;
  std::unique_ptr<Discovery> mDiscovery;
  UsageExchange mUsage;
  Timer mTimer;
  Timer mSlowTimer;
  RouteTablePtr mRoutes;
  std::string mRoutesDocument;
  TimePoint mReported{};
  std::optional<TimePoint> mShutdownSince;
  bool mAreCallersFinished = false; ///< FinishCallers() was called.
  std::function<void()> mOnStopped;
};

} // namespace amaranthgap
