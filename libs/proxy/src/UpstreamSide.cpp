#include "UpstreamAttempt.h"

#include <algorithm>

#include <fmt/format.h>

#include "http/HttpHeaders.h"
#include "proxy/ResponseJudge.h"

namespace amaranthgap {

namespace {

constexpr Duration kConnectTimeout = milliseconds(400);
constexpr Duration kUserTimeout = seconds(2);
// Most memory of all incomplete responses, and most part of the account.
constexpr size_t kMaxResponseBytes = size_t(32) * 1024 * 1024;
constexpr size_t kResponseDivisor = 2;
// Longest way between an entry node and this one.
constexpr Duration kLateMargin = milliseconds(60);

bool
IsServerFailure(int aStatus)
{
  return aStatus >= 500;
}

} // namespace

UpstreamSide::UpstreamSide(EventLoop& aLoop,
                           Logger& aLogger,
                           CrashExchange& aCrashes,
                           Options aOptions)
  : mLoop(aLoop)
  , mLogger(aLogger)
  , mCrashes(aCrashes)
  , mOptions(std::move(aOptions))
  , mGate(UpstreamLimiter::Options{})
  , mResponses(mOptions.mAccount, MemoryUse::UpstreamInput)
  , mCrashDetector(mLoop, mOptions.mAddress, [this](TimePoint aNow) {
    Crashed(aNow, CrashSign::Refused);
  })
{
}

UpstreamSide::~UpstreamSide() = default;

ExecutionId
UpstreamSide::Run(TimePoint aNow, ForwardRequest aRequest, Done aDone)
{
  const ExecutionId id{ ++mLastId };
  auto& attempt = mAttempts[id];
  attempt = std::make_unique<Attempt>();
  attempt->mId = id;
  attempt->mArrived = aNow;
  attempt->mDeadline = aNow + milliseconds(aRequest.mTimeLeftMs);
  attempt->mRequest = std::move(aRequest);
  attempt->mFingerprints = FingerprintsOf(attempt->mRequest);
  attempt->mDone = std::move(aDone);
  const size_t bytes = attempt->mRequest.mHttp.mBody.size();
  const bool hasRoom = mOptions.mAccount->HasRoomFor(bytes);
  attempt->mHeld = MemoryAccount::Share(mOptions.mAccount, MemoryUse::Requests);
  attempt->mHeld.Set(bytes);
  attempt->mByDeadline = mByDeadline.emplace(attempt->mDeadline, id);
  mByRequest[attempt->mRequest.mRequestId] = id;
  const ForwardRequest& request = attempt->mRequest;
  AttemptReason reason = AttemptReason::None;
  if (!IsForCurrentRun(request)) {
    reason = AttemptReason::OtherInstance;
  } else if (mIsDown) {
    reason = AttemptReason::NotConnected;
  } else if (!mTakesWork) {
    reason = AttemptReason::Leaving;
  } else if (attempt->mDeadline <= aNow) {
    reason = AttemptReason::Expired;
  } else if (!hasRoom) {
    reason = AttemptReason::NoRoom;
  } else {
    reason = ReasonToHold(aNow, *attempt);
  }
  if (reason != AttemptReason::None) {
    mLoop.Defer([this, id, reason] { Refuse(id, reason); });
    return id;
  }
  if (!request.mIsNested) {
    mFirstKinds.insert(KindOf(request));
  }
  mPlan.Arrived(aNow, request.mPriority, request.mShare / kThousandths);
  const auto verdict =
    mGate.Offer(aNow,
                { .mExecution = id,
                  .mPriority = request.mPriority,
                  .mIsNested = request.mIsNested,
                  .mDeadline = attempt->mDeadline,
                  .mLatencyTarget = milliseconds(request.mLatencyTargetMs) });
  for (const ExecutionId it : verdict.mEvicted) {
    mLoop.Defer([this, it] { Refuse(it, AttemptReason::NoRoom); });
  }
  if (verdict.mStarted) {
    Start(aNow, *attempt);
  } else if (!verdict.mQueued) {
    mLoop.Defer([this, id] { Refuse(id, AttemptReason::NoRoom); });
  }
  return id;
}

std::unique_ptr<ClientConnection>
UpstreamSide::TakeConnection(TimePoint aNow)
{
  while (!mIdle.empty()) {
    auto connection = std::move(mIdle.back());
    mIdle.pop_back();
    if (connection->IsReusable(aNow)) {
      return connection;
    }
  }
  const ClientConnection::Options options{
    .mStream = { .mConnectTimeout = kConnectTimeout,
                 .mUserTimeout = kUserTimeout,
                 .mAccount = mOptions.mAccount,
                 .mUse = MemoryUse::UpstreamOutput },
    .mOnGrowth = [this] { LimitResponses(EventLoop::Now()); },
  };
  return std::make_unique<ClientConnection>(mLoop, mOptions.mAddress, options);
}

void
UpstreamSide::Start(TimePoint aNow, Attempt& aAttempt)
{
  const ExecutionId id = aAttempt.mId;
  const HeaderNames& names = mOptions.mHeaders;
  aAttempt.mIsRunning = true;
  aAttempt.mIsTrial = mCrashes.Evidence().StateOf(
                        aNow, aAttempt.mFingerprints) == Suspicion::Probation;
  mTrialCount += aAttempt.mIsTrial ? 1 : 0;
  aAttempt.mStarted = aNow;
  aAttempt.mRunStartedMillis = mNotices.StartedMillis();
  mPlan.Started(aNow, aAttempt.mRequest.mPriority, aNow - aAttempt.mArrived);
  // The attempt is sent once, so that the connection takes its body over.
  HttpRequest http = std::move(aAttempt.mRequest.mHttp);
  aAttempt.mHeld.Set(0);
  const auto left = ToMillis(aAttempt.mDeadline - aNow);
  http.mHeaders.emplace_back(names.mRequestId, aAttempt.mRequest.mRequestId);
  http.mHeaders.emplace_back(names.mTimeLeft,
                             std::to_string(std::max<int64_t>(left, 1)));
  // The address may belong to another upstream by the time this is sent.
  http.mHeaders.emplace_back(names.mExpectedInstance,
                             aAttempt.mRequest.mInstance);
  http.mHeaders.emplace_back(names.mCallerService,
                             aAttempt.mRequest.mCallerService);
  if (!aAttempt.mRequest.mCustomer.empty()) {
    http.mHeaders.emplace_back(names.mCustomer, aAttempt.mRequest.mCustomer);
  }
  ++mSentCount;
  aAttempt.mConnection = TakeConnection(aNow);
  const auto isOurs = [id = aAttempt.mRequest.mRequestId,
                       name = names.mRequestId](const HttpResponse& aResponse) {
    return FindHeader(aResponse.mHeaders, name) == id;
  };
  aAttempt.mConnection->Send(
    http, isOurs, [this, id](ExchangeEnd aEnd, ReceivedResponse aResponse) {
      Answered(id, aEnd, std::move(aResponse));
    });
}

UpstreamSide::RunEnd
UpstreamSide::EndOf(const ForwardReply& aReply)
{
  switch (aReply.mOutcome) {
    case AttemptOutcome::Answered:
      return IsServerFailure(aReply.mHttp.mStatus) ? RunEnd::Failed
                                                   : RunEnd::Good;
    case AttemptOutcome::MayHaveRun:
      return RunEnd::Failed;
    default:
      return RunEnd::Nothing;
  }
}

void
UpstreamSide::Answered(ExecutionId aExecution,
                       ExchangeEnd aEnd,
                       ReceivedResponse aResponse)
{
  const auto it = mAttempts.find(aExecution);
  if (it == mAttempts.end()) {
    return;
  }
  Attempt& attempt = *it->second;
  const TimePoint now = EventLoop::Now();
  const AnswerNotice notice = mOptions.mReadNotice(aResponse.mHttp.mHeaders);
  ForwardReply reply =
    JudgeResponse(mOptions.mHeaders, aEnd, std::move(aResponse));
  const bool hasRun = reply.mOutcome == AttemptOutcome::Answered;
  // After a failure the upstream may not have come to what crashes it: the
  // request may have waited for a slot until its time was over.
  const bool hasCompleted = hasRun && !IsServerFailure(reply.mHttp.mStatus);
  const bool isOfCurrentRun =
    attempt.mRequest.mInstance == Instance() &&
    attempt.mRunStartedMillis == mNotices.StartedMillis();
  const bool tellsOfUpstream =
    isOfCurrentRun &&
    (hasRun || reply.mReason == AttemptReason::UpstreamRefused);
  if (tellsOfUpstream) {
    NoteAnswer(now, notice, hasRun);
  }
  if (attempt.mConnection->IsReusable(now)) {
    mIdle.push_back(std::move(attempt.mConnection));
  }
  FreeSlot(now, attempt, EndOf(reply));
  if (mResponses.Bytes() > 0) {
    mResponses.Set(ResponseBytes());
  }
  if (hasRun) {
    mCrashDetector.RunAnswered(attempt.mStarted);
    if (hasCompleted) {
      mCrashes.Completed(now, attempt.mFingerprints);
    }
  } else if (aEnd == ExchangeEnd::Lost || aEnd == ExchangeEnd::Invalid) {
    NoteLostRun(now, attempt);
    mCrashDetector.ConnectionLost(now);
  }
  if (reply.mReason == AttemptReason::NotConnected) {
    SetDown("connection refused");
  } else if (reply.mReason == AttemptReason::OtherInstance) {
    SetDown("another instance answers");
  }
  if (hasRun && mOptions.mAccount->IsExceeded() &&
      reply.mHttp.mBody.size() > MemoryAccount::kSmallBytes) {
    // The last resort: the answer would exceed the memory of the host.
    mLogger.Write(now,
                  LogLevel::Error,
                  "answer-without-room",
                  { { "request", attempt.mRequest.mRequestId },
                    { "bytes", std::to_string(reply.mHttp.mBody.size()) },
                    { "held", std::to_string(mOptions.mAccount->Held()) } });
    reply.mHttp = {};
    reply.mOutcome = AttemptOutcome::MayHaveRun;
    reply.mReason = AttemptReason::InvalidResponse;
  }
  if (tellsOfUpstream && notice.mIsLeaving && mOnLeaving) {
    mOnLeaving(Instance(), mNotices.StartedMillis());
  }
  Finish(aExecution, std::move(reply));
  StartNext(now);
}

void
UpstreamSide::NoteAnswer(TimePoint aNow,
                         const AnswerNotice& aNotice,
                         bool aHasRun)
{
  const bool isNew = mNotices.Answered(aNow, mGate.Rate(), aNotice, aHasRun);
  mPlan.SetRateLimit(RateLimit());
  if (isNew) {
    const auto rate = RateLimit();
    mLogger.Write(aNow,
                  LogLevel::Info,
                  "upstream-notice",
                  { { "instance", Instance() },
                    { "limit_per_s", rate ? fmt::format("{:.2f}", *rate) : "" },
                    { "leaving", aNotice.mIsLeaving ? "yes" : "no" },
                    { "unusable", aNotice.mUnusable },
                    { "sent", std::to_string(mSentCount) } });
  }
}

void
UpstreamSide::FreeSlot(TimePoint aNow, Attempt& aAttempt, RunEnd aEnd)
{
  aAttempt.mIsRunning = false;
  mTrialCount -= aAttempt.mIsTrial ? 1 : 0;
  const Duration run = aNow - aAttempt.mStarted;
  const Duration told = aEnd == RunEnd::Good ? run : Duration::zero();
  mGate.Finished(told);
  if (mPace.IsPacing() && aEnd != RunEnd::Nothing) {
    mPace.Ended(aNow,
                run,
                milliseconds(aAttempt.mRequest.mLatencyTargetMs),
                aEnd == RunEnd::Good);
    ApplySlots();
    PaceEnded(aNow);
  }
  mPlan.Ended(aNow, aAttempt.mRequest.mPriority, told);
  if (aEnd != RunEnd::Nothing) {
    mKinds.Ended(KindOf(aAttempt.mRequest), run, aEnd == RunEnd::Good);
  }
}

void
UpstreamSide::StartNext(TimePoint aNow)
{
  while (const auto next = mGate.StartNextQueued(aNow)) {
    const auto it = mAttempts.find(*next);
    const AttemptReason reason = it == mAttempts.end()
                                   ? AttemptReason::CallerGone
                                   : ReasonToHold(aNow, *it->second);
    if (reason == AttemptReason::None) {
      Start(aNow, *it->second);
    } else {
      mGate.Finished(Duration::zero());
      Refuse(*next, reason);
    }
  }
}

void
UpstreamSide::Refuse(ExecutionId aExecution, AttemptReason aReason)
{
  ForwardReply reply;
  reply.mOutcome = AttemptOutcome::NotRun;
  reply.mReason = aReason;
  Finish(aExecution, std::move(reply));
}

void
UpstreamSide::Finish(ExecutionId aExecution, ForwardReply aReply)
{
  const auto it = mAttempts.find(aExecution);
  if (it == mAttempts.end()) {
    return;
  }
  const std::unique_ptr<Attempt> attempt = std::move(it->second);
  mByDeadline.erase(attempt->mByDeadline);
  if (const auto same = mByRequest.find(attempt->mRequest.mRequestId);
      same != mByRequest.end() && same->second == aExecution) {
    mByRequest.erase(same);
  }
  mAttempts.erase(it);
  const TimePoint now = EventLoop::Now();
  if (aReply.mOutcome != AttemptOutcome::Answered) {
    mLogger.Write(
      now,
      LogLevel::Info,
      "attempt-ended",
      { { "request", attempt->mRequest.mRequestId },
        { "outcome", std::string(ToName(aReply.mOutcome)) },
        { "reason", std::string(ToName(aReply.mReason)) },
        { "instance", Instance() },
        { "running", std::to_string(mGate.Running()) },
        { "waiting", std::to_string(mGate.Waiting()) },
        { "limit", std::to_string(mGate.Limit()) },
        { "left_ms", std::to_string(ToMillis(attempt->mDeadline - now)) } });
  }
  if (aReply.mReason == AttemptReason::NoRoom) {
    mPlan.Refused(now, attempt->mRequest.mPriority);
  }
  aReply.mLoad = Load(now, attempt->mRequest);
  aReply.mNotice = Notice();
  if (!attempt->mIsCancelled) {
    attempt->mDone(std::move(aReply));
  }
  // The connection may be on the stack.
  mLoop.Defer([connection = std::shared_ptr<ClientConnection>(
                 std::move(attempt->mConnection))] {});
}

void
UpstreamSide::Cancel(TimePoint aNow, ExecutionId aExecution)
{
  const auto it = mAttempts.find(aExecution);
  if (it == mAttempts.end()) {
    return;
  }
  Attempt& attempt = *it->second;
  attempt.mIsCancelled = true;
  if (attempt.mIsRunning && !attempt.mRequest.mIdempotent) {
    return;
  }
  ForwardReply reply;
  reply.mReason = AttemptReason::CallerGone;
  if (attempt.mIsRunning) {
    attempt.mConnection->Abort();
    NoteLostRun(aNow, attempt);
    // Its entry node gives a request up a little before its time is over here.
    const bool isLate = aNow + kLateMargin >= attempt.mDeadline;
    FreeSlot(aNow, attempt, isLate ? RunEnd::Failed : RunEnd::Nothing);
    reply.mOutcome = AttemptOutcome::MayHaveRun;
  } else {
    mGate.Remove(aExecution);
  }
  Finish(aExecution, std::move(reply));
  StartNext(aNow);
}

void
UpstreamSide::Tick(TimePoint aNow)
{
  for (const ExecutionId it : mGate.RemoveOverdue(aNow)) {
    Refuse(it, AttemptReason::NoRoom);
  }
  while (!mByDeadline.empty() && mByDeadline.begin()->first <= aNow) {
    const ExecutionId id = mByDeadline.begin()->second;
    Attempt& attempt = *mAttempts.at(id);
    ForwardReply reply;
    reply.mReason = AttemptReason::Expired;
    if (attempt.mIsRunning) {
      attempt.mConnection->Abort();
      NoteLostRun(aNow, attempt);
      FreeSlot(aNow, attempt, RunEnd::Failed);
      reply.mOutcome = AttemptOutcome::MayHaveRun;
    } else {
      mGate.Remove(id);
    }
    Finish(id, std::move(reply));
  }
  mCrashDetector.Tick(aNow);
  TickPace(aNow);
  std::erase_if(mIdle,
                [&](const auto& aOne) { return !aOne->IsReusable(aNow); });
  StartNext(aNow);
  LogOverload(aNow);
  LogRate(aNow);
}

size_t
UpstreamSide::ResponseBytes() const
{
  size_t out = 0;
  for (const auto& [id, attempt] : mAttempts) {
    out += attempt->mConnection ? attempt->mConnection->BufferedBytes() : 0;
  }
  return out;
}

void
UpstreamSide::LimitResponses(TimePoint aNow)
{
  while (ResponseBytes() > MaxResponseBytes()) {
    Attempt* longest = nullptr;
    size_t mostBytes = 0;
    for (const auto& [id, attempt] : mAttempts) {
      const size_t bytes =
        attempt->mConnection ? attempt->mConnection->BufferedBytes() : 0;
      if (bytes > mostBytes) {
        longest = attempt.get();
        mostBytes = bytes;
      }
    }
    mLogger.Write(aNow,
                  LogLevel::Warning,
                  "response-too-long",
                  { { "request", longest->mRequest.mRequestId },
                    { "bytes", std::to_string(mostBytes) } });
    longest->mConnection->Abort();
    FreeSlot(aNow, *longest, RunEnd::Failed);
    ForwardReply reply;
    reply.mOutcome = AttemptOutcome::MayHaveRun;
    reply.mReason = AttemptReason::InvalidResponse;
    Finish(longest->mId, std::move(reply));
  }
  mResponses.Set(ResponseBytes());
  mPeakResponseBytes = std::max(mPeakResponseBytes, mResponses.Bytes());
}

size_t
UpstreamSide::MaxResponseBytes() const
{
  return std::min(kMaxResponseBytes,
                  mOptions.mAccount->Limit() / kResponseDivisor);
}

GateLoad
UpstreamSide::GateState() const
{
  return { .mRunning = mGate.Running(),
           .mWaiting = uint32_t(mGate.Waiting()),
           .mLimit = mGate.Limit() };
}

const ForwardRequest*
UpstreamSide::Find(const std::string& aRequestId) const
{
  const auto it = mByRequest.find(aRequestId);
  return it == mByRequest.end() ? nullptr : &mAttempts.at(it->second)->mRequest;
}

} // namespace amaranthgap
