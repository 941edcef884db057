// Operators' endpoints of NodeProcess.

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "server/CallerInterface.h"
#include "server/NodeProcess.h"

namespace amaranthgap {

namespace {

using nlohmann::json;

// Replaces bytes that are not UTF-8, which come from callers.
std::string
Dump(const json& aValue)
{
  return aValue.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

json
ToJson(const MemberUpdate& aMember)
{
  return { { "node", aMember.mNode.mId.mValue },
           { "incarnation", aMember.mNode.mIncarnation.mValue },
           { "state", ToName(aMember.mState) },
           { "region", aMember.mRegion },
           { "data_centre", aMember.mDataCentre },
           { "peer_address", aMember.mPeerAddress },
           { "service", aMember.mService },
           { "slots", aMember.mSlots } };
}

json
ToJson(const NodeStatus& aStatus)
{
  json members = json::array();
  for (const MemberUpdate& member : aStatus.mMembers) {
    members.push_back(ToJson(member));
  }
  return { { "node", aStatus.mSelf.mId.mValue },
           { "incarnation", aStatus.mSelf.mIncarnation.mValue },
           { "ready", aStatus.mReady },
           { "draining", aStatus.mDraining },
           { "manifest_version", aStatus.mManifest.mVersion },
           { "manifest_digest",
             fmt::format("{:016x}", aStatus.mManifest.mDigest) },
           { "service", aStatus.mService },
           { "upstream", aStatus.mUpstreamState },
           { "in_flight", aStatus.mLoad.mInFlight },
           { "waiting", aStatus.mLoad.mWaiting },
           { "limit", aStatus.mLoad.mLimit },
           { "calls_in_flight", aStatus.mCallsInFlight },
           { "counters", aStatus.mCounters },
           { "members", std::move(members) } };
}

} // namespace

HttpResponse
NodeProcess::ServeOperator(const std::string& aPath, const std::string& aQuery)
{
  if (aPath == "/live") {
    return RenderJson(200, "{\"live\":true}\n");
  }
  if (aPath == "/ready") {
    return RenderReady();
  }
  if (aPath == "/status") {
    return RenderJson(
      200, Dump(ToJson(mLogic.GetStatus(std::chrono::steady_clock::now()))));
  }
  if (aPath == "/metrics") {
    return RenderMetrics();
  }
  if (aPath == "/explain") {
    return RenderExplanation(aQuery);
  }
  if (aPath == "/audit") {
    return RenderAudit(aQuery);
  }
  return RenderJson(404, "{\"error\":\"unknown path\"}\n");
}

HttpResponse
NodeProcess::RenderReady()
{
  const NodeStatus status = mLogic.GetStatus(std::chrono::steady_clock::now());
  const bool ready = status.mReady && !status.mDraining;
  return RenderJson(
    ready ? 200 : 503,
    Dump({ { "ready", ready },
           { "draining", status.mDraining },
           { "manifest_version", status.mManifest.mVersion } }));
}

HttpResponse
NodeProcess::RenderAudit(const std::string& aQuery)
{
  uint64_t after = 0;
  if (const auto text = QueryValue(aQuery, "after")) {
    const char* end = text->data() + text->size();
    if (std::from_chars(text->data(), end, after).ptr != end) {
      return RenderJson(400, "{\"error\":\"after is not a number\"}\n");
    }
  }
  std::vector<AuditRecord> records;
  {
    const std::scoped_lock lock(mAuditMutex);
    records = mAudit.Since(after);
  }
  json out = json::array();
  for (const AuditRecord& record : records) {
    out.push_back({ { "number", record.mNumber },
                    { "wall_ms", record.mWallMillis },
                    { "kind", ToName(record.mEntry.mKind) },
                    { "subject", record.mEntry.mSubject },
                    { "cause", record.mEntry.mCause },
                    { "peer", record.mEntry.mPeer } });
  }
  return RenderJson(200, Dump(out));
}

HttpResponse
NodeProcess::RenderExplanation(const std::string& aQuery)
{
  const auto request = QueryValue(aQuery, "request");
  if (!request || request->empty()) {
    return RenderJson(400, "{\"error\":\"request is required\"}\n");
  }
  json out = json::array();
  for (const ExplainStep& step : mLogic.Explain(RequestId{ *request })) {
    out.push_back({ { "wall_ms", step.mWallMillis },
                    { "role", step.mRole },
                    { "event", step.mEvent },
                    { "peer", step.mPeer },
                    { "detail", step.mDetail } });
  }
  return RenderJson(out.empty() ? 404 : 200, Dump(out));
}

// -- Metrics ----------------------------------------------------------------

HttpResponse
NodeProcess::RenderMetrics()
{
  MetricsText text;
  mMetrics.Render(text);
  AddLogicMetrics(text);
  AddShellMetrics(text);
  return { .mStatus = 200,
           .mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } },
           .mBody = text.Text() };
}

void
NodeProcess::AddLogicMetrics(MetricsText& aText)
{
  const NodeStatus status = mLogic.GetStatus(std::chrono::steady_clock::now());
  const auto gauge = [&](const char* aName, double aValue) {
    aText.Add(fmt::format("amaranthgap_{}", aName), "gauge", aValue);
  };
  gauge("ready", status.mReady ? 1 : 0);
  gauge("draining", status.mDraining ? 1 : 0);
  gauge("manifest_version", double(status.mManifest.mVersion));
  gauge("upstream_in_flight", status.mLoad.mInFlight);
  gauge("upstream_waiting", status.mLoad.mWaiting);
  gauge("upstream_limit", status.mLoad.mLimit);
  gauge("calls_in_flight", double(status.mCallsInFlight));
  gauge("members", double(status.mMembers.size()));
  for (const auto& [name, value] : status.mCounters) {
    aText.Add("amaranthgap_events_total",
              "counter",
              double(value),
              fmt::format("event=\"{}\"", name));
  }
}

void
NodeProcess::AddShellMetrics(MetricsText& aText)
{
  const auto counter = [&](const std::string& aName,
                           uint64_t aValue,
                           const std::string& aLabels = {}) {
    aText.Add("amaranthgap_" + aName, "counter", double(aValue), aLabels);
  };
  const auto& peers = mTransport.GetCounters();
  counter("peer_messages_sent_total", peers.mSent);
  counter("peer_messages_received_total", peers.mReceived);
  counter("peer_sent_bytes_total", peers.mSentBytes);
  counter("peer_received_bytes_total", peers.mReceivedBytes);
  counter("peer_datagrams_sent_total", peers.mDatagramsSent);
  counter("peer_datagrams_received_total", peers.mDatagramsReceived);
  counter("peer_send_failures_total", peers.mSendFailures);
  counter("peer_connects_total", peers.mConnects);
  counter("peer_losses_total", peers.mLosses);
  for (size_t n = 0; n < peers.mRejected.size(); ++n) {
    counter("peer_rejected_total",
            peers.mRejected[n],
            fmt::format("cause=\"{}\"", ToName(Rejection(n))));
  }
  aText.Add("amaranthgap_peer_connections",
            "gauge",
            double(mTransport.GetOpenConnectionCount()));
  counter("store_calls_total", mStore.GetCallCount());
  aText.Add(
    "amaranthgap_upstream_calls", "gauge", double(mUpstream.GetCallCount()));
  struct Port
  {
    const char* mName;
    HttpListener& mListener;
  };
  const std::array ports{ Port{ "caller", mServer.CallerPort() },
                          Port{ "local", mServer.LocalPort() } };
  const auto each = [&](const char* aName, const char* aType, auto aValue) {
    for (const Port& port : ports) {
      aText.Add(fmt::format("amaranthgap_http_{}", aName),
                aType,
                double(aValue(port.mListener)),
                fmt::format("port=\"{}\"", port.mName));
    }
  };
  using Listener = HttpListener;
  each("connections", "gauge", [](Listener& aPort) {
    return aPort.GetConnectionCount();
  });
  each(
    "workers", "gauge", [](Listener& aPort) { return aPort.GetWorkerCount(); });
  each("accepted_total", "counter", [](Listener& aPort) {
    return aPort.GetCounters().mAccepted.load();
  });
  each("refused_connections_total", "counter", [](Listener& aPort) {
    return aPort.GetCounters().mRefusedConnections.load();
  });
  each("bad_requests_total", "counter", [](Listener& aPort) {
    return aPort.GetCounters().mBadRequests.load();
  });
  each("slow_requests_total", "counter", [](Listener& aPort) {
    return aPort.GetCounters().mSlowRequests.load();
  });
  each("callers_gone_total", "counter", [](Listener& aPort) {
    return aPort.GetCounters().mGoneWhileServed.load();
  });
}

} // namespace amaranthgap
