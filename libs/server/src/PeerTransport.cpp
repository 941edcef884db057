#include "server/PeerTransport.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <netdb.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthgap {

namespace {

constexpr const char* kAnyHost = "0.0.0.0";
// Messages that nng holds for one addressee; more wait in Peer::mPending.
constexpr int kSendBuffer = 1024;
// A broken connection is reported and closed, never reopened by nng: what it
// still holds must not reach a later incarnation.
constexpr nng_duration kNeverReconnect = 3'600'000;
// The limit of a datagram is checked by the codec; more is cut and dropped.
constexpr size_t kDatagramBuffer = 2048;
constexpr Duration kCompactInterval = seconds(5);

bool
SplitAddress(const std::string& aAddress,
             std::string& aHost,
             std::string& aPort)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos || colon + 1 == aAddress.size()) {
    return false;
  }
  aHost = aAddress.substr(0, colon);
  if (aHost.starts_with('[') && aHost.ends_with(']')) {
    aHost = aHost.substr(1, aHost.size() - 2);
  }
  aPort = aAddress.substr(colon + 1);
  return true;
}

struct SocketAddress
{
  sockaddr_storage mStorage{};
  socklen_t mLength = 0;
};

bool
Resolve(const std::string& aAddress, SocketAddress& aOut)
{
  std::string host;
  std::string port;
  if (!SplitAddress(aAddress, host, port)) {
    return false;
  }
  addrinfo hints{};
  hints.ai_socktype = SOCK_DGRAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  addrinfo* found = nullptr;
  if (getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0) {
    return false;
  }
  std::memcpy(&aOut.mStorage, found->ai_addr, found->ai_addrlen);
  aOut.mLength = found->ai_addrlen;
  freeaddrinfo(found);
  return true;
}

// Connections come from the address that this node listens on, as datagrams do:
// on a host with several addresses the routing table could choose another one,
// which the peer's network rules may not admit.
std::string
DialUrl(const std::string& aListenAddress, const std::string& aPeerAddress)
{
  std::string host;
  std::string port;
  if (!SplitAddress(aListenAddress, host, port) || host == kAnyHost) {
    return "tcp://" + aPeerAddress;
  }
  return "tcp://" + host + ";" + aPeerAddress;
}

bool
SendBytes(nng_socket aSocket, const std::string& aBytes)
{
  nng_msg* msg = nullptr;
  if (nng_msg_alloc(&msg, 0) != 0) {
    return false;
  }
  if (nng_msg_append(msg, aBytes.data(), aBytes.size()) != 0 ||
      nng_sendmsg(aSocket, msg, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(msg);
    return false;
  }
  return true;
}

void
CloseSocket(nng_socket aSocket)
{
  if (nng_socket_id(aSocket) > 0) {
    nng_close(aSocket);
  }
}

} // namespace

PeerTransport::PeerTransport(Options aOptions, Hooks aHooks)
  : mOptions(std::move(aOptions))
  , mHooks(std::move(aHooks))
  , mCodec(mOptions.mCodec)
  , mSelf(mOptions.mSelf)
{
}

PeerTransport::~PeerTransport()
{
  Stop(Duration::zero());
}

// -- Start and stop ---------------------------------------------------------

Status
PeerTransport::Start()
{
  BOOST_OUTCOME_TRY(OpenStreamListener());
  BOOST_OUTCOME_TRY(OpenDatagramSocket());
  for (auto& receiver : mReceivers) {
    receiver.mOwner = this;
    nng_aio_alloc(&receiver.mAio, &OnReceived, &receiver);
    nng_recv_aio(mPull, receiver.mAio);
  }
  mDatagramThread = std::thread([this] { ReceiveDatagrams(); });
  return boost::outcome_v2::success();
}

Status
PeerTransport::OpenStreamListener()
{
  const std::string url = "tcp://" + mOptions.mListenAddress;
  int rv = nng_pull0_open(&mPull);
  if (rv == 0) {
    rv = nng_socket_set_size(mPull, NNG_OPT_RECVMAXSZ, Codec::kLargestMessage);
  }
  if (rv == 0) {
    rv = nng_listen(mPull, url.c_str(), nullptr, 0);
  }
  if (rv != 0) {
    return Error{ Step::Listen, mOptions.mListenAddress, nng_strerror(rv) };
  }
  return boost::outcome_v2::success();
}

Status
PeerTransport::OpenDatagramSocket()
{
  SocketAddress address;
  if (!Resolve(mOptions.mListenAddress, address)) {
    return Error{ Step::Listen, mOptions.mListenAddress, "not an ip:port" };
  }
  mDatagramSocket =
    socket(address.mStorage.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  // The receive call returns now and then to see the end of the transport.
  const timeval wait{ .tv_sec = 0, .tv_usec = 200'000 };
  setsockopt(mDatagramSocket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
  if (bind(mDatagramSocket,
           reinterpret_cast<const sockaddr*>(&address.mStorage),
           address.mLength) != 0) {
    return Error{ Step::Listen, mOptions.mListenAddress, std::strerror(errno) };
  }
  return boost::outcome_v2::success();
}

void
PeerTransport::Stop(Duration aFlush)
{
  const auto deadline = std::chrono::steady_clock::now() + aFlush;
  const auto waits = [this] {
    const auto peers = ListPeers();
    return std::any_of(peers.begin(), peers.end(), [](Peer* aPeer) {
      const std::scoped_lock lock(aPeer->mMutex);
      return !aPeer->mPending.empty();
    });
  };
  while (waits() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  if (aFlush > Duration::zero()) {
    // nng does not tell when its buffers have reached the kernel.
    std::this_thread::sleep_for(std::min<Duration>(aFlush, milliseconds(50)));
  }
  if (mStopping.exchange(true)) {
    return;
  }
  for (Peer* peer : ListPeers()) {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    {
      const std::scoped_lock lock(peer->mMutex);
      socket = DetachLocked(*peer);
    }
    CloseSocket(socket);
  }
  mConnector.Stop();
  mReporter.Stop();
  CloseSocket(mPull);
  for (auto& receiver : mReceivers) {
    if (receiver.mAio != nullptr) {
      nng_aio_stop(receiver.mAio);
      nng_aio_free(std::exchange(receiver.mAio, nullptr));
    }
  }
  if (mDatagramThread.joinable()) {
    mDatagramThread.join();
  }
  if (mDatagramSocket >= 0) {
    close(std::exchange(mDatagramSocket, -1));
  }
}

void
PeerTransport::SetSelf(const NodeRef& aSelf)
{
  const std::scoped_lock lock(mMutex);
  mSelf = aSelf;
}

// -- Send -------------------------------------------------------------------

void
PeerTransport::Send(TimePoint aDecided, const SendMessage& aMessage)
{
  if (mStopping) {
    return;
  }
  if (aMessage.mTransport == Transport::Datagram) {
    SendDatagram(aMessage);
  } else {
    SendStream(aDecided, aMessage);
  }
}

Result<std::string>
PeerTransport::Encode(const SendMessage& aMessage)
{
  Envelope envelope{ .mFrom = {},
                     .mFromAddress = mOptions.mPeerAddress,
                     .mTo = aMessage.mTo,
                     .mSequence = ++mSequence,
                     .mMessage = aMessage.mMessage };
  {
    const std::scoped_lock lock(mMutex);
    envelope.mFrom = mSelf;
  }
  auto bytes = mCodec.Encode(envelope);
  if (!bytes) {
    ++mCounters.mSendFailures;
    mHooks.mSendFailed(bytes.error());
  }
  return bytes;
}

void
PeerTransport::SendDatagram(const SendMessage& aMessage)
{
  SocketAddress address;
  const auto bytes = Encode(aMessage);
  if (!bytes || !Resolve(aMessage.mAddress, address)) {
    return;
  }
  const ssize_t n = sendto(mDatagramSocket,
                           bytes.value().data(),
                           bytes.value().size(),
                           MSG_DONTWAIT,
                           reinterpret_cast<const sockaddr*>(&address.mStorage),
                           address.mLength);
  if (n < 0) {
    ++mCounters.mSendFailures;
    return;
  }
  ++mCounters.mDatagramsSent;
  mCounters.mSentBytes += size_t(n);
}

PeerTransport::Peer&
PeerTransport::FindPeer(const SendMessage& aMessage)
{
  const std::scoped_lock lock(mMutex);
  auto& peer = mPeers[{ aMessage.mTo, aMessage.mAddress }];
  if (!peer) {
    peer = std::make_unique<Peer>();
    peer->mOwner = this;
    peer->mNode = aMessage.mTo;
    peer->mAddress = aMessage.mAddress;
  }
  return *peer;
}

void
PeerTransport::SendStream(TimePoint aDecided, const SendMessage& aMessage)
{
  auto bytes = Encode(aMessage);
  if (!bytes) {
    return;
  }
  Peer& peer = FindPeer(aMessage);
  bool connect = false;
  bool lost = false;
  {
    const std::scoped_lock lock(peer.mMutex);
    if (peer.mState == State::Losing) {
      peer.mRefused = true;
      return;
    }
    if (aDecided <= peer.mLastLoss) {
      // A connection opened since then must not be reported as lost.
      if (peer.mState == State::Closed) {
        lost = BeginLossLocked(peer);
      }
    } else {
      peer.mLastUse = std::chrono::steady_clock::now();
      peer.mPendingBytes += bytes.value().size();
      peer.mPending.push_back(std::move(bytes.value()));
      if (peer.mState == State::Open) {
        FlushLocked(peer);
        lost = peer.mPendingBytes > mOptions.mMaxPendingBytes &&
               BeginLossLocked(peer);
      } else if (peer.mState == State::Closed) {
        peer.mState = State::Connecting;
        peer.mConnectStart = peer.mLastUse;
        connect = true;
      }
    }
  }
  if (connect) {
    mConnector.Submit([this, &peer] { Connect(peer); });
  }
  if (lost) {
    mReporter.Submit([this, &peer] { ReportLoss(peer); });
  }
}

void
PeerTransport::FlushLocked(Peer& aPeer)
{
  while (!aPeer.mPending.empty()) {
    const std::string& bytes = aPeer.mPending.front();
    if (!SendBytes(aPeer.mSocket, bytes)) {
      return;
    }
    aPeer.mHanded = true;
    ++mCounters.mSent;
    mCounters.mSentBytes += bytes.size();
    aPeer.mPendingBytes -= bytes.size();
    aPeer.mPending.pop_front();
  }
}

// -- Connections ------------------------------------------------------------

bool
PeerTransport::Dial(Peer& aPeer, nng_socket aSocket)
{
  const std::string url = DialUrl(mOptions.mListenAddress, aPeer.mAddress);
  nng_dialer dialer = NNG_DIALER_INITIALIZER;
  return nng_socket_set_int(aSocket, NNG_OPT_SENDBUF, kSendBuffer) == 0 &&
         nng_socket_set_ms(aSocket, NNG_OPT_RECONNMINT, kNeverReconnect) == 0 &&
         nng_pipe_notify(aSocket, NNG_PIPE_EV_REM_POST, &OnPipeEvent, &aPeer) ==
           0 &&
         nng_dialer_create(&dialer, aSocket, url.c_str()) == 0 &&
         nng_dialer_set_bool(dialer, NNG_OPT_TCP_KEEPALIVE, true) == 0 &&
         nng_dialer_start(dialer, 0) == 0;
}

void
PeerTransport::Connect(Peer& aPeer)
{
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  const bool opened = nng_push0_open(&socket) == 0;
  {
    const std::scoped_lock lock(aPeer.mMutex);
    if (aPeer.mState != State::Connecting || nng_socket_id(aPeer.mSocket) > 0) {
      nng_close(socket);
      return;
    }
    aPeer.mSocket = socket;
  }
  ++mCounters.mConnects;
  const bool dialled = opened && Dial(aPeer, socket);
  {
    const std::scoped_lock lock(aPeer.mMutex);
    if (aPeer.mState != State::Connecting ||
        nng_socket_id(aPeer.mSocket) != nng_socket_id(socket)) {
      return;
    }
    if (dialled) {
      aPeer.mState = State::Open;
      FlushLocked(aPeer);
      return;
    }
    BeginLossLocked(aPeer);
  }
  ReportLoss(aPeer);
}

void
PeerTransport::OnPipeEvent(nng_pipe aPipe, nng_pipe_ev, void* aPeer)
{
  auto& peer = *static_cast<Peer*>(aPeer);
  bool lost = false;
  {
    const std::scoped_lock lock(peer.mMutex);
    // The pipe of a connection closed for idleness may be reported after the
    // next connection was begun, which it says nothing about.
    const bool isCurrent =
      nng_socket_id(nng_pipe_socket(aPipe)) == nng_socket_id(peer.mSocket);
    lost = isCurrent &&
           (peer.mState == State::Open || peer.mState == State::Connecting) &&
           peer.mOwner->BeginLossLocked(peer);
  }
  if (lost) {
    // A socket cannot be closed on the thread of its own callback.
    peer.mOwner->mReporter.Submit([&peer] { peer.mOwner->ReportLoss(peer); });
  }
}

bool
PeerTransport::BeginLossLocked(Peer& aPeer)
{
  aPeer.mState = State::Losing;
  aPeer.mPending.clear();
  aPeer.mPendingBytes = 0;
  return true;
}

void
PeerTransport::ReportLoss(Peer& aPeer)
{
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool neverSent = false;
  {
    const std::scoped_lock lock(aPeer.mMutex);
    std::swap(socket, aPeer.mSocket);
    neverSent = !std::exchange(aPeer.mHanded, false);
  }
  CloseSocket(socket);
  ++mCounters.mLosses;
  while (!mStopping) {
    mHooks.mLost(aPeer.mNode, neverSent);
    const std::scoped_lock lock(aPeer.mMutex);
    if (!std::exchange(aPeer.mRefused, false)) {
      break;
    }
    // Everything handed over was covered by the first report.
    neverSent = true;
  }
  const std::scoped_lock lock(aPeer.mMutex);
  if (std::exchange(aPeer.mRefused, false) && !mStopping) {
    mReporter.Submit([this, &aPeer] { ReportLoss(aPeer); });
    return;
  }
  aPeer.mLastLoss = std::chrono::steady_clock::now();
  aPeer.mState = State::Closed;
}

nng_socket
PeerTransport::DetachLocked(Peer& aPeer)
{
  aPeer.mState = State::Closed;
  aPeer.mPending.clear();
  aPeer.mPendingBytes = 0;
  return std::exchange(aPeer.mSocket, nng_socket(NNG_SOCKET_INITIALIZER));
}

std::vector<PeerTransport::Peer*>
PeerTransport::ListPeers()
{
  std::vector<Peer*> peers;
  const std::scoped_lock lock(mMutex);
  peers.reserve(mPeers.size());
  for (const auto& [key, peer] : mPeers) {
    peers.push_back(peer.get());
  }
  return peers;
}

void
PeerTransport::Tick(TimePoint aNow)
{
  for (Peer* peer : ListPeers()) {
    TickPeer(*peer, aNow);
  }
  if (aNow - mLastCompact > kCompactInterval) {
    mLastCompact = aNow;
    mReplays.Compact(aNow);
  }
}

void
PeerTransport::TickPeer(Peer& aPeer, TimePoint aNow)
{
  bool lost = false;
  nng_socket idle = NNG_SOCKET_INITIALIZER;
  {
    const std::scoped_lock lock(aPeer.mMutex);
    if (aPeer.mState == State::Open) {
      FlushLocked(aPeer);
      if (aPeer.mPending.empty() &&
          aNow - aPeer.mLastUse > mOptions.mIdleTimeout) {
        idle = DetachLocked(aPeer);
      }
    } else if (aPeer.mState == State::Connecting) {
      lost = aNow - aPeer.mConnectStart > mOptions.mConnectTimeout &&
             BeginLossLocked(aPeer);
    }
  }
  if (lost) {
    mReporter.Submit([this, &aPeer] { ReportLoss(aPeer); });
  }
  CloseSocket(idle);
}

size_t
PeerTransport::GetOpenConnectionCount()
{
  const auto peers = ListPeers();
  return size_t(std::count_if(peers.begin(), peers.end(), [](Peer* aPeer) {
    const std::scoped_lock lock(aPeer->mMutex);
    return aPeer->mState == State::Open;
  }));
}

// -- Receive ----------------------------------------------------------------

void
PeerTransport::OnReceived(void* aReceiver)
{
  auto& receiver = *static_cast<Receiver*>(aReceiver);
  PeerTransport& owner = *receiver.mOwner;
  if (nng_aio_result(receiver.mAio) != 0) {
    return; // Closed.
  }
  nng_msg* msg = nng_aio_get_msg(receiver.mAio);
  ++owner.mCounters.mReceived;
  owner.mCounters.mReceivedBytes += nng_msg_len(msg);
  owner.Take({ static_cast<const char*>(nng_msg_body(msg)), nng_msg_len(msg) },
             "stream");
  nng_msg_free(msg);
  nng_recv_aio(owner.mPull, receiver.mAio);
}

void
PeerTransport::ReceiveDatagrams()
{
  std::array<char, kDatagramBuffer> buf{};
  while (!mStopping) {
    const ssize_t n = recv(mDatagramSocket, buf.data(), buf.size(), 0);
    if (n >= 0) {
      ++mCounters.mDatagramsReceived;
      mCounters.mReceivedBytes += size_t(n);
      Take({ buf.data(), size_t(n) }, "datagram");
    }
  }
}

void
PeerTransport::Take(std::string_view aBytes, std::string_view aTransport)
{
  NodeRef self;
  {
    const std::scoped_lock lock(mMutex);
    self = mSelf;
  }
  auto decoded = mCodec.Decode(aBytes, self);
  if (auto* envelope = std::get_if<Envelope>(&decoded)) {
    if (mReplays.Accept(std::chrono::steady_clock::now(),
                        envelope->mFrom,
                        envelope->mSequence)) {
      mHooks.mArrived(std::move(*envelope));
      return;
    }
    decoded = Rejection::Replayed;
  }
  const Rejection cause = std::get<Rejection>(decoded);
  ++mCounters.mRejected[size_t(cause)];
  mHooks.mRejected(cause, aTransport);
}

} // namespace amaranthgap
