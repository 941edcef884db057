#include "server/HttpListener.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "AnswerStream.h"

namespace amaranthgap {

namespace {

// Holds the clients of a burst of connections; the library's own value is 5.
constexpr int kBacklog = 1024;
constexpr uint32_t kMinWorkers = 2;
// A worker without work for this long ends when others remain.
constexpr int kWorkerIdleMs = 10'000;
// Time for a client to read a refusal before its connection is closed.
constexpr Duration kLingerTime = seconds(2);
constexpr uint64_t kStopEvent = 0;

thread_local HttpResponse* tAnswer = nullptr;

/** Runs accepted sockets on the accept thread: they only enter the epoll set.
 */
class InlineQueue : public httplib::TaskQueue
{
public:
  void enqueue(std::function<void()> aTask) override // NOLINT: library name
  {
    aTask();
  }
  void shutdown() override {} // NOLINT: library name
};

} // namespace

HttpListener::HttpListener(Options aOptions, Handler aHandler, Refusal aRefusal)
  : mOptions(std::move(aOptions))
  , mHandler(std::move(aHandler))
  , mRefusal(std::move(aRefusal))
{
  new_task_queue = [] { return new InlineQueue; };
  set_keep_alive_max_count(1'000'000);
  set_keep_alive_timeout(ToMillis(mOptions.mIdleTimeout) / 1000);
  set_pre_routing_handler([](const httplib::Request&, httplib::Response& aOut) {
    HttpResponse& answer = *tAnswer;
    aOut.status = answer.mStatus;
    for (auto& [name, value] : answer.mHeaders) {
      aOut.headers.emplace(std::move(name), std::move(value));
    }
    aOut.body = std::move(answer.mBody);
    return HandlerResponse::Handled;
  });
}

HttpListener::~HttpListener()
{
  Stop(Duration::zero());
}

Status
HttpListener::Start()
{
  const auto colon = mOptions.mAddress.rfind(':');
  const std::string host = mOptions.mAddress.substr(0, colon);
  int port = -1;
  if (colon != std::string::npos) {
    const char* first = mOptions.mAddress.data() + colon + 1;
    std::from_chars(
      first, mOptions.mAddress.data() + mOptions.mAddress.size(), port);
  }
  if (port < 0) {
    return Error{ Step::Listen, mOptions.mAddress, "not an ip:port" };
  }
  // No SO_REUSEPORT, which the library sets by default: a second process on
  // the port would take a part of the connections unnoticed.
  set_socket_options([](socket_t aSocket) {
    const int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
  const bool bound = port == 0 ? (mPort = bind_to_any_port(host)) > 0
                               : bind_to_port(host, mPort = port);
  if (!bound || ::listen(svr_sock_, kBacklog) != 0) {
    return Error{ Step::Listen, mOptions.mAddress, "cannot bind the port" };
  }
  mEpoll = epoll_create1(EPOLL_CLOEXEC);
  mAccepting = true;
  mAcceptThread = std::thread([this] { listen_after_bind(); });
  for (uint32_t n = 0; n < kMinWorkers; ++n) {
    StartWorker();
  }
  // Stopping a server whose loop has not begun has no effect.
  while (!is_running()) {
    std::this_thread::yield();
  }
  return boost::outcome_v2::success();
}

void
HttpListener::StopAccepting()
{
  if (mAccepting.exchange(false)) {
    stop();
    mAcceptThread.join();
  }
}

size_t
HttpListener::Stop(Duration aGrace)
{
  StopAccepting();
  TimePoint now = std::chrono::steady_clock::now();
  const TimePoint deadline = now + aGrace;
  while ((mServing > 0 || HasClosing(now)) && now < deadline) {
    std::this_thread::sleep_for(milliseconds(5));
    now = std::chrono::steady_clock::now();
  }
  const size_t cut = mServing;
  std::vector<ConnectionPtr> open;
  {
    const std::scoped_lock lock(mMutex);
    for (const auto& [id, connection] : mConnections) {
      open.push_back(connection);
    }
  }
  for (const auto& connection : open) {
    connection->MarkGone();
    ::shutdown(connection->mSocket, SHUT_RDWR);
  }
  if (mEpoll < 0) {
    return cut;
  }
  // A level-triggered event that nobody takes wakes all workers.
  mStopping = true;
  int wake[2] = { -1, -1 };
  if (pipe(wake) == 0) {
    epoll_event event{ .events = EPOLLIN, .data = { .u64 = kStopEvent } };
    epoll_ctl(mEpoll, EPOLL_CTL_ADD, wake[0], &event);
    close(wake[1]);
  }
  std::unique_lock lock(mMutex);
  mWorkerEnded.wait(lock, [this] { return mWorkers == 0; });
  mConnections.clear();
  close(wake[0]);
  close(mEpoll.exchange(-1));
  return cut;
}

void
HttpListener::Sweep(TimePoint aNow)
{
  const std::scoped_lock lock(mMutex);
  for (const auto& [id, connection] : mConnections) {
    if (connection->mDeadline.load() >= aNow) {
      continue;
    }
    const std::scoped_lock inner(connection->mMutex);
    if (connection->mState != HttpConnection::State::Serving &&
        !connection->mTimedOut && connection->mDeadline.load() < aNow) {
      // The worker that is woken by this answers and closes.
      connection->mTimedOut = true;
      ::shutdown(connection->mSocket,
                 connection->mState == HttpConnection::State::Writing
                   ? SHUT_RDWR
                   : SHUT_RD);
    }
  }
}

bool
HttpListener::HasClosing(TimePoint aNow)
{
  const std::scoped_lock lock(mMutex);
  return std::ranges::any_of(mConnections, [aNow](const auto& aEntry) {
    HttpConnection& connection = *aEntry.second;
    const std::scoped_lock inner(connection.mMutex);
    return connection.mState == HttpConnection::State::Closing &&
           connection.mDeadline.load() >= aNow;
  });
}

size_t
HttpListener::GetConnectionCount()
{
  const std::scoped_lock lock(mMutex);
  return mConnections.size();
}

// -- Connections ------------------------------------------------------------

bool
HttpListener::process_and_close_socket(socket_t aSocket)
{
  const int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  ConnectionPtr connection;
  {
    const std::scoped_lock lock(mMutex);
    if (mConnections.size() < mOptions.mMaxConnections) {
      connection =
        std::make_shared<HttpConnection>(aSocket, mNextId++, mOptions.mLimits);
      connection->mDeadline =
        std::chrono::steady_clock::now() + mOptions.mIdleTimeout;
      mConnections.emplace(connection->mId, connection);
    }
  }
  if (!connection) {
    ++mCounters.mRefusedConnections;
    HttpConnection refused(aSocket, 0, mOptions.mLimits);
    refused.mOutput = RenderBytes(*this, mRefusal(503), false, true);
    refused.WriteAvailable();
    return false;
  }
  ++mCounters.mAccepted;
  epoll_event event{ .events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT,
                     .data = { .u64 = connection->mId } };
  if (epoll_ctl(mEpoll, EPOLL_CTL_ADD, aSocket, &event) != 0) {
    Remove(connection);
  }
  return true;
}

HttpListener::ConnectionPtr
HttpListener::Find(uint64_t aId)
{
  const std::scoped_lock lock(mMutex);
  const auto it = mConnections.find(aId);
  return it == mConnections.end() ? nullptr : it->second;
}

void
HttpListener::Uncount(HttpConnection& aConnection)
{
  if (std::exchange(aConnection.mCounted, false)) {
    --mServing;
  }
}

void
HttpListener::Charge(HttpConnection& aConnection)
{
  const size_t n = aConnection.mBuffer.size();
  mBuffered += n;
  mBuffered -= std::exchange(aConnection.mCharged, n);
}

HttpListener::Next
HttpListener::Remove(const ConnectionPtr& aConnection)
{
  mBuffered -= std::exchange(aConnection->mCharged, 0);
  Uncount(*aConnection);
  // The socket is closed when the last reference goes, which also takes it out
  // of the epoll set.
  const std::scoped_lock lock(mMutex);
  mConnections.erase(aConnection->mId);
  return Next::Removed;
}

void
HttpListener::Arm(HttpConnection& aConnection, uint32_t aEvents)
{
  epoll_event event{ .events = aEvents | EPOLLONESHOT,
                     .data = { .u64 = aConnection.mId } };
  epoll_ctl(mEpoll, EPOLL_CTL_MOD, aConnection.mSocket, &event);
}

void
HttpListener::SetState(HttpConnection& aConnection,
                       HttpConnection::State aState,
                       Duration aLimit)
{
  const std::scoped_lock lock(aConnection.mMutex);
  aConnection.mState = aState;
  aConnection.mTimedOut = false;
  aConnection.mDeadline = std::chrono::steady_clock::now() + aLimit;
}

// -- Workers ----------------------------------------------------------------

void
HttpListener::StartWorker()
{
  uint32_t n = mWorkers;
  do {
    if (n >= mOptions.mMaxWorkers || mStopping) {
      return;
    }
  } while (!mWorkers.compare_exchange_weak(n, n + 1));
  ++mIdleWorkers;
  std::thread([this] { Work(); }).detach();
}

void
HttpListener::Work()
{
  while (!mStopping) {
    epoll_event event{};
    const int n = epoll_wait(mEpoll, &event, 1, kWorkerIdleMs);
    if (n == 0 && mIdleWorkers > kMinWorkers) {
      break;
    }
    if (n <= 0 || event.data.u64 == kStopEvent) {
      continue;
    }
    if (mIdleWorkers.fetch_sub(1) == 1) {
      StartWorker();
    }
    TakeEvent(event.data.u64, event.events);
    ++mIdleWorkers;
  }
  --mIdleWorkers;
  const std::scoped_lock lock(mMutex);
  --mWorkers;
  mWorkerEnded.notify_all();
}

void
HttpListener::TakeEvent(uint64_t aId, uint32_t aEvents)
{
  const ConnectionPtr connection = Find(aId);
  if (!connection) {
    return;
  }
  bool held = false;
  {
    const std::scoped_lock lock(connection->mMutex);
    held = std::exchange(connection->mHeld, true);
    connection->mAgain = connection->mAgain || held;
  }
  if (!held) {
    Hold(connection);
  } else if ((aEvents & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    // Armed for a client that disconnects while its request is served.
    ++mCounters.mGoneWhileServed;
    connection->MarkGone();
  }
}

// Works on a connection until it must wait or is handed on.
void
HttpListener::Hold(const ConnectionPtr& aConnection)
{
  Next next = Step(aConnection);
  while (next == Next::Read || (next == Next::Wait && !Release(*aConnection))) {
    next = Step(aConnection);
  }
}

// Returns false when an event has come in the meantime.
bool
HttpListener::Release(HttpConnection& aConnection)
{
  // Armed under the lock, so that the next worker finds the connection free.
  const std::scoped_lock lock(aConnection.mMutex);
  if (std::exchange(aConnection.mAgain, false)) {
    return false;
  }
  aConnection.mHeld = false;
  Arm(aConnection,
      aConnection.mState == HttpConnection::State::Writing
        ? EPOLLOUT
        : EPOLLIN | EPOLLRDHUP);
  return true;
}

HttpListener::Next
HttpListener::Step(const ConnectionPtr& aConnection)
{
  switch (aConnection->mState) {
    case HttpConnection::State::Writing:
      return ContinueWriting(aConnection);
    case HttpConnection::State::Closing:
      return Discard(aConnection);
    default:
      return Read(aConnection);
  }
}

// -- Requests ---------------------------------------------------------------

HttpListener::Next
HttpListener::Read(const ConnectionPtr& aConnection)
{
  // Chunk lines take room beside the content.
  const size_t maxBuffer =
    mOptions.mLimits.mMaxHeaderBytes + 2 * mOptions.mLimits.mMaxBodyBytes;
  const auto result = aConnection->ReadAvailable(maxBuffer);
  Charge(*aConnection);
  return ServeBuffered(aConnection,
                       result == HttpConnection::ReadResult::Ended);
}

HttpListener::Next
HttpListener::ServeBuffered(const ConnectionPtr& aConnection, bool aEnded)
{
  HttpConnection& connection = *aConnection;
  switch (connection.mFramer.Advance(connection.mBuffer)) {
    case RequestFramer::Verdict::Bad:
      ++mCounters.mBadRequests;
      return Refuse(aConnection, connection.mFramer.BadStatus());
    case RequestFramer::Verdict::NeedMore:
      return WaitForMore(aConnection, aEnded);
    case RequestFramer::Verdict::Complete:
      break;
  }
  // A client that has closed its side does not wait for an answer.
  return aEnded ? Remove(aConnection) : ServeRequest(aConnection);
}

HttpListener::Next
HttpListener::WaitForMore(const ConnectionPtr& aConnection, bool aEnded)
{
  HttpConnection& connection = *aConnection;
  bool timedOut = false;
  {
    const std::scoped_lock lock(connection.mMutex);
    timedOut = connection.mTimedOut;
    if (connection.mState == HttpConnection::State::Idle &&
        !connection.mBuffer.empty()) {
      connection.mState = HttpConnection::State::Reading;
      connection.mDeadline =
        std::chrono::steady_clock::now() + mOptions.mRequestTimeout;
    }
  }
  if (timedOut && !connection.mBuffer.empty()) {
    ++mCounters.mSlowRequests;
    return Refuse(aConnection, 408);
  }
  if (aEnded || timedOut) {
    return Remove(aConnection);
  }
  if (connection.mBuffer.size() >=
      mOptions.mLimits.mMaxHeaderBytes + 2 * mOptions.mLimits.mMaxBodyBytes) {
    return Refuse(aConnection, 413);
  }
  if (mBuffered > mOptions.mMaxBufferedBytes &&
      connection.mBuffer.size() > mOptions.mLimits.mMaxHeaderBytes) {
    return Refuse(aConnection, 503);
  }
  if (connection.mFramer.TakeExpectation()) {
    connection.mOutput = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!connection.WriteAvailable() || !connection.mOutput.empty()) {
      return Remove(aConnection);
    }
  }
  return Next::Wait;
}

HttpListener::Next
HttpListener::ServeRequest(const ConnectionPtr& aConnection)
{
  HttpConnection& connection = *aConnection;
  ++mServing;
  connection.mCounted = true;
  connection.mKeepAfter = connection.mFramer.KeepsAlive();
  HttpRequest request = connection.mFramer.TakeRequest();
  connection.mIsHead = request.mMethod == "HEAD";
  {
    const std::scoped_lock lock(connection.mMutex);
    connection.mState = HttpConnection::State::Serving;
    connection.mInHandler = true;
    Arm(connection, EPOLLRDHUP);
  }
  mHandler(std::move(request), aConnection);
  std::optional<HttpResponse> response;
  {
    const std::scoped_lock lock(connection.mMutex);
    connection.mInHandler = false;
    std::swap(response, connection.mResponse);
  }
  return response ? FinishRequest(aConnection, std::move(*response))
                  : Next::Handed;
}

void
HttpListener::Respond(const ConnectionPtr& aConnection, HttpResponse aResponse)
{
  {
    const std::scoped_lock lock(aConnection->mMutex);
    if (aConnection->mInHandler) {
      aConnection->mResponse = std::move(aResponse);
      return;
    }
  }
  const Next next = FinishRequest(aConnection, std::move(aResponse));
  if (next == Next::Removed) {
    return;
  }
  // The next request, if there is one, is left to a worker.
  const std::scoped_lock lock(aConnection->mMutex);
  aConnection->mHeld = false;
  const bool waits = aConnection->mBuffer.empty() && !aConnection->mAgain &&
                     aConnection->mState != HttpConnection::State::Writing;
  aConnection->mAgain = false;
  Arm(*aConnection, waits ? EPOLLIN | EPOLLRDHUP : EPOLLOUT);
}

HttpListener::Next
HttpListener::FinishRequest(const ConnectionPtr& aConnection,
                            HttpResponse aResponse)
{
  HttpConnection& connection = *aConnection;
  connection.SetOnGone({});
  connection.mBuffer.erase(0, connection.mFramer.Length());
  connection.mFramer.Reset();
  Charge(connection);
  connection.mCloseAfter = !connection.mKeepAfter || !mAccepting;
  bool open = !connection.IsGone();
  if (open) {
    connection.mOutput = RenderBytes(
      *this, std::move(aResponse), connection.mIsHead, connection.mCloseAfter);
    open = connection.WriteAvailable();
  }
  if (!open) {
    return Remove(aConnection);
  }
  if (!connection.mOutput.empty()) {
    SetState(
      connection, HttpConnection::State::Writing, mOptions.mWriteTimeout);
    return Next::Wait;
  }
  return ContinueWriting(aConnection);
}

HttpListener::Next
HttpListener::ContinueWriting(const ConnectionPtr& aConnection)
{
  HttpConnection& connection = *aConnection;
  if (!connection.WriteAvailable()) {
    return Remove(aConnection);
  }
  if (!connection.mOutput.empty()) {
    // A client that does not read is shut down by Sweep, so that writing fails.
    return Next::Wait;
  }
  Uncount(connection);
  if (!connection.mCloseAfter) {
    SetState(connection, HttpConnection::State::Idle, mOptions.mIdleTimeout);
    return Next::Read;
  }
  // Closing with unread input would reset the connection, and the client might
  // lose the answer.
  ::shutdown(connection.mSocket, SHUT_WR);
  SetState(connection, HttpConnection::State::Closing, kLingerTime);
  return Next::Wait;
}

HttpListener::Next
HttpListener::Discard(const ConnectionPtr& aConnection)
{
  aConnection->mBuffer.clear();
  Charge(*aConnection);
  return aConnection->ReadAvailable(mOptions.mLimits.mMaxBodyBytes) ==
             HttpConnection::ReadResult::Ended
           ? Remove(aConnection)
           : Next::Wait;
}

HttpListener::Next
HttpListener::Refuse(const ConnectionPtr& aConnection, int aStatus)
{
  HttpConnection& connection = *aConnection;
  connection.mCloseAfter = true;
  connection.mOutput = RenderBytes(*this, mRefusal(aStatus), false, true);
  SetState(connection, HttpConnection::State::Writing, mOptions.mWriteTimeout);
  return ContinueWriting(aConnection);
}

std::string
HttpListener::RenderBytes(HttpListener& aServer,
                          HttpResponse aResponse,
                          bool aHead,
                          bool aClose)
{
  AnswerStream stream(aHead ? "HEAD / HTTP/1.1\r\n\r\n"
                            : "GET / HTTP/1.1\r\n\r\n");
  bool closed = false;
  tAnswer = &aResponse;
  aServer.process_request(stream, aClose, closed, nullptr);
  tAnswer = nullptr;
  return std::move(stream.mWritten);
}

} // namespace amaranthgap
