#include "server/NodeProcess.h"

#include <csignal>
#include <random>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr uint64_t kTicksPerTransportTick = 5;
constexpr uint64_t kTicksPerSweep = 50;
constexpr uint64_t kTicksPerSecond = 100;
// Answers that are decided are still written within this time.
constexpr Duration kWriteGrace = seconds(1);
// A drained node still refuses calls for this long, as not run: those that were
// sent before its peers learned of the drain would otherwise be lost with the
// connection and be reported as may have run.
constexpr Duration kDrainLinger = seconds(1);
constexpr Duration kFlushTime = milliseconds(300);

int64_t
WallMillis()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

NodeRef
DrawSelf(const NodeSettings& aSettings)
{
  // Low bits keep two starts in one millisecond apart.
  std::random_device device;
  return { { aSettings.mNodeId },
           { (uint64_t(WallMillis()) << 10) | (device() & 0x3ff) } };
}

sigset_t
EndSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

bool
TookSignal(Duration aWait)
{
  const sigset_t set = EndSignals();
  const timespec wait{ .tv_sec = 0, .tv_nsec = aWait.count() };
  return sigtimedwait(&set, nullptr, &wait) > 0;
}

uint64_t
SeedOf(const NodeSettings& aSettings)
{
  if (aSettings.mRandomSeed != 0) {
    return aSettings.mRandomSeed;
  }
  std::random_device device;
  return (uint64_t(device()) << 32) | device();
}

} // namespace

NodeProcess::NodeProcess(NodeSettings aSettings,
                         std::shared_ptr<KeyValueStore> aStore)
  : mSettings(std::move(aSettings))
  , mFirstSelf(DrawSelf(mSettings))
  , mLogger({ .mLevel = mSettings.mLogLevel, .mNode = mSettings.mNodeId })
  , mLogic(MakeNodeOptions(mSettings, mFirstSelf))
  , mAudit(4096)
  , mTransport(MakeTransportOptions(), MakeTransportHooks())
  , mUpstream(
      { .mMaxCalls = mSettings.mMaxUpstreamCalls },
      [this](ExecutionId aExecution,
             const UpstreamClient::Outcome& aOutcome,
             Duration aTime) {
        mMetrics.Observe(Latency::Upstream, aTime);
        Dispatch(Latency::HandleEnd, [&](auto aNow, auto& aActions) {
          if (const auto* answer = std::get_if<HttpResponse>(&aOutcome)) {
            mLogic.UpstreamAnswered(aNow, aExecution, *answer, aActions);
          } else {
            mLogic.UpstreamFailed(
              aNow, aExecution, std::get<UpstreamFailure>(aOutcome), aActions);
          }
        });
      })
  , mStore(std::move(aStore),
           [this](StoreCallId aCall, const StoreAnswer& aAnswer) {
             Dispatch([&](auto aNow, auto& aActions) {
               mLogic.StoreAnswered(aNow, aCall, aAnswer, aActions);
             });
           })
  , mServer(CallerServer::MakeOptions(mSettings), MakeServerHooks(), mMetrics)
{
}

NodeProcess::~NodeProcess()
{
  Stop();
}

NodeOptions
NodeProcess::MakeNodeOptions(const NodeSettings& aSettings,
                             const NodeRef& aSelf)
{
  return { .mSelf = aSelf,
           .mRegion = aSettings.mRegion,
           .mDataCentre = aSettings.mDataCentre,
           .mPeerAddress = aSettings.mPeerAddress,
           .mStaticPeers = aSettings.mStaticPeers,
           .mKeySecret = aSettings.mInnerKey,
           .mMaxExternalCalls = aSettings.mMaxCallerCalls,
           .mMaxUpstreamCalls = aSettings.mMaxUpstreamCalls,
           .mSeed = SeedOf(aSettings),
           .mPolicyOff = aSettings.mPolicyOff,
           .mWallOffset =
             milliseconds(WallMillis()) - Now().time_since_epoch() };
}

PeerTransport::Options
NodeProcess::MakeTransportOptions() const
{
  return { .mPeerAddress = mSettings.mPeerAddress,
           .mListenAddress = mSettings.mPeerListenAddress,
           .mSelf = mFirstSelf,
           .mCodec = { .mCluster = mSettings.mCluster,
                       .mKey = mSettings.mInnerKey } };
}

PeerTransport::Hooks
NodeProcess::MakeTransportHooks()
{
  return {
    .mArrived =
      [this](Envelope aEnvelope) { MessageArrived(std::move(aEnvelope)); },
    .mLost =
      [this](const NodeRef& aPeer, bool aNeverSent) {
        mLogger.Write(Now(),
                      LogLevel::Info,
                      "peer-lost",
                      { { "peer", aPeer.mId.mValue },
                        { "never_sent", aNeverSent ? "true" : "false" } });
        Dispatch([&](auto aNow, auto& aActions) {
          mLogic.PeerLost(aNow, aPeer, aNeverSent, aActions);
        });
      },
    .mRejected =
      [this](Rejection aCause, std::string_view aTransport) {
        mLogger.Write(Now(),
                      LogLevel::Warning,
                      "message-rejected",
                      { { "cause", std::string(ToName(aCause)) },
                        { "transport", std::string(aTransport) } });
      },
    .mSendFailed =
      [this](const Error& aError) {
        mLogger.Write(Now(),
                      LogLevel::Warning,
                      "send-failed",
                      { { "error", aError.ToString() } });
      },
  };
}

CallerServer::Hooks
NodeProcess::MakeServerHooks()
{
  return {
    .mCallArrived =
      [this](CallerCall aCall) {
        Dispatch(Latency::HandleCall, [&](auto aNow, auto& aActions) {
          mLogic.CallArrived(aNow, std::move(aCall), aActions);
        });
      },
    .mKeyRequested =
      [this](CallerKeyRequest aRequest) {
        Dispatch([&](auto aNow, auto& aActions) {
          mLogic.KeyRequested(aNow, std::move(aRequest), aActions);
        });
      },
    .mCallerGone =
      [this](CallerHandle aCaller) {
        Dispatch([&](auto aNow, auto& aActions) {
          mLogic.CallerGone(aNow, aCaller, aActions);
        });
      },
    .mAnnounced =
      [this](const Announcement& aAnnouncement) {
        Dispatch([&](auto aNow, auto& aActions) {
          mLogic.UpstreamAnnounced(aNow, aAnnouncement, aActions);
        });
      },
    .mOperator =
      [this](const std::string& aPath, const std::string& aQuery) {
        return ServeOperator(aPath, aQuery);
      },
  };
}

// -- Events and actions -----------------------------------------------------

template<class Event>
void
NodeProcess::Dispatch(Event aEvent)
{
  const TimePoint now = Now();
  Actions actions;
  aEvent(now, actions);
  Execute(now, actions);
}

template<class Event>
void
NodeProcess::Dispatch(Latency aLatency, Event aEvent)
{
  const TimePoint start = Now();
  Dispatch(std::move(aEvent));
  mMetrics.Observe(aLatency, Now() - start);
}

void
NodeProcess::MessageArrived(Envelope aEnvelope)
{
  const bool call = std::holds_alternative<CallMessage>(aEnvelope.mMessage);
  const bool reply = std::holds_alternative<ReplyMessage>(aEnvelope.mMessage);
  const auto take = [&](auto aNow, auto& aActions) {
    mLogic.MessageArrived(aNow, std::move(aEnvelope), aActions);
  };
  if (call || reply) {
    Dispatch(call ? Latency::HandleRun : Latency::HandleReply, take);
  } else {
    Dispatch(take);
  }
}

void
NodeProcess::Execute(TimePoint aNow, Actions& aActions)
{
  for (Action& action : aActions) {
    if (auto* message = std::get_if<SendMessage>(&action)) {
      mTransport.Send(aNow, *message);
    } else if (auto* answer = std::get_if<AnswerCaller>(&action)) {
      mServer.Answer(std::move(*answer));
    } else if (auto* start = std::get_if<StartUpstream>(&action)) {
      mMetrics.Observe(Latency::Queue, start->mQueued);
      mUpstream.Start(std::move(*start));
    } else if (const auto* cancel = std::get_if<CancelUpstream>(&action)) {
      mUpstream.Cancel(cancel->mExecution);
    } else if (auto* call = std::get_if<StartStoreCall>(&action)) {
      mStore.Start(std::move(*call));
    } else if (auto* entry = std::get_if<AuditEntry>(&action)) {
      Record(aNow, std::move(*entry));
    }
  }
}

void
NodeProcess::Record(TimePoint aNow, AuditEntry aEntry)
{
  mLogger.Write(aNow,
                LogLevel::Info,
                ToName(aEntry.mKind),
                { { "subject", aEntry.mSubject },
                  { "cause", aEntry.mCause },
                  { "peer", aEntry.mPeer } });
  const std::scoped_lock lock(mAuditMutex);
  mAudit.Add(WallMillis(), std::move(aEntry));
}

// -- Time -------------------------------------------------------------------

void
NodeProcess::TickLoop()
{
  TimePoint next = Now();
  for (uint64_t tick = 0; mTicking; ++tick) {
    Dispatch([&](auto aNow, auto& aActions) { mLogic.Tick(aNow, aActions); });
    TickShells(Now(), tick);
    // After a pause of the process the missed ticks are not made up for.
    next = std::max(next + kTick, Now());
    std::this_thread::sleep_until(next);
  }
}

void
NodeProcess::TickShells(TimePoint aNow, uint64_t aTick)
{
  if (!mIdentityFinal) {
    FollowIdentity(aNow);
  }
  if (aTick % kTicksPerTransportTick == 0) {
    mTransport.Tick(aNow);
  }
  if (aTick % kTicksPerSweep == 0) {
    mServer.Sweep(aNow);
  }
  if (aTick % kTicksPerSecond == 0) {
    mUpstream.Tick(aNow);
    // The node drains on its own only when it has been superseded.
    if (!mDraining && mLogic.GetStatus(aNow).mDraining) {
      mSuperseded = true;
    }
  }
}

void
NodeProcess::FollowIdentity(TimePoint aNow)
{
  const NodeStatus status = mLogic.GetStatus(aNow);
  mTransport.SetSelf(status.mSelf);
  if (status.mReady) {
    mIdentityFinal = true;
    mLogger.Write(
      aNow,
      LogLevel::Info,
      "node-ready",
      { { "incarnation", std::to_string(status.mSelf.mIncarnation.mValue) },
        { "manifest", std::to_string(status.mManifest.mVersion) } });
  }
}

// -- Start and end ----------------------------------------------------------

Status
NodeProcess::Start()
{
  BOOST_OUTCOME_TRY(mTransport.Start());
  BOOST_OUTCOME_TRY(mServer.Start());
  mTicking = true;
  mTickThread = std::thread([this] { TickLoop(); });
  return boost::outcome_v2::success();
}

ExitStatus
NodeProcess::Run()
{
  const sigset_t set = EndSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  if (const auto started = Start(); !started) {
    mLogger.Write(Now(),
                  LogLevel::Error,
                  "start-failed",
                  { { "error", started.error().ToString() } });
    Stop();
    return ExitStatus::CannotStart;
  }
  mLogger.Write(Now(),
                LogLevel::Info,
                "node-started",
                { { "caller", mSettings.mCallerAddress },
                  { "local", mSettings.mLocalAddress },
                  { "peer", mSettings.mPeerAddress } });
  return WaitForEnd();
}

ExitStatus
NodeProcess::WaitForEnd()
{
  while (true) {
    if (TookSignal(milliseconds(100))) {
      return Drain(false);
    }
    if (mSuperseded) {
      return Drain(true);
    }
  }
}

ExitStatus
NodeProcess::Drain(bool aSuperseded)
{
  mDraining = true;
  const TimePoint start = Now();
  mLogger.Write(start,
                LogLevel::Info,
                "drain-started",
                { { "superseded", aSuperseded ? "true" : "false" } });
  Dispatch(
    [&](auto aNow, auto& aActions) { mLogic.DrainStarted(aNow, aActions); });
  std::string cause;
  const TimePoint earliest =
    start + std::min(kDrainLinger, mSettings.mDrainTimeout / 2);
  while (!mLogic.IsDrained(Now()) || Now() < earliest) {
    if (TookSignal(milliseconds(10))) {
      cause = "second-signal";
      break;
    }
    if (Now() - start > mSettings.mDrainTimeout) {
      cause = "drain-timeout";
      break;
    }
  }
  const size_t external =
    mServer.Stop(cause.empty() ? kWriteGrace : Duration::zero());
  const size_t upstream = mUpstream.Stop();
  mLogger.Write(Now(),
                LogLevel::Info,
                "node-ended",
                { { "cause", cause.empty() ? "drained" : cause },
                  { "took_ms", std::to_string(ToMillis(Now() - start)) },
                  { "cut_off_requests", std::to_string(external) },
                  { "cut_off_upstream_calls", std::to_string(upstream) } });
  Stop();
  if (external + upstream > 0) {
    return ExitStatus::CutOff;
  }
  return aSuperseded ? ExitStatus::Superseded : ExitStatus::Clean;
}

bool
NodeProcess::Stop()
{
  mServer.Stop(Duration::zero());
  mUpstream.Stop();
  // The last messages follow from ticks after the end of the drain.
  mTransport.Stop(mTicking ? kFlushTime : Duration::zero());
  const bool ticking = mTicking.exchange(false);
  if (mTickThread.joinable()) {
    mTickThread.join();
  }
  mStore.Stop();
  return ticking;
}

} // namespace amaranthgap
