#include "Connections.h"

#include <algorithm>
#include <array>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio.hpp>

#include "LoadSpec.h"

namespace amaranthgap {

namespace {

namespace asio = boost::asio;

// Longest time until every connection is open and answered.
constexpr Duration kTimeout = seconds(10);

struct Peer
{
  explicit Peer(asio::io_context& aContext)
    : mSocket(aContext)
  {
  }

  asio::ip::tcp::socket mSocket;
  std::array<char, 4096> mInput{};
  double mConnectedMs = -1;
  double mAnsweredMs = -1;
};

double
Percentile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[std::min(aValues.size() - 1,
                          size_t(aShare * double(aValues.size())))];
}

class Opener
{
public:
  Opener(const std::string& aNode, uint32_t aCount, std::string aRequest)
    : mRequest(std::move(aRequest))
    , mEndpoint(ParseEndpoint(aNode))
  {
    for (uint32_t n = 0; n < aCount; ++n) {
      mPeers.push_back(std::make_unique<Peer>(mContext));
    }
  }

  void Open()
  {
    mStart = std::chrono::steady_clock::now();
    for (auto& peer : mPeers) {
      Connect(*peer);
    }
    mContext.run_for(kTimeout);
  }

  [[nodiscard]] nlohmann::json ToJson() const
  {
    std::vector<double> connected;
    std::vector<double> answered;
    for (const auto& peer : mPeers) {
      if (peer->mConnectedMs >= 0) {
        connected.push_back(peer->mConnectedMs);
      }
      if (peer->mAnsweredMs >= 0) {
        answered.push_back(peer->mAnsweredMs);
      }
    }
    return { { "wanted", mPeers.size() },
             { "connected", connected.size() },
             { "answered", answered.size() },
             { "connect_ms_p50", Percentile(connected, 0.5) },
             { "connect_ms_p99", Percentile(connected, 0.99) },
             { "answer_ms_p50", Percentile(answered, 0.5) },
             { "answer_ms_p99", Percentile(answered, 0.99) },
             { "answer_ms_max", Percentile(answered, 1) } };
  }

private:
  [[nodiscard]] double Millis() const
  {
    return ToSeconds(std::chrono::steady_clock::now() - mStart) * 1e3;
  }

  void Connect(Peer& aPeer)
  {
    aPeer.mSocket.async_connect(
      mEndpoint, [this, &aPeer](boost::system::error_code aError) {
        if (aError) {
          return;
        }
        aPeer.mConnectedMs = Millis();
        asio::async_write(
          aPeer.mSocket,
          asio::buffer(mRequest),
          [this, &aPeer](boost::system::error_code aWriteError, size_t) {
            if (!aWriteError) {
              Read(aPeer);
            }
          });
      });
  }

  void Read(Peer& aPeer)
  {
    aPeer.mSocket.async_read_some(
      asio::buffer(aPeer.mInput),
      [this, &aPeer](boost::system::error_code aError, size_t aCount) {
        if (!aError && aCount > 0) {
          aPeer.mAnsweredMs = Millis();
        }
      });
  }

  std::string mRequest;
  asio::ip::tcp::endpoint mEndpoint;
  asio::io_context mContext;
  std::vector<std::unique_ptr<Peer>> mPeers;
  TimePoint mStart;
};

} // namespace

nlohmann::json
OpenConnections(const std::string& aNode,
                uint32_t aCount,
                const std::string& aRequest,
                Duration aIdle)
{
  Opener opener(aNode, aCount, aRequest);
  opener.Open();
  std::this_thread::sleep_for(aIdle);
  return opener.ToJson();
}

} // namespace amaranthgap
