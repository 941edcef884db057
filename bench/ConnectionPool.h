#pragma once

#include <map>
#include <memory>
#include <vector>

#include "ClientConnection.h"

namespace amaranthgap {

/** Idle connections of the load client by endpoint. Single thread. */
class ConnectionPool
{
public:
  explicit ConnectionPool(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  std::shared_ptr<ClientConnection> Take(
    const boost::asio::ip::tcp::endpoint& aEndpoint)
  {
    auto& idle = mIdle[aEndpoint];
    const TimePoint oldest = std::chrono::steady_clock::now() - kLongestIdle;
    while (!idle.empty()) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      if (connection->IsOpen() && connection->LastUse() >= oldest) {
        return connection;
      }
      connection->Close();
    }
    return std::make_shared<ClientConnection>(mContext, aEndpoint);
  }

  void Return(const boost::asio::ip::tcp::endpoint& aEndpoint,
              std::shared_ptr<ClientConnection> aConnection)
  {
    if (aConnection->IsOpen()) {
      mIdle[aEndpoint].push_back(std::move(aConnection));
    }
  }

private:
  // A server may close an idle connection just as the next request is sent,
  // which would show as a lost answer; common servers do so after 5 s.
  static constexpr Duration kLongestIdle = seconds(4);

  boost::asio::io_context& mContext;
  std::map<boost::asio::ip::tcp::endpoint,
           std::vector<std::shared_ptr<ClientConnection>>>
    mIdle;
};

} // namespace amaranthgap
