#pragma once

#include <memory>
#include <string>
#include <variant>

#include <httplib.h>

#include "base/Time.h"
#include "node/Actions.h"
#include "wire/Http.h"

namespace amaranthgap {

/**
 * One connection to an upstream. Uses the library's client for requests and
 * answers, over a socket and deadlines of its own. Used by one thread at a
 * time, but for Abort.
 */
class UpstreamConnection : private httplib::ClientImpl
{
public:
  using Outcome = std::variant<HttpResponse, UpstreamFailure>;

  UpstreamConnection(const std::string& aHost, int aPort);
  ~UpstreamConnection() override;

  /** @return whether a connection was made before the deadline. */
  bool Connect(TimePoint aDeadline);
  /** @return whether the peer has neither closed nor sent anything. */
  [[nodiscard]] bool IsFresh() const;
  /** Begins an exchange and writes what the socket takes without waiting. */
  void Send(const HttpRequest& aRequest, TimePoint aDeadline);
  /** Writes the rest of the request that was sent last and reads its answer. */
  Outcome Receive(size_t aMaxAnswer);
  /** @return whether another request may follow on the connection. */
  [[nodiscard]] bool IsReusable() const { return mReusable; }
  /** Ends a running exchange from any thread. */
  void Abort() const;

  TimePoint mIdleSince{};

private:
  class RequestStream;
  class SocketStream;

  static bool HasFraming(const httplib::Request& aRequest,
                         const httplib::Response& aResponse);
  std::string Render(const HttpRequest& aRequest);

  std::string mHost;
  int mPort;
  int mSocket = -1;
  bool mReusable = false;
  std::string mMethod; ///< Of the exchange under way, like the stream.
  std::unique_ptr<SocketStream> mStream;
};

} // namespace amaranthgap
