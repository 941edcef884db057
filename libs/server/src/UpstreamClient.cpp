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
  // Written on this thread, so that the upstream does not wait for a worker to
  // wake up. Connecting would block.
  if (auto connection = TakeIdle(aCall.mAddress)) {
    Send(aCall, *state, std::move(connection), now + aCall.mTimeout);
  }
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

UpstreamClient::ConnectionPtr
UpstreamClient::Connect(const std::string& aAddress, TimePoint aDeadline)
{
  std::string host;
  int port = 0;
  if (!SplitAddress(aAddress, host, port)) {
    return nullptr;
  }
  auto connection = std::make_shared<UpstreamConnection>(host, port);
  return connection->Connect(aDeadline) ? connection : nullptr;
}

// Returns whether the request was begun; it is not after a cancellation or the
// deadline.
bool
UpstreamClient::Send(const StartUpstream& aCall,
                     Call& aState,
                     ConnectionPtr aConnection,
                     TimePoint aDeadline)
{
  const auto left = aDeadline - std::chrono::steady_clock::now();
  const std::scoped_lock lock(aState.mMutex);
  if (aState.mCancelled || left <= Duration::zero()) {
    PutIdle(aCall.mAddress, std::move(aConnection));
    return false;
  }
  HttpRequest request = aCall.mHttp;
  request.mHeaders.emplace_back("Amaranthgap-Context", aCall.mContext);
  request.mHeaders.emplace_back("X-Request-Id", aCall.mRequest.mValue);
  request.mHeaders.emplace_back("Amaranthgap-Timeout-Ms",
                                std::to_string(ToMillis(left)));
  request.mHeaders.emplace_back("Host", aCall.mAddress);
  aConnection->Send(request, aDeadline);
  aState.mConnection = std::move(aConnection);
  return true;
}

UpstreamClient::Outcome
UpstreamClient::Exchange(const StartUpstream& aCall,
                         const CallPtr& aState,
                         TimePoint aStart)
{
  ConnectionPtr connection;
  {
    const std::scoped_lock lock(aState->mMutex);
    connection = aState->mConnection;
  }
  if (!connection) {
    const TimePoint deadline = aStart + aCall.mTimeout;
    connection = Connect(aCall.mAddress,
                         std::min(deadline, aStart + mOptions.mConnectTimeout));
    if (!connection || !Send(aCall, *aState, connection, deadline)) {
      return UpstreamFailure::NotConnected;
    }
  }
  Outcome outcome = connection->Receive(mOptions.mMaxAnswerBytes);
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
