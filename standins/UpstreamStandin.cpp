#include "UpstreamStandin.h"

#include <cmath>

#include <fmt/format.h>
#include <unistd.h>

namespace amaranthgap {

namespace {

constexpr const char* kJson = "application/json";
constexpr Duration kAnnounceInterval = seconds(1);
constexpr Duration kSampleInterval = milliseconds(100);
constexpr size_t kMostSamples = 600;
constexpr int kCrashStatus = 70;

TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

void
Answer(httplib::Response& aResponse, int aStatus, const nlohmann::json& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), kJson);
}

std::string
MakeRun()
{
  return fmt::format(
    "{}-{}",
    ::getpid(),
    std::chrono::system_clock::now().time_since_epoch().count());
}

} // namespace

UpstreamStandin::UpstreamStandin(UpstreamOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRun(MakeRun())
  , mStart(Now())
  , mGate(mOptions.mSlots, mOptions.mMaxQueue)
  , mChildren(mOptions.mNode, mOptions.mChildren)
  , mRng(mOptions.mSeed)
  , mServiceMs(mOptions.mServiceMs)
  , mSlots(mOptions.mSlots)
  , mAnnouncedSlots(mOptions.mAnnouncedSlots)
  , mLoadFactor(mOptions.mLoadFactor)
  , mLoadLagMs(mOptions.mLoadLagMs)
  , mHealth(mOptions.mHealth)
{
}

bool
UpstreamStandin::Start()
{
  Serve();
  ServeControl();
  if (!mServer.Start(mOptions.mListen) ||
      (!mOptions.mControl.empty() && !mControl.Start(mOptions.mControl))) {
    return false;
  }
  mAnnouncer = std::thread([this] { Announce(); });
  return true;
}

void
UpstreamStandin::Drain()
{
  {
    const std::scoped_lock lock(mMutex);
    mIsLeaving = true;
    mHasChanged = true;
  }
  mWake.notify_all();
  const TimePoint end = Now() + milliseconds(mOptions.mDrainMs);
  // The node needs a moment to learn of the drain before the port closes.
  std::this_thread::sleep_for(milliseconds(300));
  while (mGate.Busy() + mGate.Waiting() > 0 && Now() < end) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  {
    const std::scoped_lock lock(mMutex);
    mIsStopped = true;
  }
  mWake.notify_all();
  mAnnouncer.join();
  mServer.Stop();
  mControl.Stop();
}

// -- Requests ---------------------------------------------------------------

void
UpstreamStandin::Serve()
{
  using httplib::Request;
  using httplib::Response;
  mServer.Get("/health", [this](const Request&, Response& aResponse) {
    AnswerHealth(aResponse);
  });
  mServer.Get("/load", [this](const Request&, Response& aResponse) {
    AnswerLoad(aResponse);
  });
  const auto handle = [this](const Request& aRequest, Response& aResponse) {
    Handle(aRequest, aResponse);
  };
  mServer.Get("/.*", handle);
  mServer.Post("/.*", handle);
  mServer.Put("/.*", handle);
  mServer.Delete("/.*", handle);
}

void
UpstreamStandin::Handle(const httplib::Request& aRequest,
                        httplib::Response& aResponse)
{
  const int socket = BlockingServer::CurrentSocket();
  switch (mGate.Enter(socket)) {
    case SlotGate::Entry::Full:
      mLog.Skipped(true);
      aResponse.set_header("Retry-After", "1");
      return Answer(aResponse, 503, { { "reason", "queue full" } });
    case SlotGate::Entry::Gone:
      mLog.Skipped(false);
      return BlockingServer::AbortConnection();
    case SlotGate::Entry::Admitted:
      break;
  }
  const WorkLog::Id id{ aRequest.get_header_value("X-Request-Id"),
                        aRequest.get_header_value("Idempotency-Key") };
  mLog.Started(id);
  if (!mOptions.mCrashMark.empty() &&
      aRequest.body.find(mOptions.mCrashMark) != std::string::npos) {
    fmt::print(stderr, "event=crash request={}\n", id.mRequest);
    ::_exit(kCrashStatus);
  }
  const TimePoint start = Now();
  const bool isGone = WaitForClose(socket, DrawServiceTime());
  const Duration own = Now() - start;
  const bool isComplete = !isGone && CallChildren(aRequest, aResponse);
  mGate.Leave();
  mLog.Ended(id, Now() - start, own, isComplete);
  if (!isComplete) {
    BlockingServer::AbortConnection();
  }
}

bool
UpstreamStandin::CallChildren(const httplib::Request& aRequest,
                              httplib::Response& aResponse)
{
  if (mChildren.IsEmpty()) {
    aResponse.status = 200;
    aResponse.set_content(std::string(mOptions.mAnswerBytes, 'a'),
                          "text/plain");
    return true;
  }
  const auto outcome = mChildren.CallAll(aRequest);
  if (WaitForClose(BlockingServer::CurrentSocket(), Duration::zero())) {
    return false;
  }
  if (!outcome.mIsSuccess) {
    // 502 and not 503: a 503 of this service would say that it sheds itself.
    aResponse.set_header("Retry-After", "1");
    Answer(aResponse,
           502,
           { { "service", mOptions.mService },
             { "child_status", outcome.mStatus },
             { "child_outcome", outcome.mOutcome },
             { "child_reason", outcome.mReason },
             { "child_retry_after_ms", outcome.mRetryAfterMs } });
    return true;
  }
  aResponse.status = 200;
  aResponse.set_content(std::string(mOptions.mAnswerBytes, 'a'), "text/plain");
  return true;
}

Duration
UpstreamStandin::DrawServiceTime()
{
  const std::scoped_lock lock(mMutex);
  double millis = mServiceMs;
  if (mOptions.mIsExponential) {
    millis *= -std::log(1 - mRng.Uniform());
  }
  const double age = ToSeconds(Now() - mStart) * 1000;
  if (age < mOptions.mColdMs) {
    millis *= 1 + (mOptions.mColdFactor - 1) * (1 - age / mOptions.mColdMs);
  }
  return FromSeconds(millis / 1000);
}

// -- Health, load and control -----------------------------------------------

void
UpstreamStandin::AnswerHealth(httplib::Response& aResponse)
{
  const std::scoped_lock lock(mMutex);
  const bool isUp =
    mHealth == "always-up" || (mHealth != "always-down" && !mIsLeaving);
  Answer(aResponse, isUp ? 200 : 503, { { "up", isUp } });
}

void
UpstreamStandin::AnswerLoad(httplib::Response& aResponse)
{
  LoadSample sample{ Now(), mGate.Busy(), mGate.Waiting() };
  const std::scoped_lock lock(mMutex);
  if (mLoadLagMs > 0) {
    const TimePoint at = Now() - milliseconds(mLoadLagMs);
    sample = {};
    for (const LoadSample& old : mSamples) {
      if (old.mAt <= at) {
        sample = old;
      }
    }
  }
  Answer(aResponse,
         200,
         { { "busy", uint32_t(sample.mBusy * mLoadFactor) },
           { "waiting", uint32_t(sample.mWaiting * mLoadFactor) },
           { "slots", mSlots } });
}

void
UpstreamStandin::Change(const nlohmann::json& aJson)
{
  {
    const std::scoped_lock lock(mMutex);
    mServiceMs = aJson.value("service_ms", mServiceMs);
    mSlots = aJson.value("slots", mSlots);
    mAnnouncedSlots = aJson.value("announced_slots", mAnnouncedSlots);
    mLoadFactor = aJson.value("load_factor", mLoadFactor);
    mLoadLagMs = aJson.value("load_lag_ms", mLoadLagMs);
    mHealth = aJson.value("health", mHealth);
    mIsLeaving = aJson.value("leaving", mIsLeaving);
    mHasChanged = true;
  }
  mGate.SetSlots(mSlots);
  mWake.notify_all();
}

void
UpstreamStandin::ServeControl()
{
  using httplib::Request;
  using httplib::Response;
  mControl.Post("/set", [this](const Request& aRequest, Response& aResponse) {
    const auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
    aResponse.status = json.is_object() ? 200 : 400;
    if (json.is_object()) {
      Change(json);
    }
  });
  mControl.Get("/counts", [this](const Request&, Response& aResponse) {
    Answer(aResponse, 200, mLog.Totals());
  });
  mControl.Get("/work", [this](const Request&, Response& aResponse) {
    Answer(aResponse, 200, mLog.ByRequest());
  });
  mControl.Post("/reset", [this](const Request&, Response& aResponse) {
    mLog.Reset();
    aResponse.status = 200;
  });
}

// -- Announcements ----------------------------------------------------------

std::string
UpstreamStandin::AnnouncementBody()
{
  const nlohmann::json body = {
    { "service", mOptions.mService },
    { "address", mOptions.mListen },
    { "slots", mAnnouncedSlots > 0 ? mAnnouncedSlots : mSlots },
    { "warm_up_ms", mOptions.mWarmUpMs },
    { "run", mRun },
    { "leaving", mIsLeaving },
  };
  return body.dump();
}

void
UpstreamStandin::SampleLoad(TimePoint aNow)
{
  mSamples.push_back({ aNow, mGate.Busy(), mGate.Waiting() });
  if (mSamples.size() > kMostSamples) {
    mSamples.pop_front();
  }
}

void
UpstreamStandin::Announce()
{
  TimePoint next = Now();
  std::unique_lock lock(mMutex);
  while (!mIsStopped) {
    const TimePoint now = Now();
    if (mLoadLagMs > 0) {
      SampleLoad(now);
    }
    const bool isDue = now >= next || mHasChanged;
    if (isDue) {
      mHasChanged = false;
      next = now + kAnnounceInterval;
    }
    if (isDue && !mOptions.mNode.empty()) {
      const std::string body = AnnouncementBody();
      lock.unlock();
      const size_t colon = mOptions.mNode.rfind(':');
      httplib::Client client(mOptions.mNode.substr(0, colon),
                             std::atoi(mOptions.mNode.c_str() + colon + 1));
      client.set_tcp_nodelay(true);
      client.set_connection_timeout(kAnnounceInterval);
      client.set_read_timeout(kAnnounceInterval);
      (void)client.Put("/v1/announce", body, kJson);
      lock.lock();
    }
    const auto wait = mLoadLagMs > 0 ? kSampleInterval : kAnnounceInterval;
    mWake.wait_until(lock, std::min(next, Now() + wait), [this] {
      return mIsStopped || mHasChanged;
    });
  }
}

} // namespace amaranthgap
