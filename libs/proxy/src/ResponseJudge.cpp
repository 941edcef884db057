#include "proxy/ResponseJudge.h"

#include <utility>

#include "http/HttpHeaders.h"

namespace amaranthgap {

namespace {

constexpr int kTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

// Statuses that promise that a request was not run.
bool
IsNotRunStatus(int aStatus)
{
  return aStatus == kTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

ForwardReply
JudgeResponse(const HeaderNames& aNames,
              ExchangeEnd aEnd,
              ReceivedResponse aResponse)
{
  const auto reply = [](AttemptOutcome aOutcome, AttemptReason aReason) {
    ForwardReply out;
    out.mOutcome = aOutcome;
    out.mReason = aReason;
    return out;
  };
  switch (aEnd) {
    case ExchangeEnd::NotConnected:
      return reply(AttemptOutcome::NotRun, AttemptReason::NotConnected);
    case ExchangeEnd::Lost:
      return reply(AttemptOutcome::MayHaveRun, AttemptReason::ConnectionLost);
    case ExchangeEnd::Invalid:
      return reply(AttemptOutcome::MayHaveRun, AttemptReason::InvalidResponse);
    case ExchangeEnd::Complete:
      break;
  }
  const HttpResponse& http = aResponse.mHttp;
  if (!FindHeader(http.mHeaders, aNames.mNotExecuted).empty()) {
    return reply(AttemptOutcome::NotRun,
                 http.mStatus == kMisdirected ? AttemptReason::OtherInstance
                                              : AttemptReason::UpstreamRefused);
  }
  if (http.mStatus == kMisdirected) {
    return reply(AttemptOutcome::NotRun, AttemptReason::OtherInstance);
  }
  const bool isSigned = !FindHeader(http.mHeaders, aNames.mSignature).empty();
  // A promise that the upstream did not make is not passed on.
  if (IsNotRunStatus(http.mStatus) || (IsSuccess(http.mStatus) && !isSigned)) {
    return reply(AttemptOutcome::MayHaveRun, AttemptReason::InvalidResponse);
  }
  ForwardReply out = reply(AttemptOutcome::Answered, AttemptReason::None);
  out.mHttp = std::move(aResponse.mHttp);
  out.mHttp.mHeaders = EndToEndHeaders(out.mHttp.mHeaders);
  return out;
}

} // namespace amaranthgap
