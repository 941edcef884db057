#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "BlockingServer.h"
#include "StoreData.h"

namespace amaranthgap {

/** Stand-in of the platform's key-value service, with faults that a control
 * endpoint switches on. Safe for use by several threads. */
class StoreStandin
{
public:
  struct Options
  {
    std::string mListen;
    std::string mControl;
    uint32_t mMaxCallsPerSecond = 2000;
    uint32_t mLatencyMs = 0;
  };

  explicit StoreStandin(Options aOptions);

  /** @return whether both addresses could be bound. */
  bool Start();
  void Stop();

private:
  /** How the data address behaves. */
  struct Faults
  {
    std::string mDown = "off"; ///< `off`, `refuse`, `drop` or `hang`.
    uint32_t mSlowMs = 0;
    uint32_t mLoseAnswers = 0; ///< Writes that still lose their answer.
    bool mBreakWatches = false;
  };

  void ServeData(httplib::Server& aServer);
  void ServeControl();
  /** Applies counting, limits and faults. @return false: already answered. */
  bool Admit(const char* aKind, httplib::Response& aResponse);
  void AnswerSwap(const StoreData::SwapResult& aResult,
                  httplib::Response& aResponse);
  void Put(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Watch(const httplib::Request& aRequest, httplib::Response& aResponse);
  bool SetFaults(const nlohmann::json& aJson);
  bool TakeRate();

  Options mOptions;
  StoreData mData;
  std::mutex mMutex;
  Faults mFaults;
  std::map<std::string, uint64_t> mCounts;
  int64_t mRateSecond = 0;
  uint32_t mRateCalls = 0;
  std::unique_ptr<BlockingServer> mServer;
  std::unique_ptr<BlockingServer> mControl;
  std::mutex mServerMutex; ///< Held while mServer is replaced.
};

} // namespace amaranthgap
