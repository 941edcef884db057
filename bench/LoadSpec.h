#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "base/EnumNames.h"

namespace amaranthgap {

/** What a client does after an answer other than success. */
enum class RetryStyle : uint8_t
{
  None,
  Hard,   ///< Sends again after a fixed short pause, at any node.
  Honour, ///< Waits for the Retry-After of the answer.
};

template<>
struct EnumNames<RetryStyle>
{
  static constexpr std::array kNames{
    std::pair{ RetryStyle::None, std::string_view{ "none" } },
    std::pair{ RetryStyle::Hard, std::string_view{ "hard" } },
    std::pair{ RetryStyle::Honour, std::string_view{ "honour" } },
  };
};

/** Requests of one caller and class at one rate. */
struct LoadStream
{
  std::string mName;
  std::string mCaller;
  std::string mService;
  std::string mRequestClass;
  std::string mPath; ///< Replaces `/call/<service>/work`, for direct calls.
  double mRate = 0;  ///< Per second.
  double mFrom = 0;  ///< Seconds after the start.
  double mTo = 0;
  bool mIsKeyed = false;  ///< Expects an issued key on the first answer.
  bool mIsInJain = false; ///< Counts towards Jain's index, by caller.
  double mDeadlineMs = 1000;
  std::string mBody;
  std::vector<boost::asio::ip::tcp::endpoint> mNodes;
};

/** One open-loop run, read from JSON. */
struct LoadSpec
{
  uint64_t mSeed = 1;
  double mDuration = 5;
  double mMeasureFrom = 0; ///< Requests that start earlier are not counted.
  RetryStyle mRetry = RetryStyle::Hard;
  uint32_t mMaxTries = 10;
  double mRetryPauseMs = 10;
  uint32_t mMaxOpen = 8000; ///< Requests at once; more are an invalid run.
  std::string mIdPrefix;
  std::vector<LoadStream> mStreams;

  /** @throws std::exception when a field is missing or of another type. */
  static LoadSpec FromJson(const nlohmann::json& aJson);
};

/** @return the endpoint of `ip:port`. */
boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText);

} // namespace amaranthgap
