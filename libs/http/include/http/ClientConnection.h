#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/EnumNames.h"
#include "http/HttpReader.h"
#include "net/TcpStream.h"

namespace amaranthgap {

class EventLoop;

/** How a request on a ClientConnection ended. */
enum class ExchangeEnd : uint8_t
{
  Complete,     ///< A complete response was received.
  NotConnected, ///< Connecting failed; nothing was sent.
  Lost,         ///< The connection closed before a response arrived.
  Invalid,      ///< The response is malformed, too large or truncated.
};

template<>
struct EnumNames<ExchangeEnd>
{
  static constexpr std::array kNames{
    std::pair{ ExchangeEnd::Complete, std::string_view{ "complete" } },
    std::pair{ ExchangeEnd::NotConnected, std::string_view{ "not-connected" } },
    std::pair{ ExchangeEnd::Lost, std::string_view{ "lost" } },
    std::pair{ ExchangeEnd::Invalid, std::string_view{ "invalid" } },
  };
};

/** HTTP/1.1 client connection that handles one request at a time. Not
 * thread-safe. */
class ClientConnection
{
public:
  struct Options
  {
    TcpStream::Options mStream;
    ReadLimits mLimits;
    /** Called as an incomplete response takes more memory. It may call Abort().
     */
    std::function<void()> mOnGrowth;
  };

  /** Called once per request, except after Abort(). It may destroy the
   * connection. */
  using DoneCallback = std::function<void(ExchangeEnd, ReceivedResponse)>;
  /** @return whether a response belongs to the current request. Other responses
   * are discarded, up to a limit, and the connection is not reused. */
  using ResponseFilter = std::function<bool(const HttpResponse&)>;

  ClientConnection(EventLoop& aLoop,
                   const std::string& aAddress,
                   const Options& aOptions);
  ~ClientConnection();

  void Send(const HttpRequest& aRequest,
            ResponseFilter aResponseFilter,
            DoneCallback aDoneCallback);
  /** Closes the connection without calling DoneCallback. */
  void Abort();

  /** @return whether the connection is idle and can take another request. */
  [[nodiscard]] bool IsReusable(TimePoint aNow) const;
  [[nodiscard]] bool IsBusy() const;
  /** @return whether the connection was established; before that, nothing of
   * the request is sent. */
  [[nodiscard]] bool IsConnected() const;
  /** @return the bytes of memory that the response takes so far. */
  [[nodiscard]] size_t BufferedBytes() const;
  /** @return whether the connection has completed an earlier request. */
  [[nodiscard]] bool IsReused() const;

private:
  struct Parts;
  std::shared_ptr<Parts> mParts;
};

} // namespace amaranthgap
