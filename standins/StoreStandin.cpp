#include "StoreStandin.h"

#include <charconv>

#include "platform/Base64.h"

namespace amaranthgap {

namespace {

constexpr const char* kJson = "application/json";
constexpr const char* kKeyPath = R"(/v1/kv/([A-Za-z0-9._/-]{1,256}))";
constexpr size_t kLargestValue = size_t(1) << 20;
// A store that hangs holds a request for longer than any client waits.
constexpr Duration kHang = seconds(60);
constexpr uint64_t kLongestWatchMs = 60'000;

uint64_t
Param(const httplib::Request& aRequest, const char* aName)
{
  const std::string text = aRequest.get_param_value(aName);
  uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

nlohmann::json
ToJson(const StoredValue& aValue)
{
  return { { "revision", aValue.mRevision },
           { "value", EncodeBase64(aValue.mValue) } };
}

void
Answer(httplib::Response& aResponse, int aStatus, const nlohmann::json& aBody)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), kJson);
}

void
Refuse(httplib::Response& aResponse, int aStatus, const char* aReason)
{
  Answer(aResponse, aStatus, { { "applied", false }, { "reason", aReason } });
}

} // namespace

StoreStandin::StoreStandin(Options aOptions)
  : mOptions(std::move(aOptions))
  , mServer(std::make_unique<BlockingServer>())
  , mControl(std::make_unique<BlockingServer>())
{
}

bool
StoreStandin::Start()
{
  ServeData(*mServer);
  ServeControl();
  return mServer->Start(mOptions.mListen) &&
         (mOptions.mControl.empty() || mControl->Start(mOptions.mControl));
}

void
StoreStandin::Stop()
{
  mControl->Stop();
  mData.WakeWatches();
  const std::scoped_lock lock(mServerMutex);
  if (mServer) {
    mServer->Stop();
  }
}

bool
StoreStandin::TakeRate()
{
  const int64_t second =
    std::chrono::floor<seconds>(std::chrono::steady_clock::now())
      .time_since_epoch()
      .count();
  if (second != mRateSecond) {
    mRateSecond = second;
    mRateCalls = 0;
  }
  return ++mRateCalls <= mOptions.mMaxCallsPerSecond;
}

bool
StoreStandin::Admit(const char* aKind, httplib::Response& aResponse)
{
  Faults faults;
  bool isWithinRate = false;
  {
    const std::scoped_lock lock(mMutex);
    faults = mFaults;
    isWithinRate = TakeRate();
    ++mCounts[aKind];
    if (!isWithinRate) {
      ++mCounts["refused"];
    }
  }
  if (faults.mDown == "drop") {
    BlockingServer::AbortConnection();
    return false;
  }
  if (faults.mDown == "hang") {
    WaitForClose(BlockingServer::CurrentSocket(), kHang);
    BlockingServer::AbortConnection();
    return false;
  }
  if (!isWithinRate) {
    Refuse(aResponse, 429, "call rate");
    return false;
  }
  const auto delay = milliseconds(mOptions.mLatencyMs + faults.mSlowMs);
  if (delay > Duration::zero()) {
    std::this_thread::sleep_for(delay);
  }
  return true;
}

void
StoreStandin::AnswerSwap(const StoreData::SwapResult& aResult,
                         httplib::Response& aResponse)
{
  {
    const std::scoped_lock lock(mMutex);
    if (!aResult.mDone) {
      ++mCounts["conflict"];
    }
    if (mFaults.mLoseAnswers > 0) {
      --mFaults.mLoseAnswers;
      ++mCounts["answers-lost"];
      BlockingServer::AbortConnection();
      return;
    }
  }
  Answer(aResponse, aResult.mDone ? 200 : 409, ToJson(aResult.mCurrent));
}

void
StoreStandin::Put(const httplib::Request& aRequest,
                  httplib::Response& aResponse)
{
  const auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
  const auto text =
    json.is_object() ? json.value("value", nlohmann::json()) : nlohmann::json();
  const auto value =
    text.is_string() ? DecodeBase64(text.get<std::string>()) : std::nullopt;
  if (!value) {
    return Refuse(aResponse, 400, "no value in base64");
  }
  if (value->size() > kLargestValue) {
    return Refuse(aResponse, 413, "value larger than 1 MB");
  }
  AnswerSwap(mData.Swap(aRequest.matches[1],
                        *value,
                        Param(aRequest, "revision"),
                        Param(aRequest, "lease")),
             aResponse);
}

void
StoreStandin::Watch(const httplib::Request& aRequest,
                    httplib::Response& aResponse)
{
  const uint64_t seen = Param(aRequest, "revision");
  const auto wait =
    milliseconds(std::min(Param(aRequest, "wait_ms"), kLongestWatchMs));
  const StoredValue current = mData.Watch(aRequest.matches[1], seen, wait);
  {
    const std::scoped_lock lock(mMutex);
    if (mFaults.mBreakWatches || mFaults.mDown != "off") {
      BlockingServer::AbortConnection();
      return;
    }
  }
  if (current.mRevision == seen) {
    aResponse.status = 304;
    return;
  }
  Answer(aResponse, current.mRevision == 0 ? 404 : 200, ToJson(current));
}

void
StoreStandin::ServeData(httplib::Server& aServer)
{
  using httplib::Request;
  using httplib::Response;
  aServer.Get(kKeyPath, [this](const Request& aRequest, Response& aResponse) {
    if (Admit("read", aResponse)) {
      const auto stored = mData.Read(aRequest.matches[1]);
      Answer(aResponse, stored.mRevision == 0 ? 404 : 200, ToJson(stored));
    }
  });
  aServer.Put(kKeyPath, [this](const Request& aRequest, Response& aResponse) {
    if (Admit("write", aResponse)) {
      Put(aRequest, aResponse);
    }
  });
  aServer.Delete(kKeyPath,
                 [this](const Request& aRequest, Response& aResponse) {
                   if (Admit("delete", aResponse)) {
                     AnswerSwap(mData.Delete(aRequest.matches[1],
                                             Param(aRequest, "revision")),
                                aResponse);
                   }
                 });
  aServer.Get("/v1/watch/([A-Za-z0-9._/-]{1,256})",
              [this](const Request& aRequest, Response& aResponse) {
                if (Admit("watch", aResponse)) {
                  Watch(aRequest, aResponse);
                }
              });
  aServer.Post(
    "/v1/lease", [this](const Request& aRequest, Response& aResponse) {
      if (Admit("lease", aResponse)) {
        const auto id = mData.Grant(milliseconds(Param(aRequest, "ttl_ms")));
        Answer(aResponse, 200, { { "lease", id } });
      }
    });
  aServer.Post(
    "/v1/lease/renew", [this](const Request& aRequest, Response& aResponse) {
      if (Admit("lease", aResponse)) {
        const bool isHeld = mData.Renew(Param(aRequest, "lease"));
        Answer(aResponse, isHeld ? 200 : 404, { { "held", isHeld } });
      }
    });
}

bool
StoreStandin::SetFaults(const nlohmann::json& aJson)
{
  if (!aJson.is_object()) {
    return false;
  }
  std::string down;
  {
    const std::scoped_lock lock(mMutex);
    mFaults.mDown = aJson.value("down", mFaults.mDown);
    mFaults.mSlowMs = aJson.value("slow_ms", mFaults.mSlowMs);
    mFaults.mLoseAnswers = aJson.value("lose_answers", mFaults.mLoseAnswers);
    mFaults.mBreakWatches = aJson.value("break_watches", mFaults.mBreakWatches);
    down = mFaults.mDown;
  }
  if (down != "off" || aJson.value("break_watches", false)) {
    mData.WakeWatches();
  }
  const std::scoped_lock lock(mServerMutex);
  if (down == "refuse") {
    mServer.reset();
  } else if (!mServer) {
    mServer = std::make_unique<BlockingServer>();
    ServeData(*mServer);
    return mServer->Start(mOptions.mListen);
  }
  return true;
}

void
StoreStandin::ServeControl()
{
  using httplib::Request;
  using httplib::Response;
  mControl->Post(
    "/faults", [this](const Request& aRequest, Response& aResponse) {
      const auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
      aResponse.status = SetFaults(json) ? 200 : 400;
    });
  mControl->Post("/snapshot", [this](const Request&, Response& aResponse) {
    mData.Snapshot();
    aResponse.status = 200;
  });
  mControl->Post("/restore", [this](const Request&, Response& aResponse) {
    aResponse.status = mData.Restore() ? 200 : 409;
  });
  mControl->Get("/counts", [this](const Request&, Response& aResponse) {
    const std::scoped_lock lock(mMutex);
    Answer(aResponse, 200, mCounts);
  });
}

} // namespace amaranthgap
