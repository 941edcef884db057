#pragma once

#include <functional>
#include <memory>
#include <string>

#include "forwarding/HeartbeatTracker.h"
#include "http/ClientConnection.h"
#include "net/EventLoop.h"
#include "proxy/Binding.h"

namespace amaranthgap {

/** Asks the upstream beside a node for its status. One check is under way at a
 * time; one without an answer within a second ends as unknown. Not safe for use
 * by several threads. */
class StatusCheck
{
public:
  struct Options
  {
    std::string mAddress;
    HeaderNames mHeaders;
    std::function<AnswerNotice(const HttpHeaders&)> mReadNotice;
  };

  using Done = std::function<void(const UpstreamStatus&)>;

  StatusCheck(EventLoop& aLoop, Options aOptions);

  [[nodiscard]] bool IsUnderWay() const { return mConnection != nullptr; }
  /** Starts a check; aDone is called once, never from within this call.
   * @param aPath of the status of its service. */
  void Start(const std::string& aPath, Done aDone);

private:
  [[nodiscard]] UpstreamStatus Read(const HttpResponse& aResponse) const;
  void End(const UpstreamStatus& aStatus);

  EventLoop& mLoop;
  Options mOptions;
  std::unique_ptr<ClientConnection> mConnection; ///< Null between checks.
  Timer mTimer;
  Done mDone;
};

} // namespace amaranthgap
