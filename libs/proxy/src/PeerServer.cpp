#include "proxy/PeerServer.h"

#include <utility>

#include "wire/FrameCodec.h"

namespace amaranthgap {

namespace {

// How long a peer may take to acknowledge what was sent.
constexpr Duration kUserTimeout = milliseconds(1500);

} // namespace

class PeerServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(PeerServer& aServer,
             uint64_t aId,
             std::unique_ptr<TcpStream> aStream)
    : mServer(aServer)
    , mId(aId)
    , mStream(std::move(aStream))
    , mReader([&account = *aServer.mAccount](size_t aBytes) {
      return account.HasRoomFor(aBytes);
    })
    , mInput(aServer.mAccount, MemoryUse::PeerInput)
  {
  }

  void Start()
  {
    const std::weak_ptr<Connection> weak = weak_from_this();
    StreamCallbacks events;
    events.mOnData = [weak](std::string_view aData) {
      if (const auto self = weak.lock()) {
        self->Received(aData);
      }
    };
    events.mOnClosed = [weak](StreamEnd) {
      if (const auto self = weak.lock()) {
        self->Ended();
      }
    };
    mStream->SetCallbacks(std::move(events));
    Send(mServer.mEvents.mState());
  }

  void Send(const LinkMessage& aMessage) { Write(EncodeFrame(aMessage)); }
  void Write(std::string aFrame) { mStream->Write(std::move(aFrame)); }
  /** Closes once the peer has what was written. */
  void Finish(TimePoint aNow) { mStream->Finish(aNow); }
  /** @return the data centre of the peer; empty before its first message. */
  [[nodiscard]] const std::string& DataCentre() const
  {
    return mPeer.mDataCentre;
  }
  [[nodiscard]] CrashExchange::Peer Peer() const
  {
    return { mPeer.mNode, mPeer.mService, mPeer.mRegion };
  }
  [[nodiscard]] bool TakesCrashNotices() const
  {
    return mRevision >= uint8_t(LinkRevision::CrashNotices);
  }

private:
  void Received(std::string_view aData)
  {
    mReader.Feed(aData);
    HandleMessages();
    while (const auto skipped = mReader.NextSkipped()) {
      Refuse(*skipped);
    }
    mInput.Set(mReader.BufferedBytes());
  }

  /** Refuses an attempt that was not read. */
  void Refuse(const SkippedFrame& aSkipped)
  {
    if (!aSkipped.mIsRequest) {
      return; // Only this side replies on this connection.
    }
    mServer.mLogger.Write(
      EventLoop::Now(),
      LogLevel::Warning,
      "attempt-without-room",
      { { "peer", mPeer.mNode },
        { "held", std::to_string(mServer.mAccount->Held()) } });
    ForwardReply reply;
    reply.mCall = aSkipped.mCall;
    reply.mReason = AttemptReason::NoRoom;
    reply.mLoad = mServer.mEvents.mLoad();
    Send(reply);
  }

  void HandleMessages()
  {
    while (mStream->IsOpen()) {
      auto message = mReader.Next();
      if (!message) {
        mServer.mLogger.Write(EventLoop::Now(),
                              LogLevel::Warning,
                              "peer-message-unusable",
                              { { "peer", mStream->Peer() },
                                { "detail", message.error().ToString() } });
        CancelAll();
        Finish(EventLoop::Now());
        return;
      }
      if (!message.value()) {
        return;
      }
      Handle(std::move(*message.value()));
    }
  }

  void Handle(LinkMessage aMessage)
  {
    if (auto* request = std::get_if<ForwardRequest>(&aMessage)) {
      Run(std::move(*request));
    } else if (const auto* cancel = std::get_if<ForwardCancel>(&aMessage)) {
      if (const auto it = mRunning.extract(cancel->mCall)) {
        mServer.mEvents.mCancel(it.mapped());
      }
    } else if (const auto* probe = std::get_if<LinkProbe>(&aMessage)) {
      if (!probe->mIsAnswer) {
        Send(LinkProbe{ .mIsAnswer = true });
      }
    } else if (const auto* ask = std::get_if<RoutesRequest>(&aMessage)) {
      if (auto document = mServer.mEvents.mRoutes(ask->mHave);
          !document.empty()) {
        Send(RoutesDocument{ std::move(document) });
      }
    } else if (const auto* hello = std::get_if<LinkHello>(&aMessage)) {
      mPeer = hello->mFrom;
      mRevision = hello->mLinkRevision;
      if (hello->mNotice) {
        mServer.mEvents.mNotice(hello->mFrom, *hello->mNotice);
      }
      if (const NodeList nodes = mServer.mEvents.mHello(hello->mFrom);
          !nodes.mNodes.empty()) {
        Send(nodes);
      }
      SendCrashNotices();
    } else if (const auto* crashes = std::get_if<CrashNotice>(&aMessage)) {
      mServer.mEvents.mCrashes(Peer(), *crashes);
    } else if (const auto* usage =
                 std::get_if<CustomerUsageReport>(&aMessage)) {
      mServer.mEvents.mUsage(Peer(), *usage);
    }
  }

  void SendCrashNotices()
  {
    if (TakesCrashNotices()) {
      for (const CrashNotice& it : mServer.mEvents.mCrashNotices(Peer())) {
        Send(it);
      }
    }
  }

  void Run(ForwardRequest aRequest)
  {
    const uint64_t call = aRequest.mCall;
    const std::weak_ptr<Connection> weak = weak_from_this();
    mRunning[call] = mServer.mEvents.mRun(std::move(aRequest),
                                          [weak, call](ForwardReply aReply) {
                                            if (const auto self = weak.lock()) {
                                              self->mRunning.erase(call);
                                              aReply.mCall = call;
                                              self->Send(aReply);
                                            }
                                          });
  }

  void CancelAll()
  {
    for (const auto& [call, running] : std::exchange(mRunning, {})) {
      mServer.mEvents.mCancel(running);
    }
  }

  void Ended()
  {
    CancelAll();
    mServer.Drop(mId);
  }

  PeerServer& mServer;
  uint64_t mId;
  std::unique_ptr<TcpStream> mStream;
  FrameReader mReader;
  MemoryAccount::Share mInput;
  NodeAddress mPeer; ///< Empty before its first message.
  uint8_t mRevision = 0;
  std::unordered_map<uint64_t, uint64_t> mRunning; ///< By call of the peer.
};

PeerServer::PeerServer(EventLoop& aLoop,
                       Logger& aLogger,
                       std::shared_ptr<MemoryAccount> aAccount,
                       Events aEvents)
  : mLoop(aLoop)
  , mLogger(aLogger)
  , mAccount(std::move(aAccount))
  , mEvents(std::move(aEvents))
  , mListener(aLoop)
{
}

PeerServer::~PeerServer() = default;

Status
PeerServer::Listen(const std::string& aAddress)
{
  return mListener.Listen(aAddress,
                          { .mUserTimeout = kUserTimeout,
                            .mAccount = mAccount,
                            .mUse = MemoryUse::PeerOutput },
                          [this](std::unique_ptr<TcpStream> aStream) {
                            Accepted(std::move(aStream));
                          });
}

void
PeerServer::Accepted(std::unique_ptr<TcpStream> aStream)
{
  const uint64_t id = ++mLastId;
  auto connection = std::make_shared<Connection>(*this, id, std::move(aStream));
  mConnections.emplace(id, connection);
  connection->Start();
}

void
PeerServer::Drop(uint64_t aConnection)
{
  const auto it = mConnections.find(aConnection);
  if (it != mConnections.end()) {
    // The connection may be on the stack.
    mLoop.Defer([connection = std::move(it->second)] {});
    mConnections.erase(it);
  }
}

void
PeerServer::Finish(TimePoint aNow)
{
  mListener.Close();
  for (const auto& [id, connection] : mConnections) {
    connection->Finish(aNow);
  }
}

void
PeerServer::SendToAll(const LinkMessage& aMessage)
{
  const std::string frame = EncodeFrame(aMessage);
  for (const auto& [id, connection] : mConnections) {
    connection->Write(frame);
  }
}

void
PeerServer::Announce()
{
  SendToAll(mEvents.mState());
}

void
PeerServer::Report(const LoadReport& aReport)
{
  SendToAll(aReport);
}

void
PeerServer::Notify(const StoreNotice& aNotice)
{
  SendToAll(aNotice);
}

void
PeerServer::SendCrashes(const CrashNotice& aNotice,
                        const CrashExchange::PeerFilter& aFilter)
{
  for (const auto& [id, connection] : mConnections) {
    if (connection->TakesCrashNotices() && aFilter(connection->Peer())) {
      connection->Send(aNotice);
    }
  }
}

void
PeerServer::TellNodes(const std::string& aDataCentre, const NodeList& aNodes)
{
  for (const auto& [id, connection] : mConnections) {
    if (connection->DataCentre() == aDataCentre) {
      connection->Send(aNodes);
    }
  }
}

} // namespace amaranthgap
