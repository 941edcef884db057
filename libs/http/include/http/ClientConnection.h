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
  Complete,     ///< A complete response came.
  NotConnected, ///< Nothing was sent.
  Lost,         ///< The connection ended after the request was sent.
  Invalid,      ///< What came is not a complete response.
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

/** One HTTP/1.1 connection to a server, for one request at a time. Not safe
 * for use by several threads. */
class ClientConnection
{
public:
  struct Options
  {
    TcpStream::Options mStream;
    ReadLimits mLimits;
  };

  /** Called once for each request; the connection may be destroyed in it. */
  using DoneCallback = std::function<void(ExchangeEnd, ReceivedResponse)>;
  /** @return whether a response belongs to the request under way. Others are
   * dropped, and the connection is not used again. */
  using ResponseFilter = std::function<bool(const HttpResponse&)>;

  ClientConnection(EventLoop& aLoop,
                   const std::string& aAddress,
                   const Options& aOptions);
  ~ClientConnection();

  void Send(const HttpRequest& aRequest,
            ResponseFilter aResponseFilter,
            DoneCallback aDoneCallback);
  /** Closes the connection; DoneCallback is not called. */
  void Abort();

  /** @return whether another request may be sent. */
  [[nodiscard]] bool IsReusable(TimePoint aNow) const;
  [[nodiscard]] bool IsBusy() const;
  /** @return whether it has served a request before the present one. */
  [[nodiscard]] bool IsReused() const;

private:
  struct Parts;
  std::shared_ptr<Parts> mParts;
};

} // namespace amaranthgap
