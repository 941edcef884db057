#include "server/CallerServer.h"

#include <algorithm>

#include "server/CallerInterface.h"

namespace amaranthgap {

namespace {

constexpr std::string_view kKeyPath = "/v1/idempotency-key";
constexpr std::string_view kAnnouncePath = "/v1/announce";
// Threads that read, decide and write; none of them waits for an answer.
constexpr uint32_t kWorkers = 32;
// The highest limit that a manifest may set; the decisions apply the one in
// force.
constexpr size_t kMaxBody = size_t(896) * 1024;

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
CallerServer::MakeOptions(const NodeSettings& aSettings)
{
  const RequestFramer::Limits limits{ .mMaxHeaderBytes =
                                        aSettings.mMaxHeaderBytes,
                                      .mMaxBodyBytes = kMaxBody };
  return { .mCaller = { .mAddress = aSettings.mCallerAddress,
                        .mMaxConnections = aSettings.mMaxCallerConnections,
                        .mMaxWorkers = kWorkers,
                        .mLimits = limits },
           .mLocal = { .mAddress = aSettings.mLocalAddress,
                       .mMaxConnections = aSettings.mMaxCallerConnections,
                       .mMaxWorkers = kWorkers,
                       .mLimits = limits } };
}

CallerServer::CallerServer(Options aOptions, Hooks aHooks, Metrics& aMetrics)
  : mHooks(std::move(aHooks))
  , mMetrics(aMetrics)
  , mCaller(
      std::move(aOptions.mCaller),
      [this](HttpRequest aRequest, const ConnectionPtr& aConnection) {
        ServeCaller(std::move(aRequest), aConnection);
      },
      RenderFaulty)
  , mLocal(
      std::move(aOptions.mLocal),
      [this](HttpRequest aRequest, const ConnectionPtr& aConnection) {
        ServeLocal(std::move(aRequest), aConnection);
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

// -- Waiting requests -------------------------------------------------------

CallerHandle
CallerServer::Enter(Waiter aWaiter)
{
  const CallerHandle handle{ mNextHandle++ };
  aWaiter.mStart = std::chrono::steady_clock::now();
  mWaiters.insert({ handle.mValue, std::move(aWaiter) });
  return handle;
}

// Takes a waiting request out; only one thread succeeds.
bool
CallerServer::Leave(CallerHandle aHandle, Waiter& aWaiter)
{
  decltype(mWaiters)::accessor found;
  if (!mWaiters.find(found, aHandle.mValue)) {
    return false;
  }
  aWaiter = std::move(found->second);
  mWaiters.erase(found);
  return true;
}

void
CallerServer::Answer(AnswerCaller aAnswer)
{
  Waiter waiter;
  if (!Leave(aAnswer.mCaller, waiter)) {
    return;
  }
  HttpResponse response = Render(waiter, std::move(aAnswer));
  mMetrics.Observe(Latency::Call,
                   std::chrono::steady_clock::now() - waiter.mStart);
  waiter.mListener->Respond(waiter.mConnection, std::move(response));
}

void
CallerServer::WatchConnection(CallerHandle aHandle,
                              const ConnectionPtr& aConnection)
{
  aConnection->SetOnGone([this, aHandle] {
    Waiter waiter;
    if (Leave(aHandle, waiter)) {
      mHooks.mCallerGone(aHandle);
      waiter.mListener->Respond(waiter.mConnection, {});
    }
  });
}

HttpResponse
CallerServer::Render(const Waiter& aWaiter, AnswerCaller aAnswer)
{
  if (aWaiter.mForKey && !aAnswer.mIssuedKey.empty()) {
    HttpResponse out =
      RenderJson(200, "{\"key\":\"" + aAnswer.mIssuedKey + "\"}\n");
    out.mHeaders.emplace_back("Idempotency-Key", aAnswer.mIssuedKey);
    return out;
  }
  mMetrics.CountAnswer(ToName(aAnswer.mOutcome), ToName(aAnswer.mReason));
  HttpResponse out = RenderAnswer(std::move(aAnswer));
  if (!aWaiter.mTrace.empty() &&
      FindHeader(out.mHeaders, "traceparent").empty()) {
    out.mHeaders.emplace_back("traceparent", aWaiter.mTrace);
  }
  return out;
}

// -- Requests ---------------------------------------------------------------

void
CallerServer::ServeCaller(HttpRequest aRequest,
                          const ConnectionPtr& aConnection)
{
  if (PathOf(aRequest) != kKeyPath) {
    ServeCall(std::move(aRequest), aConnection, false);
  } else if (aRequest.mMethod == "GET") {
    ServeKey(aRequest, aConnection);
  } else {
    mCaller.Respond(aConnection, RenderRefusal(405, Reason::BadRequest));
  }
}

void
CallerServer::ServeLocal(HttpRequest aRequest, const ConnectionPtr& aConnection)
{
  const std::string path(PathOf(aRequest));
  if (path.starts_with("/call/")) {
    ServeCall(std::move(aRequest), aConnection, true);
    return;
  }
  HttpResponse response = RenderRefusal(405, Reason::BadRequest);
  if (path == kAnnouncePath) {
    if (aRequest.mMethod == "PUT") {
      response = ServeAnnouncement(aRequest);
    }
  } else if (aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD") {
    const size_t question =
      std::min(aRequest.mPath.find('?'), aRequest.mPath.size());
    response = mHooks.mOperator(path, aRequest.mPath.substr(question));
  }
  mLocal.Respond(aConnection, std::move(response));
}

void
CallerServer::ServeCall(HttpRequest aRequest,
                        const ConnectionPtr& aConnection,
                        bool aFromUpstream)
{
  HttpListener& listener = aFromUpstream ? mLocal : mCaller;
  std::string trace(FindHeader(aRequest.mHeaders, "traceparent"));
  auto parsed = ParseCall(std::move(aRequest), aFromUpstream);
  if (const auto* reason = std::get_if<Reason>(&parsed)) {
    mMetrics.CountAnswer(ToName(Outcome::NotRun), ToName(*reason));
    listener.Respond(
      aConnection, RenderRefusal(StatusOf(Outcome::NotRun, *reason), *reason));
    return;
  }
  auto& call = std::get<CallerCall>(parsed);
  call.mCaller = Enter({ .mListener = &listener,
                         .mConnection = aConnection,
                         .mTrace = std::move(trace) });
  const CallerHandle handle = call.mCaller;
  mHooks.mCallArrived(std::move(call));
  WatchConnection(handle, aConnection);
}

void
CallerServer::ServeKey(const HttpRequest& aRequest,
                       const ConnectionPtr& aConnection)
{
  auto parsed = ParseKeyRequest(aRequest);
  if (const auto* reason = std::get_if<Reason>(&parsed)) {
    mCaller.Respond(aConnection,
                    RenderRefusal(StatusOf(Outcome::NotRun, *reason), *reason));
    return;
  }
  auto& request = std::get<CallerKeyRequest>(parsed);
  request.mCaller = Enter(
    { .mListener = &mCaller, .mConnection = aConnection, .mForKey = true });
  const CallerHandle handle = request.mCaller;
  mHooks.mKeyRequested(std::move(request));
  WatchConnection(handle, aConnection);
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
