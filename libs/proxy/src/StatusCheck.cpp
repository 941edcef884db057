#include "proxy/StatusCheck.h"

#include <utility>

#include "http/HttpHeaders.h"

namespace amaranthgap {

namespace {

constexpr Duration kAnswerTime = seconds(1);
constexpr Duration kConnectTimeout = milliseconds(400);
constexpr size_t kMaxAnswerBytes = size_t(64) * 1024;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

} // namespace

StatusCheck::StatusCheck(EventLoop& aLoop, Options aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mTimer(aLoop)
{
}

void
StatusCheck::Start(const std::string& aPath, Done aDone)
{
  mDone = std::move(aDone);
  mConnection = std::make_unique<ClientConnection>(
    mLoop,
    mOptions.mAddress,
    ClientConnection::Options{
      .mStream = { .mConnectTimeout = kConnectTimeout },
      .mLimits = { .mBodyBytes = kMaxAnswerBytes } });
  mTimer.Start(kAnswerTime, Duration::zero(), [this] {
    mConnection->Abort();
    End({});
  });
  mConnection->Send(
    { .mMethod = "GET",
      .mPath = aPath,
      .mHeaders = { { "Host", mOptions.mAddress } } },
    nullptr,
    [this](ExchangeEnd aEnd, const ReceivedResponse& aResponse) {
      End(aEnd == ExchangeEnd::Complete ? Read(aResponse.mHttp)
                                        : UpstreamStatus{});
    });
}

UpstreamStatus
StatusCheck::Read(const HttpResponse& aResponse) const
{
  const HttpHeaders& headers = aResponse.mHeaders;
  UpstreamStatus out{ .mInstance = std::string(
                        FindHeader(headers, mOptions.mHeaders.mInstance)) };
  if (!FindHeader(headers, mOptions.mHeaders.mNotExecuted).empty()) {
    return out; // It has no room, which does not tell of its status.
  }
  if (aResponse.mStatus == kUnavailable ||
      mOptions.mReadNotice(headers).mIsLeaving) {
    out.mVerdict = StatusVerdict::NotReady;
  } else if (aResponse.mStatus == kOk) {
    out.mVerdict = StatusVerdict::Ready;
  }
  return out;
}

void
StatusCheck::End(const UpstreamStatus& aStatus)
{
  mTimer.Stop();
  // The connection is on the stack.
  mLoop.Defer([connection =
                 std::shared_ptr<ClientConnection>(std::move(mConnection))] {});
  std::exchange(mDone, nullptr)(aStatus);
}

} // namespace amaranthgap
