#include "server/UpstreamClient.h"

#include <charconv>

#include "UpstreamConnection.h"

namespace amaranthgap {

namespace {

bool
SplitAddress(const std::string& aAddress, std::string& aHost, int& aPort)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aHost = aAddress.substr(0, colon);
  const char* end = aAddress.data() + aAddress.size();
  return std::from_chars(aAddress.data() + colon + 1, end, aPort).ptr == end;
}

} // namespace

UpstreamClient::UpstreamClient(Options aOptions, Hook aHook)
  : mOptions(aOptions)
  , mHook(std::move(aHook))
  , mPool(aOptions.mMaxCalls)
{
}

UpstreamClient::~UpstreamClient()
{
  Stop();
}

void
UpstreamClient::Start(StartUpstream aCall)
{
  auto state = std::make_shared<Call>();
  mCalls.insert({ aCall.mExecution.mValue, state });
  const auto now = std::chrono::steady_clock::now();
  mPool.Submit(
    [this, call = std::move(aCall), state, now] { Run(call, state, now); });
}

void
UpstreamClient::Cancel(ExecutionId aExecution)
{
  CallPtr state;
  if (decltype(mCalls)::const_accessor found;
      mCalls.find(found, aExecution.mValue)) {
    state = found->second;
  }
  if (!state) {
    return;
  }
  const std::scoped_lock lock(state->mMutex);
  state->mCancelled = true;
  if (state->mConnection) {
    state->mConnection->Abort();
  }
}

size_t
UpstreamClient::Stop()
{
  if (mStopping.exchange(true)) {
    return 0;
  }
  std::vector<uint64_t> open;
  for (const auto& [id, state] : mCalls) {
    open.push_back(id);
  }
  for (const uint64_t id : open) {
    Cancel(ExecutionId{ id });
  }
  mPool.Stop();
  return open.size();
}

void
UpstreamClient::Run(const StartUpstream& aCall,
                    const CallPtr& aState,
                    TimePoint aStart)
{
  Outcome outcome = Exchange(aCall, aState, aStart);
  mCalls.erase(aCall.mExecution.mValue);
  mHook(aCall.mExecution,
        std::move(outcome),
        std::chrono::steady_clock::now() - aStart);
}

UpstreamClient::Outcome
UpstreamClient::Exchange(const StartUpstream& aCall,
                         const CallPtr& aState,
                         TimePoint aStart)
{
  const TimePoint deadline = aStart + aCall.mTimeout;
  ConnectionPtr connection = TakeIdle(aCall.mAddress);
  if (!connection) {
    std::string host;
    int port = 0;
    if (!SplitAddress(aCall.mAddress, host, port)) {
      return UpstreamFailure::NotConnected;
    }
    connection = std::make_shared<UpstreamConnection>(host, port);
    if (!connection->Connect(
          std::min(deadline, aStart + mOptions.mConnectTimeout))) {
      return UpstreamFailure::NotConnected;
    }
  }
  {
    const std::scoped_lock lock(aState->mMutex);
    if (aState->mCancelled) {
      PutIdle(aCall.mAddress, std::move(connection));
      return UpstreamFailure::NotConnected;
    }
    aState->mConnection = connection;
  }
  const auto left = deadline - std::chrono::steady_clock::now();
  if (left <= Duration::zero()) {
    return UpstreamFailure::NotConnected;
  }
  HttpRequest request = aCall.mHttp;
  request.mHeaders.emplace_back("Amaranthgap-Context", aCall.mContext);
  request.mHeaders.emplace_back("X-Request-Id", aCall.mRequest.mValue);
  request.mHeaders.emplace_back("Amaranthgap-Timeout-Ms",
                                std::to_string(ToMillis(left)));
  request.mHeaders.emplace_back("Host", aCall.mAddress);
  Outcome outcome =
    connection->Exchange(request, deadline, mOptions.mMaxAnswerBytes);
  {
    const std::scoped_lock lock(aState->mMutex);
    aState->mConnection = nullptr;
    if (aState->mCancelled) {
      return outcome;
    }
  }
  if (connection->IsReusable()) {
    PutIdle(aCall.mAddress, std::move(connection));
  }
  return outcome;
}

UpstreamClient::ConnectionPtr
UpstreamClient::TakeIdle(const std::string& aAddress)
{
  const auto now = std::chrono::steady_clock::now();
  while (true) {
    ConnectionPtr connection;
    {
      const std::scoped_lock lock(mMutex);
      auto& idle = mIdle[aAddress];
      if (idle.empty()) {
        return nullptr;
      }
      connection = std::move(idle.back());
      idle.pop_back();
    }
    if (now - connection->mIdleSince < mOptions.mMaxIdle &&
        connection->IsFresh()) {
      return connection;
    }
  }
}

void
UpstreamClient::PutIdle(const std::string& aAddress, ConnectionPtr aConnection)
{
  aConnection->mIdleSince = std::chrono::steady_clock::now();
  const std::scoped_lock lock(mMutex);
  mIdle[aAddress].push_back(std::move(aConnection));
}

void
UpstreamClient::Tick(TimePoint aNow)
{
  std::vector<ConnectionPtr> closing;
  const std::scoped_lock lock(mMutex);
  for (auto it = mIdle.begin(); it != mIdle.end();) {
    auto& idle = it->second;
    const auto keep =
      std::find_if(idle.begin(), idle.end(), [&](const auto& aConnection) {
        return aNow - aConnection->mIdleSince < mOptions.mMaxIdle;
      });
    closing.insert(closing.end(), idle.begin(), keep);
    idle.erase(idle.begin(), keep);
    it = idle.empty() ? mIdle.erase(it) : std::next(it);
  }
}

} // namespace amaranthgap
