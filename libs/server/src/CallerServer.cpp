#include "server/CallerServer.h"

#include "server/CallerInterface.h"

namespace amaranthgap {

namespace {

constexpr std::string_view kKeyPath = "/v1/idempotency-key";
constexpr std::string_view kAnnouncePath = "/v1/announce";
// Workers above the limit of calls: they let the node refuse what exceeds it
// at once, where a lack of workers would let it wait unseen.
constexpr uint32_t kSpareWorkers = 32;
// Child calls that the executions of one node make at the same time.
constexpr uint32_t kChildCallsPerExecution = 4;
constexpr size_t kMaxBody = 512 * 1024;

std::string_view
PathOf(const HttpRequest& aRequest)
{
  const std::string_view path = aRequest.mPath;
  return path.substr(0, path.find('?'));
}

HttpResponse
RenderFaulty(int aStatus)
{
  Reason reason = Reason::BadRequest;
  if (aStatus == 413 || aStatus == 431) {
    reason = Reason::TooLarge;
  } else if (aStatus == 408) {
    reason = Reason::DeadlineExpired;
  } else if (aStatus == 503) {
    reason = Reason::Overloaded;
  }
  return RenderRefusal(aStatus, reason);
}

} // namespace

CallerServer::Options
CallerServer::MakeOptions(const Settings& aSettings)
{
  const RequestFramer::Limits limits{ .mMaxHeaderBytes =
                                        aSettings.mMaxHeaderBytes,
                                      .mMaxBodyBytes = kMaxBody };
  return { .mCaller = { .mAddress = aSettings.mCallerAddress,
                        .mMaxConnections = aSettings.mMaxCallerConnections,
                        .mMaxWorkers =
                          aSettings.mMaxCallerCalls + kSpareWorkers,
                        .mLimits = limits },
           .mLocal = { .mAddress = aSettings.mLocalAddress,
                       .mMaxConnections = aSettings.mMaxCallerConnections,
                       .mMaxWorkers =
                         aSettings.mMaxUpstreamCalls * kChildCallsPerExecution +
                         kSpareWorkers,
                       .mLimits = limits } };
}

CallerServer::CallerServer(Options aOptions, Hooks aHooks, Metrics& aMetrics)
  : mHooks(std::move(aHooks))
  , mMetrics(aMetrics)
  , mCaller(
      std::move(aOptions.mCaller),
      [this](HttpRequest aRequest, HttpConnection& aConnection) {
        return ServeCaller(std::move(aRequest), aConnection);
      },
      RenderFaulty)
  , mLocal(
      std::move(aOptions.mLocal),
      [this](HttpRequest aRequest, HttpConnection& aConnection) {
        return ServeLocal(std::move(aRequest), aConnection);
      },
      RenderFaulty)
{
}

Status
CallerServer::Start()
{
  BOOST_OUTCOME_TRY(mLocal.Start());
  return mCaller.Start();
}

size_t
CallerServer::Stop(Duration aGrace)
{
  mCaller.StopAccepting();
  const size_t cut = mCaller.Stop(aGrace);
  return cut + mLocal.Stop(Duration::zero());
}

void
CallerServer::Sweep(TimePoint aNow)
{
  mCaller.Sweep(aNow);
  mLocal.Sweep(aNow);
}

void
CallerServer::Answer(AnswerCaller aAnswer)
{
  std::shared_ptr<Waiter> waiter;
  if (decltype(mWaiters)::const_accessor found;
      mWaiters.find(found, aAnswer.mCaller.mValue)) {
    waiter = found->second;
  }
  if (!waiter) {
    return;
  }
  const std::scoped_lock lock(waiter->mMutex);
  waiter->mAnswer = std::move(aAnswer);
  waiter->mReady.notify_one();
}

template<class Submit>
AnswerCaller
CallerServer::Await(HttpConnection& aConnection, Submit aSubmit)
{
  const CallerHandle handle{ mNextHandle++ };
  const auto waiter = std::make_shared<Waiter>();
  mWaiters.insert({ handle.mValue, waiter });
  aSubmit(handle);
  aConnection.SetOnGone([this, handle, waiter] {
    mHooks.mCallerGone(handle);
    const std::scoped_lock lock(waiter->mMutex);
    waiter->mGone = true;
    waiter->mReady.notify_one();
  });
  AnswerCaller answer{ .mCaller = handle,
                       .mOutcome = Outcome::MayHaveRun,
                       .mReason = Reason::CallerGone };
  {
    std::unique_lock lock(waiter->mMutex);
    waiter->mReady.wait(
      lock, [&] { return waiter->mAnswer.has_value() || waiter->mGone; });
    if (waiter->mAnswer) {
      answer = std::move(*waiter->mAnswer);
    }
  }
  aConnection.SetOnGone({});
  mWaiters.erase(handle.mValue);
  return answer;
}

HttpResponse
CallerServer::ServeCaller(HttpRequest aRequest, HttpConnection& aConnection)
{
  if (PathOf(aRequest) == kKeyPath) {
    return aRequest.mMethod == "GET" ? ServeKey(aRequest, aConnection)
                                     : RenderRefusal(405, Reason::BadRequest);
  }
  return ServeCall(std::move(aRequest), aConnection, false);
}

HttpResponse
CallerServer::ServeLocal(HttpRequest aRequest, HttpConnection& aConnection)
{
  const std::string path(PathOf(aRequest));
  if (path.starts_with("/call/")) {
    return ServeCall(std::move(aRequest), aConnection, true);
  }
  if (path == kAnnouncePath) {
    return aRequest.mMethod == "PUT" ? ServeAnnouncement(aRequest)
                                     : RenderRefusal(405, Reason::BadRequest);
  }
  if (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD") {
    return RenderRefusal(405, Reason::BadRequest);
  }
  const size_t question =
    std::min(aRequest.mPath.find('?'), aRequest.mPath.size());
  return mHooks.mOperator(path, aRequest.mPath.substr(question));
}

HttpResponse
CallerServer::ServeCall(HttpRequest aRequest,
                        HttpConnection& aConnection,
                        bool aFromUpstream)
{
  const auto start = std::chrono::steady_clock::now();
  const std::string trace(FindHeader(aRequest.mHeaders, "traceparent"));
  auto parsed = ParseCall(std::move(aRequest), aFromUpstream);
  if (const auto* reason = std::get_if<Reason>(&parsed)) {
    mMetrics.CountAnswer(ToName(Outcome::NotRun), ToName(*reason));
    return RenderRefusal(StatusOf(Outcome::NotRun, *reason), *reason);
  }
  auto& call = std::get<CallerCall>(parsed);
  AnswerCaller answer = Await(aConnection, [&](CallerHandle aHandle) {
    call.mCaller = aHandle;
    mHooks.mCallArrived(std::move(call));
  });
  mMetrics.CountAnswer(ToName(answer.mOutcome), ToName(answer.mReason));
  HttpResponse response = RenderAnswer(std::move(answer));
  if (!trace.empty() && FindHeader(response.mHeaders, "traceparent").empty()) {
    response.mHeaders.emplace_back("traceparent", trace);
  }
  mMetrics.Observe(Latency::Call, std::chrono::steady_clock::now() - start);
  return response;
}

HttpResponse
CallerServer::ServeKey(const HttpRequest& aRequest, HttpConnection& aConnection)
{
  auto parsed = ParseKeyRequest(aRequest);
  if (const auto* reason = std::get_if<Reason>(&parsed)) {
    return RenderRefusal(StatusOf(Outcome::NotRun, *reason), *reason);
  }
  auto& request = std::get<CallerKeyRequest>(parsed);
  AnswerCaller answer = Await(aConnection, [&](CallerHandle aHandle) {
    request.mCaller = aHandle;
    mHooks.mKeyRequested(std::move(request));
  });
  if (answer.mIssuedKey.empty()) {
    return RenderAnswer(std::move(answer));
  }
  HttpResponse response =
    RenderJson(200, "{\"key\":\"" + answer.mIssuedKey + "\"}\n");
  response.mHeaders.emplace_back("Idempotency-Key", answer.mIssuedKey);
  return response;
}

HttpResponse
CallerServer::ServeAnnouncement(const HttpRequest& aRequest)
{
  auto parsed = ParseAnnouncement(aRequest.mBody);
  if (const auto* problem = std::get_if<std::string>(&parsed)) {
    return { .mStatus = 400,
             .mHeaders = { { "Content-Type", "text/plain" } },
             .mBody = *problem + "\n" };
  }
  mHooks.mAnnounced(std::move(std::get<Announcement>(parsed)));
  return { .mStatus = 204 };
}

} // namespace amaranthgap
