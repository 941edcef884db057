#include "proxy/Forwarder.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "http/HttpHeaders.h"
#include "proxy/CrashExchange.h"

namespace amaranthgap {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Part of the remaining time within which a caller comes back, if at all.
constexpr double kReturnShare = 0.3;
constexpr double kEarliestReturnShare = 0.1;

// Weight of one answer in what requests of its route need on the mean.
constexpr double kNeedWeight = 0.1;
constexpr double kBytesPerKilobyte = 1000;
// Headers and framing of a request and its answer between nodes, on the mean.
constexpr double kHeaderBytes = 500;

// Retries of a node for each first attempt to a service: a quarter of what the
// users allow the fleet, as a retry repeats the calls below it as well.
constexpr double kRetryRatio = 0.05;
constexpr RetryTokenBucket::Options kRetryBounds{ .mInitialTokens = 1,
                                                  .mMaxTokens = 5 };

std::optional<int64_t>
ReadMillis(std::string_view aText)
{
  int64_t out = 0;
  const auto [at, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), out);
  if (aText.empty() || ec != std::errc() || out < 0 ||
      at != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return out;
}

} // namespace

/** One request at its entry node. */
struct Forwarder::Call
{
  RequestHandle mHandle;
  RouteTablePtr mRoutes; ///< In force when it arrived; owns mRoute.
  const Route* mRoute = nullptr;
  std::string mService;
  std::string mDataCentre; ///< Where it is to run; empty for any.
  CallKind mParent;        ///< Of the request that made it.
  std::string mKey;        ///< Of its customer; empty if it needs none.
  ForwardRequest mRequest; ///< As sent with the first attempt.
  TimePoint mArrived;
  TimePoint mCallerDeadline;
  TimePoint mDeadline;
  AttemptHistory mHistory;
  std::set<std::string> mTried;
  std::string mNode;     ///< Of the attempt under way.
  bool mIsTrial = false; ///< A target told that it is under suspicion.
  uint64_t mAttempt = 0;
  bool mIsOut = false; ///< An attempt is under way.
  MemoryAccount::Share mHeld;
  AttemptReason mLastReason = AttemptReason::NoTarget;
};

Forwarder::Forwarder(Logger& aLogger, Options aOptions, Outlets aOutlets)
  : mLogger(aLogger)
  , mOptions(std::move(aOptions))
  , mOutlets(std::move(aOutlets))
  , mRng(mOptions.mSeed)
  , mPicker(mOptions.mPicker)
  , mAdmission(mRng.Next())
  , mAllowances(mRng.Next())
{
}

Forwarder::~Forwarder() = default;

void
Forwarder::SetRoutes(TimePoint aNow, RouteTablePtr aRoutes)
{
  mRoutes = std::move(aRoutes);
  mAllowances.SetCustomers(aNow, mRoutes->Customers());
  mShares.Clear();
}

void
Forwarder::Refuse(RequestHandle aHandle, int aStatus)
{
  HttpResponse response{ .mStatus = aStatus };
  if (aStatus == kUnavailable) {
    // Long enough for a node to start, or for callers to turn to another one.
    constexpr double kEarliest = 0.2;
    constexpr double kLatest = 0.6;
    response.mHeaders.emplace_back(
      "Retry-After", fmt::format("{:.2f}", mRng.Uniform(kEarliest, kLatest)));
  }
  mOutlets.mAnswer(aHandle, std::move(response));
}

// Tokens are earned by first attempts, so that no message is needed to divide
// the budget of the fleet, and nodes that leave take only their own along.
RetryTokenBucket&
Forwarder::RetriesOf(const std::string& aService)
{
  return mRetries.try_emplace(aService, kRetryBounds).first->second;
}

bool
Forwarder::ReadCall(TimePoint aNow, Call& aCall, HttpRequest& aRequest)
{
  const HeaderNames& names = mOptions.mHeaders;
  const auto id = FindHeader(aRequest.mHeaders, names.mRequestId);
  const auto host = FindHeader(aRequest.mHeaders, "Host");
  if (id.empty() || host.empty() || aRequest.mPath.empty()) {
    return false;
  }
  aCall.mRequest.mRequestId = std::string(id);
  const auto left = ReadMillis(FindHeader(aRequest.mHeaders, names.mTimeLeft));
  aCall.mCallerDeadline = left ? aNow + milliseconds(*left) : TimePoint::max();
  aCall.mRoutes = mRoutes;
  aCall.mRoute = mRoutes->Match(host, aRequest.mPath);
  const bool hasCustomers = !mRoutes->Customers().empty();
  if (hasCustomers) {
    aCall.mKey = FindHeader(aRequest.mHeaders, names.mCustomerKey);
  }
  aRequest.mHeaders = EndToEndHeaders(aRequest.mHeaders);
  std::erase_if(aRequest.mHeaders, [&](const auto& aHeader) {
    const std::string& name = aHeader.first;
    return (hasCustomers && (EqualsIgnoringCase(name, names.mCustomerKey) ||
                             EqualsIgnoringCase(name, names.mCustomer))) ||
           EqualsIgnoringCase(name, names.mRequestId) ||
           EqualsIgnoringCase(name, names.mTimeLeft) ||
           EqualsIgnoringCase(name, names.mExpectedInstance) ||
           EqualsIgnoringCase(name, names.mCallerService);
  });
  aCall.mRequest.mHttp = std::move(aRequest);
  return true;
}

void
Forwarder::RequestArrived(TimePoint aNow,
                          RequestHandle aHandle,
                          HttpRequest aRequest)
{
  ++mCounts.mRequests;
  if (!mRoutes || mStopped) {
    Refuse(aHandle, kUnavailable);
    return;
  }
  const size_t bytes = aRequest.mBody.size();
  if (!mOptions.mAccount->HasRoomFor(bytes)) {
    ++mCounts.mNoMemory;
    mLogger.Write(aNow,
                  LogLevel::Warning,
                  "request-without-room",
                  { { "bytes", std::to_string(bytes) },
                    { "held", std::to_string(mOptions.mAccount->Held()) },
                    { "status", std::to_string(kUnavailable) } });
    Refuse(aHandle, kUnavailable);
    return;
  }
  auto owned = std::make_unique<Call>();
  Call& call = *owned;
  call.mHandle = aHandle;
  call.mArrived = aNow;
  call.mHeld = MemoryAccount::Share(mOptions.mAccount, MemoryUse::Requests);
  call.mHeld.Set(bytes);
  if (!ReadCall(aNow, call, aRequest)) {
    Refuse(aHandle, kBadRequest);
    return;
  }
  if (!call.mRoute) {
    Refuse(aHandle, kNotFound);
    return;
  }
  const Route& route = *call.mRoute;
  call.mDeadline = std::min(call.mCallerDeadline, aNow + route.mTimeout);
  call.mHistory.mIdempotent = route.mIdempotent;
  call.mHistory.mMaxUpstreamAttempts = route.mMaxAttempts;
  ForwardRequest& request = call.mRequest;
  request.mCallerService = mOptions.mService;
  request.mRoute = route.mName;
  request.mPriority = route.mPriority;
  request.mIdempotent = route.mIdempotent;
  request.mLatencyTargetMs = uint32_t(ToMillis(route.mLatencyTarget));
  const ForwardRequest* parent = mOutlets.mParent(request.mRequestId);
  if (parent) {
    InheritFrom(*parent, call);
  }
  call.mService = mShares.Choose(route);
  request.mService = call.mService;
  mByDeadline.emplace(call.mDeadline, aHandle);
  mCalls.emplace(aHandle, std::move(owned));
  if (!parent && !IdentifyCustomer(call)) {
    GiveUp(aNow, call, AttemptReason::Unauthorized);
    return;
  }
  if (mOutlets.mQuarantineLeft(aNow, request) > Duration::zero()) {
    GiveUp(aNow, call, AttemptReason::Quarantined);
    return;
  }
  if (!parent) {
    if (const auto reason = AdmitFirst(aNow, call);
        reason != AttemptReason::None) {
      GiveUp(aNow, call, reason);
      return;
    }
  }
  RetriesOf(call.mService).AddFirstAttempt(kRetryRatio);
  Attempt(aNow, call);
}

void
Forwarder::InheritFrom(const ForwardRequest& aParent, Call& aCall)
{
  // A tree is as important as its root, and was admitted there.
  ForwardRequest& request = aCall.mRequest;
  request.mIsNested = true;
  request.mPriority = aParent.mPriority;
  request.mShare = aParent.mShare;
  aCall.mParent = KindOf(aParent);
  aCall.mKey.clear();
}

bool
Forwarder::IdentifyCustomer(Call& aCall) const
{
  if (mRoutes->Customers().empty() || aCall.mRoute->mIsPublic) {
    aCall.mKey.clear();
    return true;
  }
  const Customer* customer = mRoutes->FindCustomer(aCall.mKey);
  if (!customer) {
    return false;
  }
  ForwardRequest& request = aCall.mRequest;
  request.mCustomer = customer->mName;
  request.mPriority = customer->mPriority.value_or(request.mPriority);
  return true;
}

bool
Forwarder::IsKeyValid(const Call& aCall) const
{
  if (aCall.mKey.empty() || mRoutes == aCall.mRoutes) {
    return true;
  }
  const Customer* customer = mRoutes->FindCustomer(aCall.mKey);
  return customer && customer->mName == aCall.mRequest.mCustomer;
}

AttemptReason
Forwarder::AdmitFirst(TimePoint aNow, Call& aCall)
{
  ForwardRequest& request = aCall.mRequest;
  if (!mAllowances.MayAdmit(aNow, request.mCustomer)) {
    ++mCounts.mOverAllowance;
    return AttemptReason::OverAllowance;
  }
  const auto places = mPicker.DataCentresOf(aNow, aCall.mService);
  if (places.empty()) {
    // There is no target, which is what the answer will tell.
    return AttemptReason::None;
  }
  const auto admitted =
    mAdmission.Admit(aNow, KindOf(request), mNeeds[request.mRoute], places);
  if (!admitted) {
    ++mCounts.mThrottled;
    return AttemptReason::Throttled;
  }
  mAllowances.Admitted(aNow, request.mCustomer);
  aCall.mDataCentre = admitted->mDataCentre;
  request.mShare = uint32_t(admitted->mShare * kThousandths);
  return AttemptReason::None;
}

std::optional<TargetPicker::Choice>
Forwarder::ChooseTarget(TimePoint aNow, const Call& aCall)
{
  const ForwardRequest& first = aCall.mRequest;
  if (aCall.mIsTrial) {
    return mPicker.ChooseForTrial(
      aNow, aCall.mService, FingerprintsOf(first).mTrialKey, aCall.mTried);
  }
  return mPicker.Choose(aNow,
                        { .mService = aCall.mService,
                          .mKind = KindOf(first),
                          .mLatencyTarget = aCall.mRoute->mLatencyTarget,
                          .mKilobytes = mNeeds[first.mRoute].mKilobytes,
                          .mDataCentre = aCall.mDataCentre },
                        aCall.mTried);
}

void
Forwarder::Attempt(TimePoint aNow, Call& aCall)
{
  if (!IsKeyValid(aCall)) {
    GiveUp(aNow, aCall, AttemptReason::Unauthorized);
    return;
  }
  const auto target = ChooseTarget(aNow, aCall);
  if (!target) {
    GiveUp(aNow, aCall, aCall.mLastReason);
    return;
  }
  aCall.mNode = target->mNode;
  aCall.mTried.insert(target->mNode);
  ForwardRequest request = aCall.mRequest;
  request.mInstance = target->mInstance;
  request.mTimeLeftMs =
    uint32_t(std::max<int64_t>(ToMillis(aCall.mDeadline - aNow), 0));
  request.mIsRetry = aCall.mHistory.mUpstreamAttempts > 0;
  request.mIsTrial = aCall.mIsTrial;
  mPicker.Sent(target->mNode);
  aCall.mIsOut = true;
  const RequestHandle handle = aCall.mHandle;
  aCall.mAttempt = mOutlets.mSend(
    aNow,
    target->mNode,
    std::move(request),
    [this, handle](ForwardReply aReply) {
      if (const auto it = mCalls.find(handle); it != mCalls.end()) {
        AttemptEnded(EventLoop::Now(), *it->second, std::move(aReply));
      }
    });
}

void
Forwarder::NoteReply(TimePoint aNow,
                     const Call& aCall,
                     const ForwardReply& aReply)
{
  const std::string& node = aCall.mNode;
  const ForwardRequest& request = aCall.mRequest;
  TargetPicker::Result result{ .mKind = KindOf(request) };
  switch (aReply.mReason) {
    case AttemptReason::PeerLost:
    case AttemptReason::NotConnected:
    case AttemptReason::ConnectionLost:
      mPicker.Failed(aNow, node);
      return;
    case AttemptReason::Leaving:
    case AttemptReason::OtherInstance:
      mPicker.Abandoned(node); // It tells its new state by itself.
      return;
    case AttemptReason::NoRoom:
      result.mIsRefused = true;
      break;
    case AttemptReason::UpstreamRefused:
    case AttemptReason::InvalidResponse:
      result.mIsFailed = true;
      break;
    default:
      break;
  }
  mPicker.Replied(aNow, node, result, aReply.mLoad);
  const TreeLoad load{ .mShare = aReply.mLoad.mShare / kThousandths,
                       .mDemand = aReply.mLoad.mDemand / kThousandths,
                       .mFailureRatio = aReply.mLoad.mFailed / kThousandths };
  if (request.mIsNested) {
    mOutlets.mLoadBelow(aNow, aCall.mParent, load);
  } else {
    mAdmission.UpdateLoad(
      aNow, KindOf(request), mPicker.DataCentreOf(node), load);
  }
  if (aReply.mOutcome == AttemptOutcome::Answered) {
    NoteNeed(aNow, aCall, aReply);
  }
}

void
Forwarder::LoadTold(TimePoint aNow,
                    const std::string& aNode,
                    const LoadReport& aReport)
{
  const std::string& place = mPicker.DataCentreOf(aNode);
  for (const KindLoad& it : aReport.mKinds) {
    mAdmission.UpdateLoad(aNow,
                          CallKind{ it.mRoute, it.mPriority },
                          place,
                          { .mShare = it.mShare / kThousandths,
                            .mDemand = it.mDemand / kThousandths,
                            .mFailureRatio = it.mFailed / kThousandths });
  }
}

void
Forwarder::NoteNeed(TimePoint aNow,
                    const Call& aCall,
                    const ForwardReply& aReply)
{
  const double bytes = double(aCall.mRequest.mHttp.mBody.size()) +
                       double(aReply.mHttp.mBody.size()) + kHeaderBytes;
  const double millis = ToSeconds(aNow - aCall.mArrived) * kThousandths;
  RequestProfile& need = mNeeds[aCall.mRequest.mRoute];
  need.mKilobytes +=
    kNeedWeight * (bytes / kBytesPerKilobyte - need.mKilobytes);
  need.mMillis += kNeedWeight * (millis - need.mMillis);
}

void
Forwarder::AttemptEnded(TimePoint aNow, Call& aCall, ForwardReply aReply)
{
  aCall.mIsOut = false;
  aCall.mLastReason = aReply.mReason;
  NoteReply(aNow, aCall, aReply);
  if (aReply.mOutcome == AttemptOutcome::Answered) {
    ++mCounts.mAnswered;
    Answer(aCall, std::move(aReply.mHttp));
    return;
  }
  AttemptHistory& history = aCall.mHistory;
  const bool arrived = aReply.mOutcome == AttemptOutcome::MayHaveRun ||
                       !EndedBeforeUpstream(aReply.mReason);
  history.mMayHaveRun |= aReply.mOutcome == AttemptOutcome::MayHaveRun;
  history.mUpstreamAttempts += arrived ? 1 : 0;
  history.mRedirects += arrived ? 0 : 1;
  const bool isSuspected = aReply.mReason == AttemptReason::Suspected;
  const bool isTrialBusy = isSuspected && aCall.mIsTrial;
  if (isSuspected) {
    aCall.mIsTrial = true;
    aCall.mTried.erase(aCall.mNode); // It may be the one that tries it.
  }
  const NextStep step = aNow >= aCall.mDeadline || isTrialBusy
                          ? NextStep::GiveUp
                          : ChooseNextStep(history, aReply.mReason);
  if (step == NextStep::Redirect) {
    ++mCounts.mRedirects;
    Attempt(aNow, aCall);
  } else if (step == NextStep::Retry && RetriesOf(aCall.mService).TryTake()) {
    ++mCounts.mRetries;
    Attempt(aNow, aCall);
  } else {
    GiveUp(aNow, aCall, aReply.mReason);
  }
}

void
Forwarder::LogEnd(TimePoint aNow,
                  const Call& aCall,
                  AttemptReason aReason,
                  int aStatus)
{
  mLogger.Write(
    aNow,
    LogLevel::Info,
    "request-given-up",
    { { "request", aCall.mRequest.mRequestId },
      { "route", aCall.mRoute->mName },
      { "service", aCall.mService },
      { "reason", std::string(ToName(aReason)) },
      { "status", std::to_string(aStatus) },
      { "may_have_run", aCall.mHistory.mMayHaveRun ? "yes" : "no" },
      { "arrivals", std::to_string(aCall.mHistory.mUpstreamAttempts) },
      { "redirects", std::to_string(aCall.mHistory.mRedirects) },
      { "last_node", aCall.mNode },
      { "nested", aCall.mRequest.mIsNested ? "yes" : "no" },
      { "after_ms", std::to_string(ToMillis(aNow - aCall.mArrived)) },
      { "routes_version", fmt::format("{:08x}", aCall.mRoutes->Version()) },
      { "share",
        fmt::format("{:.2f}",
                    mAdmission.AdmittedShare(KindOf(aCall.mRequest))) },
      { "customer", aCall.mRequest.mCustomer } });
}

std::optional<double>
Forwarder::ReturnTime(TimePoint aNow, const Call& aCall, AttemptReason aReason)
{
  if (aReason == AttemptReason::Quarantined) {
    const Duration left = mOutlets.mQuarantineLeft(aNow, aCall.mRequest);
    if (left > Duration::zero()) {
      return ToSeconds(left);
    }
  }
  if (aReason == AttemptReason::OverAllowance) {
    return ToSeconds(mAllowances.WaitFor(aNow, aCall.mRequest.mCustomer));
  }
  if (aCall.mCallerDeadline == TimePoint::max()) {
    return std::nullopt;
  }
  const double left = ToSeconds(aCall.mCallerDeadline - aNow);
  return std::max(left * mRng.Uniform(kEarliestReturnShare, kReturnShare), 0.0);
}

void
Forwarder::GiveUp(TimePoint aNow, Call& aCall, AttemptReason aReason)
{
  const bool mayHaveRun = aCall.mHistory.mMayHaveRun;
  const FinalRefusal refusal = RefusalFor(mayHaveRun, aReason);
  (mayHaveRun ? mCounts.mFailed : mCounts.mRefused) += 1;
  mCounts.mQuarantined += aReason == AttemptReason::Quarantined ? 1 : 0;
  mCounts.mUnauthorized += aReason == AttemptReason::Unauthorized ? 1 : 0;
  HttpResponse response{ .mStatus = refusal.mStatus };
  if (refusal.mSuggestsRetryAfter) {
    if (const auto after = ReturnTime(aNow, aCall, aReason)) {
      response.mHeaders.emplace_back("Retry-After",
                                     fmt::format("{:.3f}", *after));
    }
  }
  LogEnd(aNow, aCall, aReason, refusal.mStatus);
  Answer(aCall, std::move(response));
}

void
Forwarder::Answer(Call& aCall, HttpResponse aResponse)
{
  const RequestHandle handle = aCall.mHandle;
  Remove(aCall);
  mOutlets.mAnswer(handle, std::move(aResponse));
}

void
Forwarder::Remove(Call& aCall)
{
  const RequestHandle handle = aCall.mHandle;
  mByDeadline.erase({ aCall.mDeadline, handle });
  mCalls.erase(handle);
}

void
Forwarder::CallerGone(TimePoint aNow, RequestHandle aHandle)
{
  const auto it = mCalls.find(aHandle);
  if (it == mCalls.end()) {
    return;
  }
  Call& call = *it->second;
  ++mCounts.mCancelled;
  if (call.mIsOut) {
    mPicker.Abandoned(call.mNode);
    mOutlets.mCancel(aNow, call.mNode, call.mAttempt);
  }
  Remove(call);
}

void
Forwarder::Tick(TimePoint aNow)
{
  while (!mByDeadline.empty() && mByDeadline.begin()->first <= aNow) {
    Abandon(
      aNow, *mCalls.at(mByDeadline.begin()->second), AttemptReason::Expired);
  }
}

void
Forwarder::EndAll(TimePoint aNow)
{
  while (!mCalls.empty()) {
    Abandon(aNow, *mCalls.begin()->second, AttemptReason::Leaving);
  }
}

void
Forwarder::Abandon(TimePoint aNow, Call& aCall, AttemptReason aReason)
{
  if (aCall.mIsOut) {
    // The other end may have started it.
    aCall.mHistory.mMayHaveRun = true;
    mPicker.Abandoned(aCall.mNode);
    mOutlets.mCancel(aNow, aCall.mNode, aCall.mAttempt);
  }
  GiveUp(aNow, aCall, aReason);
}

} // namespace amaranthgap
