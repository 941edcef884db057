#include "LoadSpec.h"

#include <stdexcept>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

std::vector<boost::asio::ip::tcp::endpoint>
ParseNodes(const nlohmann::json& aJson)
{
  std::vector<boost::asio::ip::tcp::endpoint> out;
  for (const auto& node : aJson) {
    out.push_back(ParseEndpoint(node.get<std::string>()));
  }
  return out;
}

LoadStream
ParseStream(const nlohmann::json& aJson, const LoadSpec& aSpec)
{
  LoadStream out{
    .mCaller = aJson.value("caller", ""),
    .mService = aJson.value("service", ""),
    .mRequestClass = aJson.value("class", ""),
    .mPath = aJson.value("path", ""),
    .mRate = aJson.at("rate"),
    .mFrom = aJson.value("from_s", 0.0),
    .mTo = aJson.value("to_s", aSpec.mDuration),
    .mIsKeyed = aJson.value("keyed", false),
    .mIsInJain = aJson.value("jain", false),
    .mDeadlineMs = aJson.value("deadline_ms", 1000.0),
    .mBody = aJson.value(
      "body", std::string(aJson.value("body_bytes", size_t(64)), 'b')),
    .mNodes = ParseNodes(aJson.at("nodes")),
  };
  out.mName =
    aJson.value("name", fmt::format("{}/{}", out.mService, out.mRequestClass));
  if (out.mPath.empty()) {
    out.mPath = fmt::format("/call/{}/work", out.mService);
  }
  if (out.mNodes.empty() || out.mRate <= 0) {
    throw std::invalid_argument("a stream needs nodes and a rate");
  }
  return out;
}

} // namespace

boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument(fmt::format("{} is not ip:port", aText));
  }
  return { boost::asio::ip::make_address(aText.substr(0, colon)),
           uint16_t(std::stoul(aText.substr(colon + 1))) };
}

LoadSpec
LoadSpec::FromJson(const nlohmann::json& aJson)
{
  LoadSpec out;
  out.mSeed = aJson.value("seed", out.mSeed);
  out.mDuration = aJson.value("duration_s", out.mDuration);
  out.mMeasureFrom = aJson.value("measure_from_s", 0.0);
  out.mMaxTries = aJson.value("max_tries", out.mMaxTries);
  out.mRetryPauseMs = aJson.value("retry_pause_ms", out.mRetryPauseMs);
  out.mMaxOpen = aJson.value("max_open", out.mMaxOpen);
  out.mIdPrefix = aJson.value("id_prefix", fmt::format("b{}", out.mSeed));
  const auto style =
    FromName<RetryStyle>(aJson.value("retry", std::string(ToName(out.mRetry))));
  if (!style) {
    throw std::invalid_argument("retry must be none, hard or honour");
  }
  out.mRetry = *style;
  for (const auto& stream : aJson.at("streams")) {
    out.mStreams.push_back(ParseStream(stream, out));
  }
  return out;
}

} // namespace amaranthgap
