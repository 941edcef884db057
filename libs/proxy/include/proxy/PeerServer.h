#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/Logger.h"
#include "net/EventLoop.h"
#include "net/TcpStream.h"
#include "proxy/CrashExchange.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Accepts connections of other nodes and runs their attempts. Not safe for
 * use by several threads. */
class PeerServer
{
public:
  using Answer = std::function<void(ForwardReply)>;

  struct Events
  {
    /** @return a number for mCancel. */
    std::function<uint64_t(ForwardRequest, Answer)> mRun;
    std::function<void(uint64_t)> mCancel;
    /** @return the load to tell with the refusal of an attempt that was not
     * read, for want of memory. */
    std::function<GateLoad()> mLoad;
    std::function<NodeState()> mState;
    /** @return the routes document when it is newer than the version. */
    std::function<std::string(uint64_t)> mRoutes;
    /** Takes the address of a node that has connected.
     * @return the nodes to send to it, if any. */
    std::function<NodeList(const NodeAddress&)> mHello;
    /** Takes what the upstream beside this node told a peer earlier. */
    std::function<void(const NodeAddress&, const UpstreamNotice&)> mNotice;
    std::function<void(const CrashExchange::Peer&, const CrashNotice&)>
      mCrashes;
    std::function<void(const CrashExchange::Peer&, const CustomerUsageReport&)>
      mUsage;
    /** @return the notices of crashes to send to a node that has connected. */
    std::function<std::vector<CrashNotice>(const CrashExchange::Peer&)>
      mCrashNotices;
  };

  /** @param aAccount of the whole process. */
  PeerServer(EventLoop& aLoop,
             Logger& aLogger,
             std::shared_ptr<MemoryAccount> aAccount,
             Events aEvents);
  ~PeerServer();

  Status Listen(const std::string& aAddress);
  /** Tells all connected nodes the present state of this node. */
  void Announce();
  /** Tells all connected nodes the load of this node. */
  void Report(const LoadReport& aReport);
  /** Sends a notice to all connected nodes. */
  void Notify(const StoreNotice& aNotice);
  /** Sends a list of nodes to the connected nodes of one data centre. */
  void TellNodes(const std::string& aDataCentre, const NodeList& aNodes);
  /** Sends a notice to the connected nodes that a function selects. */
  void SendCrashes(const CrashNotice& aNotice,
                   const CrashExchange::PeerFilter& aFilter);
  /** Accepts no more connections, and closes all after what was sent. What
   * peers still send is not read. A connection counts until its peer has closed
   * it or is given up. */
  void Finish(TimePoint aNow);
  [[nodiscard]] size_t Connections() const { return mConnections.size(); }
  [[nodiscard]] uint16_t Port() const { return mListener.Port(); }

private:
  class Connection;

  void Accepted(std::unique_ptr<TcpStream> aStream);
  void SendToAll(const LinkMessage& aMessage);
  void Drop(uint64_t aConnection);

  EventLoop& mLoop;
  Logger& mLogger;
  std::shared_ptr<MemoryAccount> mAccount;
  Events mEvents;
  TcpListener mListener;
  uint64_t mLastId = 0;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> mConnections;
};

} // namespace amaranthgap
