#include "http/HttpFormat.h"

#include <boost/beast/http/status.hpp>

namespace amaranthgap {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

void
AppendHeaders(std::string& aOut, const HttpHeaders& aHeaders)
{
  for (const auto& [name, value] : aHeaders) {
    aOut.append(name).append(": ").append(value).append("\r\n");
  }
}

} // namespace

std::string_view
ReasonPhrase(int aStatus)
{
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(unsigned(aStatus)));
  return { reason.data(), reason.size() };
}

std::string
FormatRequest(const HttpRequest& aRequest)
{
  std::string out;
  out.reserve(512 + aRequest.mBody.size());
  out.append(aRequest.mMethod).append(" ").append(aRequest.mPath);
  out.append(" HTTP/1.1\r\n");
  AppendHeaders(out, aRequest.mHeaders);
  if (!aRequest.mBody.empty() ||
      (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD")) {
    out.append("Content-Length: ")
      .append(std::to_string(aRequest.mBody.size()))
      .append("\r\n");
  }
  out.append("\r\n").append(aRequest.mBody);
  return out;
}

std::string
FormatResponse(const HttpResponse& aResponse,
               bool aKeepAlive,
               bool aIsHeadRequest)
{
  std::string out;
  out.reserve(512 + aResponse.mBody.size());
  out.append("HTTP/1.1 ").append(std::to_string(aResponse.mStatus)).append(" ");
  out.append(ReasonPhrase(aResponse.mStatus)).append("\r\n");
  AppendHeaders(out, aResponse.mHeaders);
  if (aResponse.mStatus != kNoContent && aResponse.mStatus != kNotModified) {
    out.append("Content-Length: ")
      .append(std::to_string(aResponse.mBody.size()))
      .append("\r\n");
  }
  if (!aKeepAlive) {
    out.append("Connection: close\r\n");
  }
  out.append("\r\n");
  if (!aIsHeadRequest) {
    out.append(aResponse.mBody);
  }
  return out;
}

} // namespace amaranthgap
