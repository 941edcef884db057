#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>

#include "BlockingServer.h"

namespace amaranthgap {

/**
 * Forwards TCP connections and UDP datagrams between groups of processes and
 * cuts groups off, without a change to the host's network.
 *
 * A process belongs to the group whose prefix its address begins with. Nothing
 * passes between a group that is cut off and any other group, and no reset or
 * refusal shows the cut: datagrams are dropped; connections that were forwarded
 * stall, and go on after the reconnection, as with TCP's repetitions; those
 * that were opened during the cut are closed at the reconnection, with nothing
 * forwarded.
 *
 * One thread forwards. Safe for use by several threads.
 */
class Relay
{
public:
  struct Route
  {
    std::string mListen;
    std::string mTarget;
    std::string mFrom; ///< Group of the clients; empty: by their address.

    /** Reads `LISTEN=TARGET` or `LISTEN=TARGET@GROUP`.
     * @throws std::invalid_argument */
    static Route Parse(const std::string& aText);
  };

  struct Options
  {
    std::string mControl;
    std::vector<Route> mRoutes;
    std::map<std::string, std::string> mGroupOfPrefix;
  };

  explicit Relay(Options aOptions);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /** @return whether all addresses could be bound. */
  bool Start();
  void Stop();

private:
  struct Port
  {
    int mStream = -1;
    int mDatagram = -1;
    sockaddr_in mTarget{};
    std::string mFrom;
    std::string mTo;
  };

  /** One direction of a connection. */
  struct Flow
  {
    std::string mPending; ///< Read, not yet written.
    bool mHasEnded = false;
  };

  struct Connection
  {
    std::array<int, 2> mSockets{ -1, -1 }; ///< Client, target.
    std::array<Flow, 2> mFlows;            ///< From each of the sockets.
    const Port* mPort = nullptr;
    std::string mFrom;
    bool mIsHeld = false; ///< Opened during a cut.
    bool mIsStalled = false;
    std::array<size_t, 2> mEvents{};
  };

  void ServeControl();
  void SetCut(const httplib::Request& aRequest,
              httplib::Response& aResponse,
              bool aIsCut);
  bool Open(const Route& aRoute);
  void Run();
  void Forward(std::vector<pollfd>& aEvents);
  void Accept(const Port& aPort);
  void PassDatagrams(const Port& aPort);
  /** @return whether the connection is still open. */
  bool Pass(Connection& aConnection, const std::vector<pollfd>& aEvents);
  bool IsCut(const std::string& aFrom, const std::string& aTo);
  [[nodiscard]] std::string GroupOf(const sockaddr_in& aAddress) const;

  Options mOptions;
  BlockingServer mControl;
  std::thread mThread;
  int mWake = -1;
  std::atomic<bool> mStopping = false;
  std::vector<Port> mPorts;           ///< Constant after Start.
  std::list<Connection> mConnections; ///< Of the forwarding thread.
  std::mutex mMutex;                  ///< Guards the members below.
  std::set<std::string> mCutOff;
  std::map<std::string, uint64_t> mCounts;
};

} // namespace amaranthgap
