#include "http/ClientConnection.h"

#include <charconv>
#include <utility>

#include "http/HttpFormat.h"
#include "http/HttpHeaders.h"
#include "net/EventLoop.h"

namespace amaranthgap {

namespace {

// Idle time after which a connection is not reused if the server announces no
// timeout, and the margin by which an announced timeout is shortened, because
// the server may close the connection while a request is on its way.
constexpr Duration kDefaultIdleTime = seconds(8);
constexpr Duration kIdleMargin = seconds(1);
// Responses to other requests that may precede the response to a request.
constexpr int kMaxDiscardedResponseCount = 16;
// Growth of a response that is worth telling.
constexpr size_t kGrowthBytes = size_t(16) * 1024;

// Returns `timeout=N` of the Keep-Alive header less the margin, or the default.
Duration
IdleTimeOf(const HttpHeaders& aHeaders)
{
  constexpr std::string_view kKey = "timeout=";
  const auto value = FindHeader(aHeaders, "Keep-Alive");
  const size_t at = value.find(kKey);
  if (at == std::string_view::npos) {
    return kDefaultIdleTime;
  }
  int64_t count = 0;
  const auto digits = value.substr(at + kKey.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), count);
  return std::max<Duration>(seconds(count) - kIdleMargin, Duration::zero());
}

} // namespace

struct ClientConnection::Parts : std::enable_shared_from_this<Parts>
{
  explicit Parts(const Options& aOptions)
    : mReader(aOptions.mLimits)
    , mOnGrowth(aOptions.mOnGrowth)
  {
  }

  void Received(std::string_view aData)
  {
    if (!mDoneCallback) {
      mReusable = false; // Data without a pending request.
      mStream->Close();
      return;
    }
    mReader.Feed(aData);
    while (auto response = mReader.Next(mIsHeadRequest)) {
      if (mResponseFilter && !mResponseFilter(response->mHttp)) {
        mReusable = false;
        if (++mDiscardedResponses > kMaxDiscardedResponseCount) {
          Fail(ExchangeEnd::Invalid);
          return;
        }
        continue;
      }
      Complete(std::move(*response));
      return;
    }
    if (mReader.State() == ReadState::Invalid) {
      Fail(ExchangeEnd::Invalid);
      return;
    }
    if (mOnGrowth && mReader.BufferedBytes() > mToldBytes + kGrowthBytes) {
      mToldBytes = mReader.BufferedBytes();
      mOnGrowth();
    }
  }

  void Complete(ReceivedResponse aResponse)
  {
    // The unsent rest of this request's body would precede the next request.
    mReusable = mReusable && aResponse.mKeepAlive &&
                mStream->UnsentBytes() == 0 &&
                mReader.State() == ReadState::Idle;
    mIdleUntil = EventLoop::Now() + IdleTimeOf(aResponse.mHttp.mHeaders);
    mReused = true;
    if (!mReusable) {
      mStream->Close();
    }
    std::exchange(mDoneCallback, nullptr)(ExchangeEnd::Complete,
                                          std::move(aResponse));
  }

  void Fail(ExchangeEnd aEnd)
  {
    mReusable = false;
    mStream->Close();
    mReader.Discard(); // The connection may outlive this turn of the loop.
    if (auto done = std::exchange(mDoneCallback, nullptr)) {
      done(aEnd, {});
    }
  }

  void Ended(StreamEnd aEnd)
  {
    if (mDoneCallback && aEnd == StreamEnd::ClosedByPeer) {
      if (auto response = mReader.Finish()) {
        if (!mResponseFilter || mResponseFilter(response->mHttp)) {
          Complete(std::move(*response));
          return;
        }
      }
    }
    const bool partial = mReader.State() != ReadState::Idle;
    if (aEnd == StreamEnd::NotConnected) {
      Fail(ExchangeEnd::NotConnected);
    } else {
      Fail(partial ? ExchangeEnd::Invalid : ExchangeEnd::Lost);
    }
  }

  std::unique_ptr<TcpStream> mStream;
  ResponseReader mReader;
  bool mIsHeadRequest = false;
  bool mReusable = true;
  bool mReused = false;
  int mDiscardedResponses = 0;
  size_t mToldBytes = 0; ///< Memory of the response when it was last told.
  TimePoint mIdleUntil = TimePoint::max();
  std::function<void()> mOnGrowth;
  ResponseFilter mResponseFilter;
  DoneCallback mDoneCallback;
};

ClientConnection::ClientConnection(EventLoop& aLoop,
                                   const std::string& aAddress,
                                   const Options& aOptions)
  : mParts(std::make_shared<Parts>(aOptions))
{
  const std::weak_ptr<Parts> weak = mParts;
  StreamCallbacks events;
  events.mOnData = [weak](std::string_view aData) {
    if (const auto self = weak.lock()) {
      self->Received(aData);
    }
  };
  events.mOnClosed = [weak](StreamEnd aEnd) {
    if (const auto self = weak.lock()) {
      self->Ended(aEnd);
    }
  };
  mParts->mStream =
    TcpStream::Connect(aLoop, aAddress, aOptions.mStream, std::move(events));
}

ClientConnection::~ClientConnection() = default;

void
ClientConnection::Send(const HttpRequest& aRequest,
                       ResponseFilter aResponseFilter,
                       DoneCallback aDoneCallback)
{
  mParts->mIsHeadRequest = aRequest.mMethod == "HEAD";
  mParts->mToldBytes = 0;
  mParts->mResponseFilter = std::move(aResponseFilter);
  mParts->mDoneCallback = std::move(aDoneCallback);
  mParts->mStream->Write(FormatRequest(aRequest));
}

void
ClientConnection::Abort()
{
  mParts->mDoneCallback = nullptr;
  mParts->mReusable = false;
  mParts->mStream->Close();
  mParts->mReader.Discard();
}

bool
ClientConnection::IsReusable(TimePoint aNow) const
{
  return mParts->mReusable && !mParts->mDoneCallback &&
         mParts->mStream->IsOpen() && aNow < mParts->mIdleUntil;
}

bool
ClientConnection::IsBusy() const
{
  return mParts->mDoneCallback != nullptr;
}

bool
ClientConnection::IsConnected() const
{
  return mParts->mStream->IsConnected();
}

size_t
ClientConnection::BufferedBytes() const
{
  return mParts->mReader.BufferedBytes();
}

bool
ClientConnection::IsReused() const
{
  return mParts->mReused;
}

} // namespace amaranthgap
