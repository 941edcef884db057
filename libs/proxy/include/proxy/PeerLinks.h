#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Logger.h"
#include "forwarding/PeerNotices.h"
#include "forwarding/UsageExchange.h"
#include "net/EventLoop.h"
#include "net/TcpStream.h"
#include "proxy/CrashExchange.h"
#include "wire/ForwardMessages.h"
#include "wire/FrameCodec.h"

namespace amaranthgap {

/** Connections from this node to the nodes beside targets. A connection that
 * is silent while answers are due is probed and replaced. Non-idempotent
 * attempts wait for their answers on the silent connection: their node may be
 * frozen or slow while the upstream works on. Not safe for use by several
 * threads. */
class PeerLinks
{
public:
  using Done = std::function<void(ForwardReply)>;

  struct Events
  {
    std::function<void(const NodeState&)> mState;
    /** The connection to a node ended; nothing is known of it until it is
     * connected again. */
    std::function<void(const std::string&)> mLost;
    std::function<void(std::string)> mRoutes;
    /** Takes the load that a node told of itself. */
    std::function<void(const std::string&, const LoadReport&)> mLoad;
    std::function<void(const std::vector<NodeAddress>&)> mNodes;
    /** Takes the name of the sending node. */
    std::function<void(const std::string&, const StoreNotice&)> mNotice;
    std::function<void(const CrashExchange::Peer&, const CrashNotice&)>
      mCrashes;
    /** @return the notices of crashes to send to a node when it is connected.
     */
    std::function<std::vector<CrashNotice>(const CrashExchange::Peer&)>
      mCrashNotices;
    /** @return whether there is room for a reply of that many bytes. */
    std::function<bool(size_t)> mHasRoom;
    /** @return the address of this node, sent on each new connection. */
    std::function<NodeAddress()> mSelf;
  };

  /** @param aAccount of the whole process. */
  PeerLinks(EventLoop& aLoop,
            Logger& aLogger,
            std::shared_ptr<MemoryAccount> aAccount,
            Events aEvents);
  ~PeerLinks();

  /** Sets the nodes to be connected to. The address of a node is replaced when
   * its run is newer; a connection that is no longer wanted is closed once its
   * attempts have ended. */
  void SetLinks(TimePoint aNow, const std::vector<NodeAddress>& aNodes);

  /** Sends an attempt to a node; aDone is called once, never from within this
   * call.
   * @return a number for Cancel. */
  uint64_t Send(TimePoint aNow,
                const std::string& aNode,
                ForwardRequest aRequest,
                Done aDone);
  /** Tells a node to stop an attempt; aDone is not called. */
  void Cancel(const std::string& aNode, uint64_t aCall);
  /** Asks one connected node for routes above a version. */
  void AskRoutes(const std::string& aNode, uint64_t aHave);

  /** Sends a notice to the connected nodes that a function selects. */
  void SendCrashes(const CrashNotice& aNotice,
                   const CrashExchange::PeerFilter& aFilter);
  /** Sends a report to a connected node. */
  void SendUsage(const std::string& aNode, const CustomerUsageReport& aReport);
  /** @return the connected nodes that take reports of usage. */
  [[nodiscard]] std::vector<UsageExchange::Peer> UsagePeers() const;
  [[nodiscard]] bool IsConnected(std::string_view aNode) const;

  /** Probes and reopens connections; to be called every 100 ms or so. */
  void Tick(TimePoint aNow);

  [[nodiscard]] size_t Size() const { return mLinks.size(); }
  [[nodiscard]] size_t Connected() const;
  /** @return the latest states sent by the connected nodes. */
  [[nodiscard]] std::vector<const NodeState*> ConnectedStates() const;

private:
  struct Link;
  struct SilentStream;
  /** Attempt that was sent and has no answer yet. */
  struct Pending
  {
    Done mDone;
    bool mIsIdempotent = false;
  };
  using PendingAttempts = std::unordered_map<uint64_t, Pending>;

  struct Silence
  {
    Duration mProbe;
    Duration mGiveUp;
  };

  static Silence SilenceOf(const Link& aLink);
  void Add(TimePoint aNow, const NodeAddress& aPeer);

  void Open(TimePoint aNow, Link& aLink);
  void Received(Link& aLink, std::string_view aData);
  void Handle(Link& aLink, LinkMessage aMessage);
  /** Ends the attempts whose replies were not read. */
  void EndSkipped(const std::string& aNode,
                  FrameReader& aReader,
                  PendingAttempts& aPending);
  /** Keeps what a reply tells of the upstream that it comes from. */
  void NoteReply(const std::string& aNode, const ForwardReply& aReply);
  void Ended(const std::string& aNode, StreamEnd aEnd);
  /** Replaces a silent connection. */
  void GiveUp(Link& aLink);
  /** Keeps a silent connection open for its non-idempotent attempts. */
  void KeepSilentStream(Link& aLink);
  void ReceivedSilent(SilentStream& aSilent, std::string_view aData);
  /** Ends a silent connection; attempts without an answer may have run. */
  void EndSilent(SilentStream& aSilent);
  static void FailPending(const PendingAttempts& aPending,
                          AttemptOutcome aOutcome);

  EventLoop& mLoop;
  Logger& mLogger;
  std::shared_ptr<MemoryAccount> mAccount;
  Events mEvents;
  uint64_t mLastCall = 0;
  PeerNotices mNotices;
  std::map<std::string, std::unique_ptr<Link>, std::less<>> mLinks;
  std::list<std::unique_ptr<SilentStream>> mSilent;
};

} // namespace amaranthgap
