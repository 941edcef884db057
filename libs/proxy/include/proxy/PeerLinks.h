#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/Logger.h"
#include "net/EventLoop.h"
#include "net/TcpStream.h"
#include "wire/ForwardMessages.h"
#include "wire/FrameCodec.h"

namespace amaranthgap {

/** Node as listed in the store. */
struct PeerAddress
{
  std::string mNode;
  uint64_t mRun = 0;
  std::string mAddress;
};

/** Connections from this node to the nodes beside targets. A connection that
 * is silent while answers are due is probed and given up. Not safe for use by
 * several threads. */
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
  };

  PeerLinks(EventLoop& aLoop, Logger& aLogger, Events aEvents);
  ~PeerLinks();

  /** Adds a node, or replaces its address when its run is newer. */
  void Add(TimePoint aNow, const PeerAddress& aPeer);
  /** Notes that the store lists a node no more. It is forgotten once it cannot
   * be reached either. */
  void Unlist(TimePoint aNow, const std::string& aNode);

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

  /** Probes and reopens connections; to be called every 100 ms or so. */
  void Tick(TimePoint aNow);

  [[nodiscard]] size_t Size() const { return mLinks.size(); }
  [[nodiscard]] size_t Connected() const;

private:
  struct Link;

  void Open(TimePoint aNow, Link& aLink);
  void Received(Link& aLink, std::string_view aData);
  void Handle(Link& aLink, LinkMessage aMessage);
  void Ended(const std::string& aNode, StreamEnd aEnd);
  void FailPending(Link& aLink, AttemptOutcome aOutcome);

  EventLoop& mLoop;
  Logger& mLogger;
  Events mEvents;
  uint64_t mLastCall = 0;
  std::map<std::string, std::unique_ptr<Link>> mLinks;
};

} // namespace amaranthgap
