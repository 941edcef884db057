#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

#include <nng/nng.h>

#include "base/Error.h"
#include "base/Time.h"
#include "node/Actions.h"
#include "server/WorkerPool.h"
#include "wire/Codec.h"
#include "wire/ReplayWindow.h"

namespace amaranthgap {

/**
 * Messages between nodes: one nng push socket per addressee, opened on demand
 * and closed when idle, one nng pull socket, and one UDP socket, the latter two
 * on the listen address, from whose host connections are also opened. Sends
 * never block. Every message passes the codec and the replay window.
 *
 * Safe for use by several threads. Hooks are called on threads of nng and of
 * the transport, with no lock held.
 */
class PeerTransport
{
public:
  struct Options
  {
    std::string mPeerAddress; ///< As told to peers.
    std::string mListenAddress;
    NodeRef mSelf;
    Codec::Options mCodec;
    Duration mIdleTimeout = seconds(60);
    Duration mConnectTimeout = seconds(2);
    /** Bytes that may wait for one addressee that does not read. */
    size_t mMaxPendingBytes = size_t(32) * 1024 * 1024;
  };

  struct Hooks
  {
    std::function<void(Envelope)> mArrived;
    /** See NodeLogic::PeerLost. */
    std::function<void(const NodeRef& aPeer, bool aNeverSent)> mLost;
    std::function<void(Rejection aCause, std::string_view aTransport)>
      mRejected;
    std::function<void(const Error& aError)> mSendFailed;
  };

  struct Counters
  {
    std::atomic<uint64_t> mSent = 0;
    std::atomic<uint64_t> mSentBytes = 0;
    std::atomic<uint64_t> mReceived = 0;
    std::atomic<uint64_t> mReceivedBytes = 0;
    std::atomic<uint64_t> mDatagramsSent = 0;
    std::atomic<uint64_t> mDatagramsReceived = 0;
    std::atomic<uint64_t> mSendFailures = 0;
    std::atomic<uint64_t> mConnects = 0;
    std::atomic<uint64_t> mLosses = 0;
    std::array<std::atomic<uint64_t>, EnumNames<Rejection>::kNames.size()>
      mRejected{};
  };

  PeerTransport(Options aOptions, Hooks aHooks);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  Status Start();
  /** Waits up to aFlush for messages that are queued, which Tick goes on to
   * send, and closes all. */
  void Stop(Duration aFlush);

  /** Replaces the own identity; the incarnation is final only after joining. */
  void SetSelf(const NodeRef& aSelf);

  /**
   * Sends one message without blocking.
   * @param aDecided time of the event from which the message follows. A
   *   message that was decided on before the loss of its addressee was reported
   *   is not sent any more: it would run work that has been declared not run.
   */
  void Send(TimePoint aDecided, const SendMessage& aMessage);

  /** Closes idle connections and sends what waits; every 10 to 100 ms, by one
   * thread. */
  void Tick(TimePoint aNow);

  [[nodiscard]] const Counters& GetCounters() const { return mCounters; }
  [[nodiscard]] size_t GetOpenConnectionCount();

private:
  enum class State : uint8_t
  {
    Closed,
    Connecting,
    Open,
    Losing, ///< The loss is being reported; nothing is sent.
  };

  /** One addressee. Never removed, since nng may refer to it in callbacks and
   * mHanded must outlive an idle connection. */
  struct Peer
  {
    PeerTransport* mOwner = nullptr;
    NodeRef mNode;
    std::string mAddress;
    std::mutex mMutex; ///< Guards the members below.
    State mState = State::Closed;
    nng_socket mSocket = NNG_SOCKET_INITIALIZER;
    std::deque<std::string> mPending;
    size_t mPendingBytes = 0;
    bool mHanded = false; ///< Something was handed to a connection, and no loss
                          ///< was reported since.
    bool mRefused = false; ///< A message was refused while in state Losing.
    TimePoint mLastLoss{};
    TimePoint mLastUse{};
    TimePoint mConnectStart{};
  };
  struct PeerKey
  {
    NodeRef mNode;
    std::string mAddress;

    bool operator==(const PeerKey&) const = default;
  };
  struct PeerKeyHash
  {
    size_t operator()(const PeerKey& aKey) const noexcept
    {
      return std::hash<NodeId>{}(aKey.mNode.mId) ^
             std::hash<Incarnation>{}(aKey.mNode.mIncarnation) ^
             std::hash<std::string>{}(aKey.mAddress);
    }
  };

  /** One receive operation of the pull socket. */
  struct Receiver
  {
    PeerTransport* mOwner = nullptr;
    nng_aio* mAio = nullptr;
  };

  static void OnPipeEvent(nng_pipe aPipe, nng_pipe_ev aEvent, void* aPeer);
  static void OnReceived(void* aReceiver);

  Peer& FindPeer(const SendMessage& aMessage);
  Result<std::string> Encode(const SendMessage& aMessage);
  void SendDatagram(const SendMessage& aMessage);
  void SendStream(TimePoint aDecided, const SendMessage& aMessage);
  void Connect(Peer& aPeer);
  bool Dial(Peer& aPeer, nng_socket aSocket);
  void FlushLocked(Peer& aPeer);
  bool BeginLossLocked(Peer& aPeer);
  void ReportLoss(Peer& aPeer);
  static nng_socket DetachLocked(Peer& aPeer);
  void TickPeer(Peer& aPeer, TimePoint aNow);
  std::vector<Peer*> ListPeers();
  void ReceiveDatagrams();
  void Take(std::string_view aBytes, std::string_view aTransport);
  Status OpenStreamListener();
  Status OpenDatagramSocket();

  Options mOptions; ///< Constant, like the next two.
  Hooks mHooks;
  Codec mCodec;
  ReplayWindow mReplays;
  Counters mCounters;
  std::atomic<uint64_t> mSequence = 0;
  std::atomic<bool> mStopping = false;
  TimePoint mLastCompact{};

  nng_socket mPull = NNG_SOCKET_INITIALIZER;
  std::array<Receiver, 8> mReceivers{};
  int mDatagramSocket = -1;
  std::thread mDatagramThread;
  WorkerPool mConnector{ 8 };
  // Apart from the connector, whose threads a host that does not answer can
  // all block until its loss is reported.
  WorkerPool mReporter{ 4 };

  std::mutex mMutex; ///< Guards the members below.
  NodeRef mSelf;
  std::unordered_map<PeerKey, std::unique_ptr<Peer>, PeerKeyHash> mPeers;
};

} // namespace amaranthgap
