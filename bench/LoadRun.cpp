#include "LoadRun.h"

#include <charconv>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

namespace http = boost::beast::http;

// A system that answered every keyed request with another key would keep the
// client asking.
constexpr uint32_t kMostKeyRounds = 5;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

Duration
RetryAfterOf(const BenchResponse& aResponse)
{
  const auto read = [&](const char* aName) -> int64_t {
    const auto it = aResponse.find(aName);
    if (it == aResponse.end()) {
      return -1;
    }
    int64_t out = -1;
    const auto text = it->value();
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
  };
  if (const int64_t millis = read("Amaranthgap-Retry-After-Ms"); millis >= 0) {
    return milliseconds(millis);
  }
  const int64_t whole = read("Retry-After");
  return whole >= 0 ? Duration(seconds(whole)) : Duration(-1);
}

std::string
HeaderOf(const BenchResponse& aResponse, const char* aName)
{
  const auto it = aResponse.find(aName);
  return it == aResponse.end() ? "" : std::string(it->value());
}

RequestEnd
EndOf(const BenchResponse& aResponse)
{
  const auto status = int(aResponse.result_int());
  const std::string outcome = HeaderOf(aResponse, "Amaranthgap-Outcome");
  if (outcome == "not-run") {
    return RequestEnd::NotRun;
  }
  if (outcome == "may-have-run") {
    return RequestEnd::MayHaveRun;
  }
  return status >= 200 && status < 300 ? RequestEnd::Ok
                                       : RequestEnd::AnsweredError;
}

} // namespace

LoadRun::LoadRun(LoadSpec aSpec)
  : mSpec(std::move(aSpec))
  , mRecorder(mSpec)
  , mArrivals(MakeArrivals(mSpec))
  , mRng(mSpec.mSeed + 77)
  , mTimer(mContext)
  , mPool(mContext)
{
}

void
LoadRun::Run()
{
  mStart = Now();
  WaitForNext();
  mContext.run();
}

Duration
LoadRun::Elapsed() const
{
  return Now() - mStart;
}

void
LoadRun::WaitForNext()
{
  if (mNext >= mArrivals.size()) {
    return;
  }
  mTimer.expires_at(mStart + mArrivals[mNext].mAt);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      StartDue();
      WaitForNext();
    }
  });
}

void
LoadRun::StartDue()
{
  const Duration now = Elapsed();
  while (mNext < mArrivals.size() && mArrivals[mNext].mAt <= now) {
    StartJob(mArrivals[mNext], mNext);
    ++mNext;
  }
}

void
LoadRun::StartJob(const Arrival& aArrival, size_t aNumber)
{
  const LoadStream& stream = mSpec.mStreams[aArrival.mStream];
  auto job = std::make_shared<Job>();
  job->mStream = aArrival.mStream;
  job->mStart = aArrival.mAt;
  job->mDeadline =
    mStart + aArrival.mAt + FromSeconds(stream.mDeadlineMs / 1e3);
  job->mId = fmt::format("{}-{}", mSpec.mIdPrefix, aNumber);
  mRecorder.Offered(aArrival.mStream, aArrival.mAt);
  mRecorder.Lateness(Elapsed() - aArrival.mAt);
  ++mOpen;
  if (mOpen > mSpec.mMaxOpen) {
    return End(job, RequestEnd::ClientLimit);
  }
  Try(job);
}

BenchRequest
LoadRun::MakeRequest(const Job& aJob) const
{
  const LoadStream& stream = mSpec.mStreams[aJob.mStream];
  BenchRequest out{ http::verb::post, stream.mPath, 11 };
  out.set(http::field::host, "amaranthgap");
  out.set("X-Request-Id", aJob.mId);
  if (!stream.mCaller.empty()) {
    out.set("Amaranthgap-Caller", stream.mCaller);
    out.set("Amaranthgap-Class", stream.mRequestClass);
    const int64_t left = ToMillis(aJob.mDeadline - Now());
    out.set("Amaranthgap-Timeout-Ms",
            std::to_string(std::max<int64_t>(1, left)));
  }
  if (!aJob.mKey.empty()) {
    out.set("Idempotency-Key", aJob.mKey);
  }
  out.body() = stream.mBody;
  out.prepare_payload();
  return out;
}

void
LoadRun::Try(const JobPtr& aJob)
{
  if (Now() >= aJob->mDeadline) {
    return End(aJob, RequestEnd::GaveUp);
  }
  const auto& nodes = mSpec.mStreams[aJob->mStream].mNodes;
  const auto endpoint = nodes[mRng.Below(nodes.size())];
  auto connection = mPool.Take(endpoint);
  ++aJob->mTries;
  connection->Exchange(
    MakeRequest(*aJob),
    aJob->mDeadline,
    [this, aJob, endpoint, connection](boost::system::error_code aError,
                                       const BenchResponse& aResponse) {
      if (aError) {
        return OnError(aJob, aError);
      }
      OnAnswer(aJob, aResponse);
      mPool.Return(endpoint, connection);
    });
}

void
LoadRun::OnError(const JobPtr& aJob, boost::system::error_code aError)
{
  if (aError == boost::beast::error::timeout || Now() >= aJob->mDeadline) {
    return End(aJob, RequestEnd::GaveUp);
  }
  mRecorder.Answered("connection: " + aError.message(), 0);
  aJob->mLast = RequestEnd::Broken;
  RetryOrEnd(aJob, true, Duration(-1));
}

void
LoadRun::OnAnswer(const JobPtr& aJob, const BenchResponse& aResponse)
{
  const auto status = int(aResponse.result_int());
  mRecorder.Answered(HeaderOf(aResponse, "Amaranthgap-Reason"), status);
  const std::string key = HeaderOf(aResponse, "Idempotency-Key");
  if (status == 409 && !key.empty() && key != aJob->mKey &&
      aJob->mKeyRounds < kMostKeyRounds) {
    ++aJob->mKeyRounds;
    --aJob->mTries;
    aJob->mKey = key;
    return Try(aJob);
  }
  aJob->mLast = EndOf(aResponse);
  if (aJob->mLast == RequestEnd::Ok) {
    return End(aJob, RequestEnd::Ok);
  }
  // Other statuses of the 4xx range do not change on another try.
  const bool isTransient = status == 429 || status >= 500;
  RetryOrEnd(aJob, isTransient, RetryAfterOf(aResponse));
}

void
LoadRun::RetryOrEnd(const JobPtr& aJob, bool aMayRetry, Duration aRetryAfter)
{
  Duration pause = FromSeconds(mSpec.mRetryPauseMs / 1e3);
  if (mSpec.mRetry == RetryStyle::Honour && aRetryAfter > pause) {
    pause = aRetryAfter;
  }
  if (!aMayRetry || mSpec.mRetry == RetryStyle::None ||
      aJob->mTries >= mSpec.mMaxTries || Now() + pause >= aJob->mDeadline) {
    return End(aJob, aJob->mLast);
  }
  aJob->mTimer =
    std::make_unique<boost::asio::steady_timer>(mContext, Now() + pause);
  aJob->mTimer->async_wait(
    [this, aJob](boost::system::error_code) { Try(aJob); });
}

void
LoadRun::End(const JobPtr& aJob, RequestEnd aOutcome)
{
  --mOpen;
  mRecorder.Ended(
    aJob->mStream, aJob->mStart, Elapsed(), aOutcome, aJob->mTries, aJob->mId);
}

} // namespace amaranthgap
