#include "proxy/PeerLinks.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace amaranthgap {

namespace {

constexpr Duration kConnectTimeout = milliseconds(800);
constexpr Duration kUserTimeout = milliseconds(1500);
// Silence after which a connection is probed, and after which it is given up:
// while answers are due, and while it is idle.
constexpr Duration kProbeBusy = milliseconds(300);
constexpr Duration kGiveUpBusy = milliseconds(1000);
constexpr Duration kProbeIdle = seconds(3);
constexpr Duration kGiveUpIdle = milliseconds(4500);
// The same for an idle connection to a node that watches the store, because an
// undetected failure would delay changes of the routes.
constexpr Duration kProbeWatcher = seconds(1);
constexpr Duration kGiveUpWatcher = milliseconds(2000);
constexpr Duration kFirstReconnect = milliseconds(150);
constexpr Duration kLongestReconnect = seconds(2);

} // namespace

struct PeerLinks::Link
{
  NodeAddress mPeer;
  NodeState mState; ///< As told on the present connection.
  std::unique_ptr<TcpStream> mStream;
  FrameReader mReader;
  MemoryAccount::Share mInput;
  bool mIsConnected = false;
  bool mIsWanted = true;
  TimePoint mLastHeard{};
  TimePoint mLastProbe{};
  TimePoint mReconnectAt{};
  Duration mPause{};
  PendingAttempts mPending;

  [[nodiscard]] CrashExchange::Peer Peer() const
  {
    return { mPeer.mNode, mState.mService, mState.mRegion };
  }
  [[nodiscard]] bool Takes(LinkRevision aRevision) const
  {
    return mIsConnected && mStream &&
           mState.mLinkRevision >= uint8_t(aRevision);
  }
  [[nodiscard]] bool TakesCrashNotices() const
  {
    return Takes(LinkRevision::CrashNotices);
  }
};

/** Connection without new attempts, which has been replaced. */
struct PeerLinks::SilentStream
{
  std::string mNode;
  std::unique_ptr<TcpStream> mStream;
  FrameReader mReader;
  MemoryAccount::Share mInput;
  PendingAttempts mPending;
};

PeerLinks::PeerLinks(EventLoop& aLoop,
                     Logger& aLogger,
                     std::shared_ptr<MemoryAccount> aAccount,
                     Events aEvents)
  : mLoop(aLoop)
  , mLogger(aLogger)
  , mAccount(std::move(aAccount))
  , mEvents(std::move(aEvents))
{
}

PeerLinks::~PeerLinks() = default;

size_t
PeerLinks::Connected() const
{
  return size_t(
    std::count_if(mLinks.begin(), mLinks.end(), [](const auto& aEntry) {
      return aEntry.second->mIsConnected;
    }));
}

std::vector<const NodeState*>
PeerLinks::ConnectedStates() const
{
  std::vector<const NodeState*> out;
  for (const auto& [node, link] : mLinks) {
    if (link->mIsConnected) {
      out.push_back(&link->mState);
    }
  }
  return out;
}

void
PeerLinks::SetLinks(TimePoint aNow, const std::vector<NodeAddress>& aNodes)
{
  for (auto& [node, link] : mLinks) {
    link->mIsWanted = false;
  }
  for (const NodeAddress& it : aNodes) {
    Add(aNow, it);
  }
}

void
PeerLinks::Add(TimePoint aNow, const NodeAddress& aPeer)
{
  auto& link = mLinks[aPeer.mNode];
  if (!link) {
    link = std::make_unique<Link>();
  }
  link->mIsWanted = true;
  if (link->mStream && link->mPeer.mRun >= aPeer.mRun) {
    return;
  }
  const bool replaced = link->mStream != nullptr;
  link->mPeer = aPeer;
  if (replaced) {
    link->mStream->Close();
    Ended(aPeer.mNode, StreamEnd::ConnectionLost);
  }
  Open(aNow, *link);
}

void
PeerLinks::Open(TimePoint aNow, Link& aLink)
{
  const std::string node = aLink.mPeer.mNode;
  aLink.mReader = FrameReader(mEvents.mHasRoom);
  aLink.mInput = MemoryAccount::Share(mAccount, MemoryUse::PeerInput);
  aLink.mLastHeard = aNow;
  aLink.mLastProbe = aNow;
  StreamCallbacks events;
  events.mOnData = [this, &aLink](std::string_view aData) {
    Received(aLink, aData);
  };
  events.mOnClosed = [this, node](StreamEnd aEnd) { Ended(node, aEnd); };
  aLink.mStream = TcpStream::Connect(mLoop,
                                     aLink.mPeer.mAddress,
                                     { .mConnectTimeout = kConnectTimeout,
                                       .mUserTimeout = kUserTimeout,
                                       .mAccount = mAccount,
                                       .mUse = MemoryUse::PeerOutput },
                                     std::move(events));
  aLink.mStream->Write(
    EncodeFrame(LinkHello{ .mFrom = mEvents.mSelf(),
                           .mNotice = mNotices.Find(aNow, node),
                           .mLinkRevision = uint8_t(kLinkRevision) }));
}

void
PeerLinks::Received(Link& aLink, std::string_view aData)
{
  aLink.mLastHeard = EventLoop::Now();
  aLink.mReader.Feed(aData);
  while (aLink.mStream && aLink.mStream->IsOpen()) {
    auto message = aLink.mReader.Next();
    if (!message) {
      mLogger.Write(EventLoop::Now(),
                    LogLevel::Warning,
                    "peer-message-unusable",
                    { { "peer", aLink.mPeer.mNode },
                      { "detail", message.error().ToString() } });
      aLink.mStream->Close();
      Ended(aLink.mPeer.mNode, StreamEnd::ConnectionLost);
      return;
    }
    if (!message.value()) {
      break;
    }
    Handle(aLink, std::move(*message.value()));
  }
  EndSkipped(aLink.mPeer.mNode, aLink.mReader, aLink.mPending);
  aLink.mInput.Set(aLink.mReader.BufferedBytes());
}

void
PeerLinks::EndSkipped(const std::string& aNode,
                      FrameReader& aReader,
                      PendingAttempts& aPending)
{
  while (const auto skipped = aReader.NextSkipped()) {
    mLogger.Write(
      EventLoop::Now(),
      LogLevel::Error,
      "reply-without-room",
      { { "peer", aNode }, { "held", std::to_string(mAccount->Held()) } });
    ForwardReply reply;
    reply.mCall = skipped->mCall;
    reply.mOutcome = AttemptOutcome::MayHaveRun;
    reply.mReason = AttemptReason::InvalidResponse;
    if (auto it = aPending.extract(reply.mCall)) {
      it.mapped().mDone(std::move(reply));
    }
  }
}

void
PeerLinks::Handle(Link& aLink, LinkMessage aMessage)
{
  if (auto* state = std::get_if<NodeState>(&aMessage)) {
    if (state->mNode != aLink.mPeer.mNode) {
      mLogger.Write(
        EventLoop::Now(),
        LogLevel::Warning,
        "peer-is-another-node",
        { { "peer", aLink.mPeer.mNode }, { "found", state->mNode } });
      aLink.mStream->Close();
      Ended(aLink.mPeer.mNode, StreamEnd::ConnectionLost);
      return;
    }
    // A node that started again may be connected before the store lists it.
    aLink.mPeer.mRun = std::max(aLink.mPeer.mRun, state->mRun);
    const bool isNew = !std::exchange(aLink.mIsConnected, true);
    if (isNew) {
      aLink.mPause = Duration::zero();
      mLogger.Write(EventLoop::Now(),
                    LogLevel::Info,
                    "peer-connected",
                    { { "peer", state->mNode } });
    }
    if (state->mNotice) {
      mNotices.Record(EventLoop::Now(), state->mNode, *state->mNotice);
    }
    aLink.mState = *state;
    if (isNew && aLink.TakesCrashNotices()) {
      // Ahead of the first request.
      for (const CrashNotice& it : mEvents.mCrashNotices(aLink.Peer())) {
        aLink.mStream->Write(EncodeFrame(it));
      }
    }
    mEvents.mState(*state);
  } else if (auto* reply = std::get_if<ForwardReply>(&aMessage)) {
    NoteReply(aLink.mPeer.mNode, *reply);
    if (auto it = aLink.mPending.extract(reply->mCall)) {
      it.mapped().mDone(std::move(*reply));
    }
  } else if (auto* routes = std::get_if<RoutesDocument>(&aMessage)) {
    mEvents.mRoutes(std::move(routes->mDocument));
  } else if (const auto* load = std::get_if<LoadReport>(&aMessage)) {
    mEvents.mLoad(aLink.mPeer.mNode, *load);
  } else if (const auto* nodes = std::get_if<NodeList>(&aMessage)) {
    mEvents.mNodes(nodes->mNodes);
  } else if (const auto* notice = std::get_if<StoreNotice>(&aMessage)) {
    mEvents.mNotice(aLink.mPeer.mNode, *notice);
  } else if (const auto* crashes = std::get_if<CrashNotice>(&aMessage)) {
    mEvents.mCrashes(aLink.Peer(), *crashes);
  }
}

void
PeerLinks::NoteReply(const std::string& aNode, const ForwardReply& aReply)
{
  if (aReply.mNotice) {
    mNotices.Record(EventLoop::Now(), aNode, *aReply.mNotice);
  } else if (aReply.mOutcome == AttemptOutcome::Answered) {
    mNotices.Clear(aNode);
  }
}

void
PeerLinks::FailPending(const PendingAttempts& aPending, AttemptOutcome aOutcome)
{
  for (const auto& [call, pending] : aPending) {
    ForwardReply reply;
    reply.mCall = call;
    reply.mOutcome = aOutcome;
    reply.mReason = AttemptReason::PeerLost;
    pending.mDone(std::move(reply));
  }
}

void
PeerLinks::Ended(const std::string& aNode, StreamEnd aEnd)
{
  const auto it = mLinks.find(aNode);
  if (it == mLinks.end()) {
    return;
  }
  Link& link = *it->second;
  // The stream is on the stack.
  mLoop.Defer(
    [stream = std::shared_ptr<TcpStream>(std::move(link.mStream))] {});
  link.mPause = std::clamp(link.mPause * 2, kFirstReconnect, kLongestReconnect);
  link.mReconnectAt = EventLoop::Now() + link.mPause;
  if (std::exchange(link.mIsConnected, false)) {
    mLogger.Write(EventLoop::Now(),
                  LogLevel::Warning,
                  "peer-lost",
                  { { "peer", aNode },
                    { "pending", std::to_string(link.mPending.size()) } });
  }
  mEvents.mLost(aNode);
  FailPending(std::exchange(link.mPending, {}),
              aEnd == StreamEnd::NotConnected ? AttemptOutcome::NotRun
                                              : AttemptOutcome::MayHaveRun);
}

uint64_t
PeerLinks::Send(TimePoint aNow,
                const std::string& aNode,
                ForwardRequest aRequest,
                Done aDone)
{
  const uint64_t call = ++mLastCall;
  const bool isIdempotent = aRequest.mIdempotent;
  aRequest.mCall = call;
  const auto it = mLinks.find(aNode);
  if (it == mLinks.end() || !it->second->mStream) {
    mLoop.Defer([call, done = std::move(aDone)] {
      ForwardReply reply;
      reply.mCall = call;
      reply.mReason = AttemptReason::PeerLost;
      done(std::move(reply));
    });
    return call;
  }
  Link& link = *it->second;
  if (link.mPending.empty()) {
    link.mLastHeard = aNow; // Silence counts from here.
  }
  link.mPending.emplace(call, Pending{ std::move(aDone), isIdempotent });
  link.mStream->Write(EncodeFrame(std::move(aRequest)));
  return call;
}

void
PeerLinks::Cancel(const std::string& aNode, uint64_t aCall)
{
  const std::string frame = EncodeFrame(ForwardCancel{ aCall });
  const auto it = mLinks.find(aNode);
  if (it != mLinks.end() && it->second->mPending.erase(aCall) > 0 &&
      it->second->mStream) {
    it->second->mStream->Write(frame);
  }
  for (const auto& silent : mSilent) {
    if (silent->mPending.erase(aCall) > 0) {
      silent->mStream->Write(frame);
    }
  }
}

void
PeerLinks::KeepSilentStream(Link& aLink)
{
  auto owned = std::make_unique<SilentStream>();
  SilentStream& silent = *owned;
  for (auto it = aLink.mPending.begin(); it != aLink.mPending.end();) {
    const auto next = std::next(it);
    if (!it->second.mIsIdempotent) {
      silent.mPending.insert(aLink.mPending.extract(it));
    }
    it = next;
  }
  if (silent.mPending.empty()) {
    return;
  }
  silent.mNode = aLink.mPeer.mNode;
  silent.mStream = std::move(aLink.mStream);
  silent.mReader = std::move(aLink.mReader);
  silent.mInput = std::move(aLink.mInput);
  StreamCallbacks events;
  events.mOnData = [this, &silent](std::string_view aData) {
    ReceivedSilent(silent, aData);
  };
  events.mOnClosed = [this, &silent](StreamEnd) { EndSilent(silent); };
  silent.mStream->SetCallbacks(std::move(events));
  mLogger.Write(EventLoop::Now(),
                LogLevel::Warning,
                "peer-silent",
                { { "peer", silent.mNode },
                  { "waiting", std::to_string(silent.mPending.size()) } });
  mSilent.push_back(std::move(owned));
}

void
PeerLinks::ReceivedSilent(SilentStream& aSilent, std::string_view aData)
{
  aSilent.mReader.Feed(aData);
  while (true) {
    auto message = aSilent.mReader.Next();
    if (!message) {
      EndSilent(aSilent);
      return;
    }
    if (!message.value()) {
      EndSkipped(aSilent.mNode, aSilent.mReader, aSilent.mPending);
      aSilent.mInput.Set(aSilent.mReader.BufferedBytes());
      return;
    }
    // All other messages also arrive on the new connection.
    if (auto* reply = std::get_if<ForwardReply>(&*message.value())) {
      // It may be older than what the new connection told.
      if (reply->mNotice) {
        mNotices.Record(EventLoop::Now(), aSilent.mNode, *reply->mNotice);
      }
      if (auto it = aSilent.mPending.extract(reply->mCall)) {
        it.mapped().mDone(std::move(*reply));
      }
    }
  }
}

void
PeerLinks::EndSilent(SilentStream& aSilent)
{
  const auto it =
    std::find_if(mSilent.begin(), mSilent.end(), [&](const auto& aOther) {
      return aOther.get() == &aSilent;
    });
  if (it == mSilent.end()) {
    return;
  }
  // The stream may be on the stack.
  const std::shared_ptr<SilentStream> silent = std::move(*it);
  mSilent.erase(it);
  mLoop.Defer([silent] {});
  silent->mStream->Close();
  FailPending(std::exchange(silent->mPending, {}), AttemptOutcome::MayHaveRun);
}

void
PeerLinks::GiveUp(Link& aLink)
{
  KeepSilentStream(aLink);
  if (aLink.mStream) {
    aLink.mStream->Reset();
  }
  Ended(aLink.mPeer.mNode, StreamEnd::ConnectionLost);
}

void
PeerLinks::AskRoutes(const std::string& aNode, uint64_t aHave)
{
  const auto it = mLinks.find(aNode);
  if (it != mLinks.end() && it->second->mStream) {
    it->second->mStream->Write(EncodeFrame(RoutesRequest{ aHave }));
  }
}

void
PeerLinks::SendCrashes(const CrashNotice& aNotice,
                       const CrashExchange::PeerFilter& aFilter)
{
  for (const auto& [node, link] : mLinks) {
    if (link->TakesCrashNotices() && aFilter(link->Peer())) {
      link->mStream->Write(EncodeFrame(aNotice));
    }
  }
}

void
PeerLinks::SendUsage(const std::string& aNode,
                     const CustomerUsageReport& aReport)
{
  if (const auto it = mLinks.find(aNode);
      it != mLinks.end() && it->second->Takes(LinkRevision::UsageReports)) {
    it->second->mStream->Write(EncodeFrame(aReport));
  }
}

std::vector<UsageExchange::Peer>
PeerLinks::UsagePeers() const
{
  std::vector<UsageExchange::Peer> out;
  for (const auto& [node, link] : mLinks) {
    if (link->Takes(LinkRevision::UsageReports)) {
      out.push_back({ node, link->mState.mRegion });
    }
  }
  return out;
}

bool
PeerLinks::IsConnected(std::string_view aNode) const
{
  const auto it = mLinks.find(aNode);
  return it != mLinks.end() && it->second->mIsConnected;
}

// Silence after which a link is probed, and after which it is given up.
PeerLinks::Silence
PeerLinks::SilenceOf(const Link& aLink)
{
  if (!aLink.mPending.empty()) {
    return { kProbeBusy, kGiveUpBusy };
  }
  return aLink.mState.mWatchesStore ? Silence{ kProbeWatcher, kGiveUpWatcher }
                                    : Silence{ kProbeIdle, kGiveUpIdle };
}

void
PeerLinks::Tick(TimePoint aNow)
{
  mNotices.Expire(aNow);
  std::vector<std::string> ended;
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    Link& link = *it->second;
    if (!link.mIsWanted && link.mPending.empty()) {
      if (!link.mStream) {
        it = mLinks.erase(it);
        continue;
      }
      ended.push_back(it->first);
    } else if (!link.mStream) {
      if (aNow >= link.mReconnectAt) {
        Open(aNow, link);
      }
    } else if (link.mIsConnected) {
      const Duration quiet = aNow - link.mLastHeard;
      const Silence most = SilenceOf(link);
      if (quiet > most.mGiveUp) {
        ended.push_back(it->first);
      } else if (quiet > most.mProbe && aNow - link.mLastProbe > kProbeBusy) {
        link.mLastProbe = aNow;
        link.mStream->Write(EncodeFrame(LinkProbe{}));
      }
    }
    ++it;
  }
  for (const std::string& node : ended) {
    if (const auto it = mLinks.find(node); it->second->mStream) {
      GiveUp(*it->second);
    }
  }
  for (auto it = mSilent.begin(); it != mSilent.end();) {
    SilentStream& silent = **it++;
    if (silent.mPending.empty()) {
      EndSilent(silent);
    }
  }
}

} // namespace amaranthgap
