#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/Time.h"

namespace amaranthgap {

using BenchRequest =
  boost::beast::http::request<boost::beast::http::string_body>;
using BenchResponse =
  boost::beast::http::response<boost::beast::http::string_body>;

/** Keep-alive connection of the load client; one exchange at a time. Belongs
 * to one io_context and its single thread. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  using Done = std::function<void(boost::system::error_code, BenchResponse&)>;

  ClientConnection(boost::asio::io_context& aContext,
                   const boost::asio::ip::tcp::endpoint& aEndpoint)
    : mStream(aContext)
    , mEndpoint(aEndpoint)
  {
  }

  /** Connects when needed, sends and receives; fails at the deadline. */
  void Exchange(BenchRequest aRequest, TimePoint aDeadline, Done aDone);
  void Close();

  [[nodiscard]] bool IsOpen() const { return mIsOpen; }
  [[nodiscard]] TimePoint LastUse() const { return mLastUse; }

private:
  void Write();
  void Read();
  void Finish(boost::system::error_code aError);

  boost::beast::tcp_stream mStream;
  boost::asio::ip::tcp::endpoint mEndpoint;
  boost::beast::flat_buffer mBuffer;
  BenchRequest mRequest;
  BenchResponse mResponse;
  Done mDone;
  bool mIsOpen = false;
  TimePoint mLastUse;
};

} // namespace amaranthgap
