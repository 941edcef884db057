#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/Audit.h"
#include "base/Logger.h"
#include "config/NodeSettings.h"
#include "node/NodeLogic.h"
#include "platform/KeyValueStore.h"
#include "server/CallerServer.h"
#include "server/Metrics.h"
#include "server/PeerTransport.h"
#include "server/StoreCaller.h"
#include "server/UpstreamClient.h"

namespace amaranthgap {

/** Exit status of a node process. */
enum class ExitStatus : uint8_t
{
  Clean = 0,
  CannotStart = 1,
  BadUsage = 2,
  CutOff = 3,     ///< Requests in flight were cut off at the end.
  Superseded = 4, ///< A newer incarnation of this node exists.
};

/**
 * One running node: the decisions with all of their shells. Events enter
 * through the hooks of the shells, on their threads; each carries out the
 * actions that it caused, with no lock held.
 */
class NodeProcess
{
public:
  NodeProcess(NodeSettings aSettings, std::shared_ptr<KeyValueStore> aStore);
  ~NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  /** Runs until SIGTERM or SIGINT and drains; a second signal cuts off what is
   * left. To be called on the main thread before others are started. */
  ExitStatus Run();

private:
  using Logic = NodeLogic<std::mutex>;

  static NodeOptions MakeNodeOptions(const NodeSettings& aSettings,
                                     const NodeRef& aSelf);
  PeerTransport::Options MakeTransportOptions() const;
  PeerTransport::Hooks MakeTransportHooks();
  CallerServer::Hooks MakeServerHooks();

  Status Start();
  ExitStatus WaitForEnd();
  ExitStatus Drain(bool aSuperseded);
  bool Stop();
  void TickLoop();
  void TickShells(TimePoint aNow, uint64_t aTick);
  void FollowIdentity(TimePoint aNow);

  /** Passes one event to the decisions and carries out the actions. */
  template<class Event>
  void Dispatch(Latency aLatency, Event aEvent);
  template<class Event>
  void Dispatch(Event aEvent);
  void Execute(TimePoint aNow, Actions& aActions);
  void Record(TimePoint aNow, AuditEntry aEntry);
  void MessageArrived(Envelope aEnvelope);

  HttpResponse ServeOperator(const std::string& aPath,
                             const std::string& aQuery);
  HttpResponse RenderMetrics();
  HttpResponse RenderReady();
  HttpResponse RenderAudit(const std::string& aQuery);
  HttpResponse RenderExplanation(const std::string& aQuery);
  void AddShellMetrics(MetricsText& aText);
  void AddLogicMetrics(MetricsText& aText);

  NodeSettings mSettings; ///< Constant.
  NodeRef mFirstSelf;     ///< Constant; the incarnation may change in joining.
  Logger mLogger;
  Metrics mMetrics;
  Logic mLogic;
  std::atomic<bool> mIdentityFinal = false;
  std::atomic<bool> mTicking = false;
  std::atomic<bool> mSuperseded = false;
  std::atomic<bool> mDraining = false;

  std::mutex mAuditMutex; ///< Guards the member below.
  AuditTrail mAudit;

  PeerTransport mTransport;
  UpstreamClient mUpstream;
  StoreCaller mStore;
  CallerServer mServer;
  std::thread mTickThread;
};

} // namespace amaranthgap
