#include "ProxyParts.h"

#include <random>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

constexpr Duration kTick = milliseconds(20);
constexpr Duration kSlowTick = milliseconds(100);
// Others are told of a load this often while it is worth telling.
constexpr Duration kReportPause = milliseconds(500);
// Part of the descriptors for connections of callers. The rest is for the
// upstream, other nodes and the store.
constexpr double kCallerDescriptorShare = 2.0 / 3;
// Most bytes of a report of the upstream or a question for readiness.
constexpr uint64_t kMaxReportBytes = uint64_t(64) * 1024;

constexpr double kBytesPerMegabyte = 1024 * 1024;

uint64_t
DrawSeed()
{
  std::random_device device;
  return (uint64_t(device()) << 32) | device();
}

uint64_t
WallMillis()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return uint64_t(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

ProxyProcess::Parts::Parts(EventLoop& aLoop,
                           ProxySettings aSettings,
                           Binding aBinding)
  : mSettings(std::move(aSettings))
  , mBinding(std::move(aBinding))
  , mSeed(DrawSeed())
  , mRun(WallMillis())
  , mLoop(aLoop)
  , mLogger({ .mLevel = mSettings.mLogLevel,
              .mNode = mSettings.mNodeId,
              .mLinesPerSecond = mSettings.mLogLinesPerSecond,
              .mCollectsLines = true })
  , mAccount(std::make_shared<MemoryAccount>(
      size_t(double(mSettings.mMemoryMegabytes) * kBytesPerMegabyte *
             MemoryAccount::kHeldShare)))
  , mStore(mBinding.mOpenStore(mLoop, mSettings.mStoreAddress))
  , mCrashes(mLogger,
             { .mNode = mSettings.mNodeId,
               .mRegion = mSettings.mRegion,
               .mService = mSettings.mService,
               .mSeed = mSeed + 4 },
             CrashOutlets())
  , mQuarantines(mLogger,
                 *mStore,
                 { .mWallMillis = WallMillis, .mSeed = mSeed + 5 },
                 [this](const CrashNotice& aNotice) {
                   mCrashes.ReadKept(EventLoop::Now(), aNotice);
                 })
  , mUpstream(mLoop,
              mLogger,
              mCrashes,
              { .mAddress = mSettings.mUpstreamAddress,
                .mHeaders = mBinding.mHeaders,
                .mReadNotice = mBinding.mReadNotice,
                .mAccount = mAccount,
                .mPacesStart = mSettings.mPacesStart })
  , mHeartbeats({ .mAddress = mSettings.mUpstreamAddress,
                  .mService = mSettings.mService,
                  .mNodeStartedMillis = int64_t(mRun) })
  , mStatusCheck(mLoop,
                 { .mAddress = mSettings.mUpstreamAddress,
                   .mHeaders = mBinding.mHeaders,
                   .mReadNotice = mBinding.mReadNotice })
  , mForwarder(
      mLogger,
      { .mService = mSettings.mService,
        .mHeaders = mBinding.mHeaders,
        .mPicker = { .mDataCentre = mSettings.mDataCentre,
                     .mRegion = mSettings.mRegion,
                     .mSeed = mSeed + 1,
                     .mMostInOtherRegion =
                       NodeDirectory::Options{}.mMostInOtherRegion },
        .mSeed = mSeed + 2,
        .mAccount = mAccount },
      { .mAnswer =
          [this](RequestHandle aHandle, HttpResponse aResponse) {
            mCallers.Answer(aHandle, std::move(aResponse));
          },
        .mSend =
          [this](TimePoint aNow,
                 const std::string& aNode,
                 ForwardRequest aRequest,
                 std::function<void(ForwardReply)> aDone) {
            return Send(aNow, aNode, std::move(aRequest), std::move(aDone));
          },
        .mCancel =
          [this](TimePoint aNow, const std::string& aNode, uint64_t aCall) {
            if (aNode == mSettings.mNodeId) {
              mUpstream.Cancel(aNow, { aCall });
            } else {
              mLinks.Cancel(aNode, aCall);
            }
          },
        .mParent =
          [this](std::string_view aRequestId) -> const ForwardRequest* {
          const auto parent = mBinding.mParentId(aRequestId);
          return parent.empty() ? nullptr : mUpstream.Find(std::string(parent));
        },
        .mQuarantineLeft =
          [this](TimePoint aNow, const ForwardRequest& aRequest) {
            return mCrashes.QuarantineLeft(aNow, aRequest);
          },
        .mLoadBelow =
          [this](TimePoint aNow,
                 const CallKind& aParent,
                 const TreeLoad& aLoad) {
            mUpstream.NoteLoadBelow(aNow, aParent, aLoad);
          } })
  , mCallers(mLoop,
             mLogger,
             CallerOptions(),
             { .mRequest =
                 [this](RequestHandle aHandle, HttpRequest aRequest) {
                   mForwarder.RequestArrived(
                     EventLoop::Now(), aHandle, std::move(aRequest));
                 },
               .mGone =
                 [this](RequestHandle aHandle) {
                   mForwarder.CallerGone(EventLoop::Now(), aHandle);
                 } })
  , mReadySide(mLoop,
               mLogger,
               CallerOptions(),
               { .mRequest =
                   [this](RequestHandle aHandle, const HttpRequest& aRequest) {
                     mReadySide.Answer(aHandle, AnswerReady(aRequest));
                   },
                 .mGone = [](RequestHandle) {} })
  , mReportSide(mLoop,
                mLogger,
                CallerOptions(),
                { .mRequest =
                    [this](RequestHandle aHandle, const HttpRequest& aRequest) {
                      mReportSide.Answer(aHandle, AnswerUpstream(aRequest));
                    },
                  .mGone = [](RequestHandle) {} })
  , mLinks(
      mLoop,
      mLogger,
      mAccount,
      { .mState =
          [this](const NodeState& aState) {
            PeerState(EventLoop::Now(), aState);
          },
        .mLost =
          [this](const std::string& aNode) {
            mForwarder.Targets().RemoveNode(aNode);
            mDiscovery->PeerLost(EventLoop::Now(), aNode);
          },
        .mRoutes =
          [this](const std::string& aDocument) {
            TakeRoutes(aDocument, "peer");
          },
        .mLoad =
          [this](const std::string& aNode, const LoadReport& aReport) {
            mForwarder.LoadTold(EventLoop::Now(), aNode, aReport);
          },
        .mNodes =
          [this](const std::vector<NodeAddress>& aNodes) {
            mDiscovery->PeerNodes(EventLoop::Now(), aNodes);
          },
        .mNotice =
          [this](const std::string& aNode, const StoreNotice& aNotice) {
            mDiscovery->PeerNotice(EventLoop::Now(), aNode, aNotice);
          },
        .mCrashes =
          [this](const CrashExchange::Peer& aPeer, const CrashNotice& aNotice) {
            mCrashes.Received(EventLoop::Now(), aPeer, aNotice);
          },
        .mCrashNotices =
          [this](const CrashExchange::Peer& aPeer) {
            return mCrashes.NoticesFor(EventLoop::Now(), aPeer);
          },
        .mHasRoom =
          [this](size_t aBytes) {
            mCallers.MakeRoom(EventLoop::Now(), aBytes);
            // An answer that is ready is worth all that there is.
            return mAccount->Held() + aBytes <= mAccount->Limit();
          },
        .mSelf = [this] { return mDiscovery->Self(); } })
  , mPeerServer(
      mLoop,
      mLogger,
      mAccount,
      { .mRun =
          [this](ForwardRequest aRequest, PeerServer::Answer aAnswer) {
            return mUpstream
              .Run(EventLoop::Now(), std::move(aRequest), std::move(aAnswer))
              .mValue;
          },
        .mCancel =
          [this](uint64_t aCall) {
            mUpstream.Cancel(EventLoop::Now(), { aCall });
          },
        .mLoad = [this] { return mUpstream.GateState(); },
        .mState = [this] { return OwnState(); },
        .mRoutes =
          [this](uint64_t aHave) {
            return mRoutes && mRoutes->Version() > aHave ? mRoutesDocument
                                                         : std::string();
          },
        .mHello =
          [this](const NodeAddress& aPeer) {
            return mDiscovery->PeerHello(EventLoop::Now(), aPeer);
          },
        .mNotice =
          [this](const NodeAddress& aPeer, const UpstreamNotice& aNotice) {
            NoticeReturned(EventLoop::Now(), aPeer, aNotice);
          },
        .mCrashes =
          [this](const CrashExchange::Peer& aPeer, const CrashNotice& aNotice) {
            mCrashes.Received(EventLoop::Now(), aPeer, aNotice);
          },
        .mUsage =
          [this](const CrashExchange::Peer& aPeer,
                 const CustomerUsageReport& aReport) {
            UsageReceived(EventLoop::Now(), aPeer, aReport);
          },
        .mCrashNotices =
          [this](const CrashExchange::Peer& aPeer) {
            return mCrashes.NoticesFor(EventLoop::Now(), aPeer);
          } })
  , mUsage(mSettings.mNodeId, mSettings.mRegion)
  , mTimer(mLoop)
  , mSlowTimer(mLoop)
{
  mDiscovery = std::make_unique<Discovery>(
    mLogger,
    *mStore,
    mLinks,
    mPeerServer,
    Discovery::Options{ .mSelf = { .mNode = mSettings.mNodeId,
                                   .mRun = mRun,
                                   .mAddress = mSettings.mPeerAddress,
                                   .mDataCentre = mSettings.mDataCentre,
                                   .mRegion = mSettings.mRegion,
                                   .mService = mSettings.mService },
                        .mRoutesKey = mBinding.mRoutesKey,
                        .mSeed = mSeed + 3 },
    Discovery::Events{
      .mRoutes = [this](const std::string& aDocument,
                        const char* aFrom) { TakeRoutes(aDocument, aFrom); },
      .mFirstRegistered =
        [this](bool aHadEntry) {
          FirstRegistered(EventLoop::Now(), aHadEntry);
        },
      .mStateChanged = [this] { Announce(); } });
  mUpstream.OnChange([this] { UpstreamChanged(); });
  mUpstream.OnLeaving(
    [this](const std::string& aInstance, int64_t aStartedMillis) {
      UpstreamLeaves(EventLoop::Now(), aInstance, aStartedMillis);
    });
}

uint64_t
ProxyProcess::Parts::Send(TimePoint aNow,
                          const std::string& aNode,
                          ForwardRequest aRequest,
                          std::function<void(ForwardReply)> aDone)
{
  if (aNode == mSettings.mNodeId) {
    return mUpstream.Run(aNow, std::move(aRequest), std::move(aDone)).mValue;
  }
  return mLinks.Send(aNow, aNode, std::move(aRequest), std::move(aDone));
}

NodeState
ProxyProcess::Parts::OwnState() const
{
  return { .mNode = mSettings.mNodeId,
           .mRun = mRun,
           .mRevision = mRevision,
           .mPeerAddress = mSettings.mPeerAddress,
           .mDataCentre = mSettings.mDataCentre,
           .mRegion = mSettings.mRegion,
           .mService = mUpstream.Service(),
           .mInstance = mUpstream.Instance(),
           .mLimit = mUpstream.Limit(),
           .mTakesWork = mUpstream.TakesWork(),
           .mRoutesVersion = mRoutes ? mRoutes->Version() : 0,
           .mReachesStore = mDiscovery->ReachesStore(),
           .mWatchesStore = mDiscovery->IsWatching(),
           .mNotice = mUpstream.Notice(),
           .mLinkRevision = uint8_t(kLinkRevision) };
}

void
ProxyProcess::Parts::Announce()
{
  ++mRevision;
  mPeerServer.Announce();
}

void
ProxyProcess::Parts::LogOldRoutes(const RouteTable& aTable,
                                  const std::string& aDocument,
                                  const char* aFrom)
{
  const bool isSameVersion = aTable.Version() == mRoutes->Version();
  if (isSameVersion && aDocument == mRoutesDocument) {
    return;
  }
  mLogger.Write(EventLoop::Now(),
                LogLevel::Warning,
                isSameVersion ? "routes-conflict" : "routes-older",
                { { "version", fmt::format("{:08x}", aTable.Version()) },
                  { "in_force", fmt::format("{:08x}", mRoutes->Version()) },
                  { "from", aFrom } });
}

void
ProxyProcess::Parts::TakeRoutes(const std::string& aDocument, const char* aFrom)
{
  auto routes = mBinding.mReadRoutes(aDocument);
  if (!routes) {
    mLogger.Write(
      EventLoop::Now(),
      LogLevel::Error,
      "routes-unusable",
      { { "from", aFrom }, { "detail", routes.error().ToString() } });
    return;
  }
  const RouteTablePtr table = routes.value();
  if (mRoutes && table->Version() <= mRoutes->Version()) {
    LogOldRoutes(*table, aDocument, aFrom);
    return;
  }
  mLogger.Write(
    EventLoop::Now(),
    LogLevel::Info,
    "routes-in-force",
    { { "version", fmt::format("{:08x}", table->Version()) },
      { "before", fmt::format("{:08x}", mRoutes ? mRoutes->Version() : 0) },
      { "from", aFrom },
      { "routes", std::to_string(table->Routes().size()) },
      { "customers", std::to_string(table->Customers().size()) } });
  for (const std::string& it : table->Remarks()) {
    mLogger.Write(EventLoop::Now(),
                  LogLevel::Warning,
                  "routes-remark",
                  { { "version", fmt::format("{:08x}", table->Version()) },
                    { "detail", it } });
  }
  mRoutes = table;
  mRoutesDocument = aDocument;
  mForwarder.SetRoutes(EventLoop::Now(), table);
  mCallers.SetLimits(table->Limits());
  ++mRevision;
  mDiscovery->RoutesTaken(table->Version());
  CheckStatus(EventLoop::Now());
}

void
ProxyProcess::Parts::PeerState(TimePoint aNow, const NodeState& aState)
{
  mForwarder.Targets().SetTarget(aNow, aState);
  mDiscovery->PeerState(aNow, aState);
}

void
ProxyProcess::Parts::Tick(TimePoint aNow)
{
  mForwarder.Tick(aNow);
  mUpstream.Tick(aNow);
  if (mShutdownSince) {
    ContinueShutdown(aNow);
  }
}

void
ProxyProcess::Parts::ReportUsage(TimePoint aNow)
{
  AllowanceLedger& allowances = mForwarder.Allowances();
  if (!allowances.IsInUse() || !mUsage.IsDue(aNow)) {
    return;
  }
  SendUsage(mUsage.Report(aNow, allowances.TakeUsage(), mLinks.UsagePeers()));
  allowances.SetCoverage(mUsage.Coverage(aNow, mDiscovery->KnownNodes() + 1));
}

void
ProxyProcess::Parts::SendUsage(
  const std::vector<UsageExchange::Outgoing>& aReports)
{
  for (const UsageExchange::Outgoing& it : aReports) {
    mLinks.SendUsage(it.mNode, it.mReport);
  }
}

void
ProxyProcess::Parts::UsageReceived(TimePoint aNow,
                                   const CrashExchange::Peer& aFrom,
                                   const CustomerUsageReport& aReport)
{
  mForwarder.Allowances().AddUsage(aNow, aReport.mUsage);
  SendUsage(
    mUsage.Received(aNow,
                    { std::string(aFrom.mNode), std::string(aFrom.mRegion) },
                    aReport,
                    mLinks.UsagePeers()));
}

CallerSide::Options
ProxyProcess::Parts::CallerOptions() const
{
  return { .mAccount = mAccount,
           .mMaxConnections = size_t(double(mSettings.mMaxDescriptors) *
                                     kCallerDescriptorShare) };
}

void
ProxyProcess::Parts::SlowTick(TimePoint aNow)
{
  mDiscovery->Tick(aNow);
  mLinks.Tick(aNow);
  if (aNow - mReported >= kReportPause) {
    mReported = aNow;
    if (const LoadReport report = mUpstream.Report(aNow);
        !report.mKinds.empty()) {
      mForwarder.LoadTold(aNow, mSettings.mNodeId, report);
      mPeerServer.Report(report);
    }
  }
  ReportUsage(aNow);
  mCrashes.Expire(aNow);
  mQuarantines.SetWatching(mDiscovery->IsWatching());
  mQuarantines.Tick(aNow);
  mLogger.Flush();
  if (mIsCheckDeferred) {
    CheckStatus(aNow);
  }
  mCallers.CloseOverdue(aNow);
  mReadySide.CloseOverdue(aNow);
  mReportSide.CloseOverdue(aNow);
}

Status
ProxyProcess::Parts::Start()
{
  mReadySide.SetLimits({ .mBodyBytes = kMaxReportBytes });
  mReportSide.SetLimits({ .mBodyBytes = kMaxReportBytes });
  BOOST_OUTCOME_TRY(mCallers.Listen(mSettings.mCallerAddress));
  BOOST_OUTCOME_TRY(mReadySide.Listen(mSettings.mReadyAddress));
  BOOST_OUTCOME_TRY(mReportSide.Listen(mSettings.mReportAddress));
  BOOST_OUTCOME_TRY(mPeerServer.Listen(mSettings.mPeerAddress));
  mTimer.Start(kTick, kTick, [this] { Tick(EventLoop::Now()); });
  mSlowTimer.Start(
    Duration::zero(), kSlowTick, [this] { SlowTick(EventLoop::Now()); });
  mLogger.Write(EventLoop::Now(),
                LogLevel::Info,
                "started",
                { { "callers", mSettings.mCallerAddress },
                  { "peers", mSettings.mPeerAddress },
                  { "upstream", mSettings.mUpstreamAddress },
                  { "run", std::to_string(mRun) } });
  return boost::outcome_v2::success();
}

ProxyProcess::ProxyProcess(EventLoop& aLoop,
                           ProxySettings aSettings,
                           Binding aBinding)
  : mParts(
      std::make_unique<Parts>(aLoop, std::move(aSettings), std::move(aBinding)))
{
}

ProxyProcess::~ProxyProcess() = default;

Status
ProxyProcess::Start()
{
  return mParts->Start();
}

void
ProxyProcess::StartShutdown()
{
  mParts->StartShutdown(EventLoop::Now());
}

void
ProxyProcess::OnStopped(std::function<void()> aCallback)
{
  mParts->mOnStopped = std::move(aCallback);
}

void
ProxyProcess::SettingsReread(const std::optional<ProxySettings>& aSettings)
{
  mParts->mLogger.Write(EventLoop::Now(),
                        LogLevel::Info,
                        "settings-reread",
                        { { "usable", aSettings ? "yes" : "no" } });
}

} // namespace amaranthgap
