#pragma once

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
  Outcome Exchange(const HttpRequest& aRequest,
                   TimePoint aDeadline,
                   size_t aMaxAnswer);
  /** @return whether another request may follow on the connection. */
  [[nodiscard]] bool IsReusable() const { return mReusable; }
  /** Ends a running exchange from any thread. */
  void Abort() const;

  TimePoint mIdleSince{};

private:
  class SocketStream;

  static bool HasFraming(const httplib::Request& aRequest,
                         const httplib::Response& aResponse);

  std::string mHost;
  int mPort;
  int mSocket = -1;
  bool mReusable = false;
};

} // namespace amaranthgap
