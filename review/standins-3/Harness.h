#pragma once

// Parts of the cases in review/11 and up: a store, upstreams and clients on
// loopback addresses, and the proxies as processes of their own.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

struct CouldNotRun : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

inline void
Sleep(int aMillis)
{
  std::this_thread::sleep_for(milliseconds(aMillis));
}

inline int64_t
WallMillis()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/** Lines of record.txt, with the milliseconds since the start. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mOut(aPath)
  {
  }

  void Line(const std::string& aText)
  {
    const std::scoped_lock lock(mMutex);
    const auto ms =
      std::chrono::duration_cast<milliseconds>(Clock::now() - mStart).count();
    mOut << ms << " ms  " << aText << '\n' << std::flush;
  }

private:
  std::mutex mMutex;
  Clock::time_point mStart = Clock::now();
  std::ofstream mOut;
};

// -- Sockets ----------------------------------------------------------------

inline sockaddr_in
AddressOf(const std::string& aHost, int aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(uint16_t(aPort));
  if (inet_pton(AF_INET, aHost.c_str(), &out.sin_addr) != 1 ||
      (ntohl(out.sin_addr.s_addr) >> 24) != 127) {
    throw CouldNotRun("not a loopback address: " + aHost);
  }
  return out;
}

inline int
Listen(const std::string& aHost, int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in at = AddressOf(aHost, aPort);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    throw CouldNotRun("cannot listen on " + aHost);
  }
  return fd;
}

/** Blocking connection with a buffer of what was read and not used. */
class Socket
{
public:
  Socket() = default;
  explicit Socket(int aFd)
    : mFd(aFd)
  {
  }
  ~Socket() { Close(); }
  Socket(Socket&& aOther) noexcept
    : mFd(std::exchange(aOther.mFd, -1))
    , mBuffer(std::move(aOther.mBuffer))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    Close();
    mFd = std::exchange(aOther.mFd, -1);
    mBuffer = std::move(aOther.mBuffer);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static Socket Connect(const std::string& aHost, int aPort)
  {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = AddressOf(aHost, aPort);
    Socket out(fd);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      out.Close();
    }
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return out;
  }

  [[nodiscard]] bool IsOpen() const { return mFd >= 0; }
  [[nodiscard]] int Fd() const { return mFd; }
  /** @return the error of the last read: 0 for an end or a time-out. */
  [[nodiscard]] int Error() const { return mError; }
  [[nodiscard]] bool IsTimedOut() const { return mIsTimedOut; }

  bool Send(std::string_view aBytes, int aWaitMillis = 20000)
  {
    const auto end = Clock::now() + milliseconds(aWaitMillis);
    while (!aBytes.empty()) {
      pollfd fd{ .fd = mFd, .events = POLLOUT, .revents = 0 };
      if (Clock::now() > end) {
        return false;
      }
      ::poll(&fd, 1, 100);
      const ssize_t n =
        ::send(mFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        continue;
      }
      if (n <= 0) {
        mError = errno;
        return false;
      }
      aBytes.remove_prefix(size_t(n));
    }
    return true;
  }

  /** Reads more into the buffer. @return whether anything came. */
  bool Fill(Clock::time_point aEnd)
  {
    while (mFd >= 0) {
      const auto left =
        std::chrono::duration_cast<milliseconds>(aEnd - Clock::now()).count();
      if (left <= 0) {
        mIsTimedOut = true;
        return false;
      }
      pollfd fd{ .fd = mFd, .events = POLLIN, .revents = 0 };
      if (::poll(&fd, 1, int(std::min<int64_t>(left, 200))) < 1) {
        continue;
      }
      char buf[65536];
      const ssize_t n = ::recv(mFd, buf, sizeof buf, 0);
      if (n > 0) {
        mBuffer.append(buf, size_t(n));
        return true;
      }
      mError = n < 0 ? errno : 0;
      return false;
    }
    return false;
  }
  std::string& Buffer() { return mBuffer; }

  void Close()
  {
    if (mFd >= 0) {
      ::close(std::exchange(mFd, -1));
    }
  }

private:
  int mFd = -1;
  int mError = 0;
  bool mIsTimedOut = false;
  std::string mBuffer;
};

/** A request or a response with a length. */
struct Message
{
  std::string mStart;
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;

  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto it = mHeaders.find(aName);
    return it == mHeaders.end() ? std::string() : it->second;
  }
  [[nodiscard]] std::string Word(int aIndex) const
  {
    size_t begin = 0;
    for (int n = 0; n < aIndex; ++n) {
      begin = mStart.find(' ', begin) + 1;
    }
    return mStart.substr(begin, mStart.find(' ', begin) - begin);
  }
  [[nodiscard]] int Status() const { return std::atoi(Word(1).c_str()); }
};

inline std::optional<Message>
ReadMessage(Socket& aSocket, Clock::time_point aEnd)
{
  std::string& buf = aSocket.Buffer();
  size_t headEnd = 0;
  while ((headEnd = buf.find("\r\n\r\n")) == std::string::npos) {
    if (!aSocket.Fill(aEnd)) {
      return std::nullopt;
    }
  }
  Message out;
  size_t at = buf.find("\r\n");
  out.mStart = buf.substr(0, at);
  while (at < headEnd) {
    const size_t begin = at + 2;
    at = buf.find("\r\n", begin);
    const std::string line = buf.substr(begin, at - begin);
    const size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    out.mHeaders[name] = line.substr(value);
  }
  const size_t length =
    size_t(std::atoll(out.Header("content-length").c_str()));
  while (buf.size() < headEnd + 4 + length) {
    if (!aSocket.Fill(aEnd)) {
      return std::nullopt;
    }
  }
  out.mBody = buf.substr(headEnd + 4, length);
  buf.erase(0, headEnd + 4 + length);
  return out;
}

inline std::string
FormatResponse(int aStatus,
               const std::string& aBody,
               const std::string& aHeaders = "")
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** Accepts connections and serves each on a thread of its own. */
class Server
{
public:
  /** Serves one connection until it returns. */
  using Serve = std::function<void(Socket&, const std::atomic<bool>&)>;

  Server(const std::string& aHost, int aPort, Serve aServe)
    : mListener(Listen(aHost, aPort))
    , mServe(std::move(aServe))
  {
    mThread = std::thread([this] { Run(); });
  }
  ~Server()
  {
    mIsEnding = true;
    mThread.join();
    for (auto& it : mWorkers) {
      it.join();
    }
    ::close(mListener);
  }

private:
  void Run()
  {
    while (!mIsEnding) {
      pollfd fd{ .fd = mListener, .events = POLLIN, .revents = 0 };
      if (::poll(&fd, 1, 50) < 1) {
        continue;
      }
      const int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      const int yes = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      mWorkers.emplace_back([this, socket] {
        Socket connection(socket);
        mServe(connection, mIsEnding);
      });
    }
  }

  int mListener;
  Serve mServe;
  std::atomic<bool> mIsEnding = false;
  std::thread mThread;
  std::vector<std::thread> mWorkers;
};

// -- Store ------------------------------------------------------------------

inline std::string
EncodeBase64(const std::string& aText)
{
  static const char* digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t n = 0; n < aText.size(); n += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = (bits << 8) | (n + k < aText.size() ? uint8_t(aText[n + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += n + k <= aText.size() ? digits[(bits >> (18 - 6 * k)) & 63] : '=';
    }
  }
  return out;
}

/** The platform's store, as its page has it: items, ranges, watches,
 * transactions and leases. */
class Store
{
public:
  Store(const std::string& aHost, int aPort)
    : mServer(std::make_unique<Server>(
        aHost,
        aPort,
        [this](Socket& aSocket, const std::atomic<bool>& aIsEnding) {
          ServeConnection(aSocket, aIsEnding);
        }))
  {
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    const std::scoped_lock lock(mMutex);
    PutLocked(aKey, EncodeBase64(aValue), 0);
  }

private:
  struct Item
  {
    std::string mValue;
    uint64_t mRevision = 0;
    uint64_t mCreated = 0;
    uint64_t mLease = 0;
  };
  struct Lease
  {
    Clock::time_point mEnd;
    int64_t mTtl = 0;
  };

  Json ItemOf(const std::string& aKey, const Item& aItem) const
  {
    return { { "key", aKey },
             { "value", aItem.mValue },
             { "rev", aItem.mRevision },
             { "createdRev", aItem.mCreated },
             { "lease", aItem.mLease } };
  }
  void PutLocked(const std::string& aKey,
                 const std::string& aValue,
                 uint64_t aLease)
  {
    ++mRevision;
    Item& item = mItems[aKey];
    item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
    item.mValue = aValue;
    item.mRevision = mRevision;
    item.mLease = aLease;
    mEvents.push_back(ItemOf(aKey, item));
    mChanged.notify_all();
  }
  void RemoveLocked(const std::string& aKey)
  {
    if (mItems.erase(aKey) > 0) {
      mEvents.push_back(
        { { "key", aKey }, { "rev", ++mRevision }, { "removed", true } });
      mChanged.notify_all();
    }
  }
  void ExpireLocked()
  {
    for (auto it = mLeases.begin(); it != mLeases.end();) {
      const auto lease = it++;
      if (Clock::now() > lease->second.mEnd) {
        const uint64_t id = lease->first;
        mLeases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, item] : mItems) {
          if (item.mLease == id) {
            keys.push_back(key);
          }
        }
        for (const auto& key : keys) {
          RemoveLocked(key);
        }
      }
    }
  }
  static std::string Decode(const std::string& aText)
  {
    std::string out;
    for (size_t n = 0; n < aText.size(); ++n) {
      if (aText[n] == '%' && n + 2 < aText.size()) {
        out += char(std::stoi(aText.substr(n + 1, 2), nullptr, 16));
        n += 2;
      } else {
        out += aText[n];
      }
    }
    return out;
  }
  static std::string Query(const std::string& aPath, const std::string& aName)
  {
    for (const char* mark : { "?", "&" }) {
      const size_t at = aPath.find(mark + aName + '=');
      if (at != std::string::npos) {
        const size_t begin = at + aName.size() + 2;
        return Decode(aPath.substr(begin, aPath.find('&', begin) - begin));
      }
    }
    return "";
  }

  void ServeConnection(Socket& aSocket, const std::atomic<bool>& aIsEnding)
  {
    while (!aIsEnding) {
      const auto request =
        ReadMessage(aSocket, Clock::now() + milliseconds(200));
      if (!request) {
        if (!aSocket.IsTimedOut() || aSocket.Error() != 0) {
          return;
        }
        if (IsEnded(aSocket)) {
          return;
        }
        continue;
      }
      const auto [status, body] =
        Answer(request->Word(0), request->Word(1), request->mBody, aIsEnding);
      if (!aSocket.Send(FormatResponse(
            status, body.dump(), "Content-Type: application/json\r\n"))) {
        return;
      }
    }
  }
  static bool IsEnded(Socket& aSocket)
  {
    char byte = 0;
    return ::recv(aSocket.Fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  std::pair<int, Json> Answer(const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody,
                              const std::atomic<bool>& aIsEnding)
  {
    std::unique_lock lock(mMutex);
    ExpireLocked();
    const std::string path = aPath.substr(0, aPath.find('?'));
    if (path == "/v1/kv-key") {
      const std::string key = Query(aPath, "key");
      const auto it = mItems.find(key);
      if (it == mItems.end()) {
        return { 404, Json::object() };
      }
      Json out = ItemOf(key, it->second);
      out["at"] = mRevision;
      return { 200, out };
    }
    if (path == "/v1/kv-range") {
      const std::string prefix = Query(aPath, "prefix");
      const std::string after = Query(aPath, "after");
      Json items = Json::array();
      for (const auto& [key, item] : mItems) {
        if (key.starts_with(prefix) && key > after) {
          items.push_back(ItemOf(key, item));
        }
      }
      return {
        200, { { "items", items }, { "hasMore", false }, { "at", mRevision } }
      };
    }
    if (path == "/v1/kv-watch") {
      const std::string prefix = Query(aPath, "prefix");
      const uint64_t after = std::stoull(Query(aPath, "after"));
      const auto end =
        Clock::now() + milliseconds(std::stoll(Query(aPath, "waitMs")));
      while (true) {
        Json events = Json::array();
        for (const Json& it : mEvents) {
          if (it.at("rev").get<uint64_t>() > after &&
              it.at("key").get<std::string>().starts_with(prefix)) {
            events.push_back(it);
          }
        }
        if (!events.empty() || Clock::now() > end || aIsEnding) {
          return { 200, { { "events", events }, { "at", mRevision } } };
        }
        mChanged.wait_for(lock, milliseconds(100));
        ExpireLocked();
      }
    }
    const Json body = Json::parse(aBody, nullptr, false);
    if (path == "/v1/kv-txn") {
      for (const Json& row : body.at("expectedRev")) {
        const auto it = mItems.find(row.at("key").get<std::string>());
        const uint64_t revision = it == mItems.end() ? 0 : it->second.mRevision;
        if (revision != row.at("rev").get<uint64_t>()) {
          return { 412, { { "items", Json::array() } } };
        }
      }
      for (const Json& put : body.at("puts")) {
        const auto lease = put.at("lease").get<uint64_t>();
        if (lease != 0 && !mLeases.contains(lease)) {
          return { 404, Json::object() };
        }
      }
      for (const Json& put : body.at("puts")) {
        PutLocked(put.at("key").get<std::string>(),
                  put.at("value").get<std::string>(),
                  put.at("lease").get<uint64_t>());
      }
      for (const Json& key : body.at("deletes")) {
        RemoveLocked(key.get<std::string>());
      }
      return { 200, { { "rev", mRevision } } };
    }
    if (path == "/v1/kv-lease") {
      const int64_t ttl = body.at("ttlMs").get<int64_t>();
      mLeases[++mLastLease] = { Clock::now() + milliseconds(ttl), ttl };
      return { 200, { { "lease", mLastLease }, { "ttlMs", ttl } } };
    }
    if (path.starts_with("/v1/kv-keep/")) {
      const auto it = mLeases.find(std::stoull(path.substr(12)));
      if (it == mLeases.end()) {
        return { 404, Json::object() };
      }
      it->second.mEnd = Clock::now() + milliseconds(it->second.mTtl);
      return { 200, { { "ttlMs", it->second.mTtl } } };
    }
    if (aMethod == "DELETE" && path.starts_with("/v1/kv-lease-end/")) {
      const auto it = mLeases.find(std::stoull(path.substr(17)));
      if (it != mLeases.end()) {
        it->second.mEnd = Clock::now() - milliseconds(1);
        ExpireLocked();
      }
      return { 200, Json::object() };
    }
    return { 400, Json::object() };
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  uint64_t mRevision = 1;
  uint64_t mLastLease = 100;
  std::map<std::string, Item> mItems;
  std::map<uint64_t, Lease> mLeases;
  std::vector<Json> mEvents;
  std::unique_ptr<Server> mServer; ///< Last: its threads use the rest.
};

// -- Upstream ---------------------------------------------------------------

/** A sound upstream: runs each request whose time is not over, and answers it.
 */
class Upstream
{
public:
  struct Answer
  {
    int mStatus = 200;
    std::string mBody = "served";
  };
  /** What the work on a request is; it may take its time. */
  using Work = std::function<Answer(const Message&)>;

  Upstream(Record& aRecord,
           const std::string& aHost,
           int aPort,
           std::string aInstance,
           Work aWork)
    : mRecord(aRecord)
    , mInstance(std::move(aInstance))
    , mWork(std::move(aWork))
    , mServer(std::make_unique<Server>(
        aHost,
        aPort,
        [this](Socket& aSocket, const std::atomic<bool>& aIsEnding) {
          ServeConnection(aSocket, aIsEnding);
        }))
  {
  }

  int RunsOf(const std::string& aId)
  {
    const std::scoped_lock lock(mMutex);
    return mRuns.contains(aId) ? mRuns[aId] : 0;
  }
  int TotalRuns()
  {
    const std::scoped_lock lock(mMutex);
    int out = 0;
    for (const auto& [id, count] : mRuns) {
      out += count;
    }
    return out;
  }
  /** Whether a run is told in the record. */
  void SetIsQuiet(bool aIsQuiet) { mIsQuiet = aIsQuiet; }

private:
  void ServeConnection(Socket& aSocket, const std::atomic<bool>& aIsEnding)
  {
    while (!aIsEnding) {
      auto request = ReadMessage(aSocket, Clock::now() + milliseconds(9000));
      if (!request) {
        return;
      }
      const std::string headers = "X-Amaranthgap-Instance-Id: " + mInstance +
                                  "\r\nX-Amaranthgap-Server-Load: 1,0,64\r\n";
      if (request->Word(1) == "/health") {
        aSocket.Send(FormatResponse(200, "", headers));
        continue;
      }
      const std::string id = request->Header("x-amaranthgap-request-id");
      if (request->Header("x-amaranthgap-expected-instance") != mInstance) {
        aSocket.Send(FormatResponse(421, "", headers));
        continue;
      }
      {
        const std::scoped_lock lock(mMutex);
        ++mRuns[id];
      }
      if (!mIsQuiet) {
        mRecord.Line("upstream " + mInstance + " runs " + id + " (" +
                     std::to_string(request->mBody.size()) + " bytes)");
      }
      const Answer answer = mWork(*request);
      request->mBody = std::string();
      if (!aSocket.Send(
            FormatResponse(answer.mStatus,
                           answer.mBody,
                           headers + "X-Amaranthgap-Request-Id: " + id +
                             "\r\nX-Amaranthgap-Response-Signature: s\r\n"))) {
        return;
      }
    }
  }

  Record& mRecord;
  std::string mInstance;
  Work mWork;
  std::mutex mMutex;
  std::map<std::string, int> mRuns;
  std::atomic<bool> mIsQuiet = false;
  std::unique_ptr<Server> mServer;
};

// -- Fleet ------------------------------------------------------------------

/** Processes that run, so that they end when the case is stopped. */
inline std::array<std::atomic<pid_t>, 16> gPids{};

inline void
NotePid(pid_t aBefore, pid_t aAfter)
{
  for (auto& it : gPids) {
    pid_t expected = aBefore;
    if (it.compare_exchange_strong(expected, aAfter)) {
      return;
    }
  }
}

inline void
EndAtSignal(int)
{
  for (auto& it : gPids) {
    if (const pid_t pid = it.load(); pid > 0) {
      ::kill(pid, SIGKILL);
    }
  }
  ::_exit(kCouldNotRun);
}

/** One proxy process, started as deploy/system.toml says. */
class Proxy
{
public:
  struct Options
  {
    std::string mName;
    std::string mService;
    std::string mHost;
    std::string mZone = "zone-a";
    std::string mRegion = "region-a";
    int mMemoryMb = 160;
    int mDescriptors = 4100;
    int mGraceS = 6;
  };

  Proxy(Record& aRecord,
        const std::filesystem::path& aFolder,
        int aBasePort,
        const std::string& aStoreHost,
        Options aOptions)
    : mRecord(aRecord)
    , mOptions(std::move(aOptions))
    , mFolder(aFolder)
    , mBasePort(aBasePort)
  {
    const std::map<std::string, std::string> values{
      { "node", mOptions.mName },
      { "region", mOptions.mRegion },
      { "zone", mOptions.mZone },
      { "service", mOptions.mService },
      { "appAddr", At(kUpstream) },
      { "listen.outbound", At(kCallers) },
      { "listen.ready", At(kReady) },
      { "listen.control", At(kControl) },
      { "ip", mOptions.mHost },
      { "internalPorts.0", std::to_string(aBasePort + kPeers) },
      { "platform.address",
        aStoreHost + ":" + std::to_string(aBasePort + kStore) },
      { "bounds.graceS", std::to_string(mOptions.mGraceS) },
    };
    std::ifstream in("deploy/proxy.toml");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    if (text.empty()) {
      throw CouldNotRun("deploy/proxy.toml cannot be read");
    }
    for (const auto& [key, value] : values) {
      const std::string mark = "{{" + key + "}}";
      for (size_t at = 0; (at = text.find(mark)) != std::string::npos;) {
        text.replace(at, mark.size(), value);
      }
    }
    std::ofstream(Settings()) << text;
  }
  ~Proxy() { Kill(); }

  enum Port
  {
    kUpstream,
    kCallers,
    kReady,
    kControl,
    kPeers,
    kStore = kPeers + 3,
  };

  [[nodiscard]] std::string At(int aPort) const
  {
    return mOptions.mHost + ":" + std::to_string(mBasePort + aPort);
  }
  [[nodiscard]] int PortOf(int aPort) const { return mBasePort + aPort; }
  [[nodiscard]] const std::string& Host() const { return mOptions.mHost; }
  [[nodiscard]] const std::string& Name() const { return mOptions.mName; }
  [[nodiscard]] const std::string& Service() const { return mOptions.mService; }

  void Start()
  {
    const std::string program = "target/app/amaranthgap";
    std::vector<std::string> words{
      program, "proxy", "--settings-variable", "AMARANTHGAP_BOOT"
    };
    std::vector<std::string> variables{
      "AMARANTHGAP_BOOT=" + Settings().string(),
      "AMARANTHGAP_MEMORY_MB=" + std::to_string(mOptions.mMemoryMb),
      "AMARANTHGAP_MAX_DESCRIPTORS=" + std::to_string(mOptions.mDescriptors)
    };
    const auto pointers = [](std::vector<std::string>& aWords) {
      std::vector<char*> out;
      for (auto& it : aWords) {
        out.push_back(it.data());
      }
      out.push_back(nullptr);
      return out;
    };
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files,
                                     STDOUT_FILENO,
                                     Log().c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&mPid,
                                   program.c_str(),
                                   &files,
                                   nullptr,
                                   pointers(words).data(),
                                   pointers(variables).data());
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0) {
      mPid = 0;
      throw CouldNotRun("target/app/amaranthgap cannot be started");
    }
    NotePid(0, mPid);
    mRecord.Line("started " + mOptions.mName);
  }
  void Signal(int aSignal)
  {
    if (IsAlive()) {
      ::kill(mPid, aSignal);
    }
  }
  void Kill()
  {
    if (IsAlive()) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      NotePid(mPid, 0);
      mPid = 0;
    }
  }
  bool IsAlive()
  {
    if (mPid == 0) {
      return false;
    }
    int status = 0;
    if (::waitpid(mPid, &status, WNOHANG) == 0) {
      return true;
    }
    NotePid(mPid, 0);
    mPid = 0;
    mEnd = WIFSIGNALED(status)
             ? std::string("signal ") + strsignal(WTERMSIG(status))
             : "status " + std::to_string(WEXITSTATUS(status));
    return false;
  }
  /** @return how it ended by itself, if it did. */
  [[nodiscard]] const std::string& End() const { return mEnd; }
  [[nodiscard]] pid_t Pid() const { return mPid; }
  size_t PeakKilobytes() { return StatusField("VmHWM:"); }
  size_t ResidentKilobytes() { return StatusField("VmRSS:"); }
  size_t StatusField(std::string_view aField)
  {
    std::ifstream in("/proc/" + std::to_string(mPid) + "/status");
    std::string word;
    while (in >> word) {
      if (word == aField) {
        size_t out = 0;
        in >> out;
        return out;
      }
    }
    return 0;
  }
  [[nodiscard]] std::filesystem::path Log() const
  {
    return mFolder / (mOptions.mName + ".log");
  }

private:
  [[nodiscard]] std::filesystem::path Settings() const
  {
    return mFolder / (mOptions.mName + ".toml");
  }

  Record& mRecord;
  Options mOptions;
  std::filesystem::path mFolder;
  int mBasePort;
  pid_t mPid = 0;
  std::string mEnd;
};

/** One answer to a client. */
struct ClientAnswer
{
  std::optional<Message> mMessage;
  std::string mEnd; ///< How the connection ended, if there is no answer.

  [[nodiscard]] std::string Text() const
  {
    return mMessage ? mMessage->mStart : "no answer: " + mEnd;
  }
};

inline ClientAnswer
ReadAnswer(Socket& aSocket, int aWaitMillis)
{
  ClientAnswer out;
  out.mMessage = ReadMessage(aSocket, Clock::now() + milliseconds(aWaitMillis));
  if (!out.mMessage) {
    out.mEnd = aSocket.Error() != 0   ? std::strerror(aSocket.Error())
               : aSocket.IsTimedOut() ? "time limit"
                                      : "connection closed";
  }
  return out;
}

/** A store, proxies and their upstreams. */
class Fleet
{
public:
  Fleet(const char* aRecord, const std::string& aLimits)
    : mRecord(aRecord)
    , mLimits(aLimits)
  {
    std::random_device device;
    mNet = "127." + std::to_string(64 + device() % 128) + "." +
           std::to_string(1 + device() % 250) + ".";
    mBasePort = int(20000 + device() % 8000);
    std::string name =
      (std::filesystem::temp_directory_path() / "amaranthgap-review-XXXXXX")
        .string();
    if (!mkdtemp(name.data())) {
      throw CouldNotRun("no temporary folder");
    }
    mFolder = name;
    mStore = std::make_unique<Store>(mNet + "1", mBasePort + Proxy::kStore);
  }
  ~Fleet()
  {
    mIsEnding = true;
    for (auto& it : mBeats) {
      it.join();
    }
    mProxies.clear();
    if (const char* keep = std::getenv("KEEP_LOGS")) {
      std::error_code ec;
      std::filesystem::copy(mFolder,
                            keep,
                            std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing,
                            ec);
    }
    std::error_code ec;
    std::filesystem::remove_all(mFolder, ec);
  }

  Record& Log() { return mRecord; }

  Proxy& AddProxy(const std::string& aName,
                  const std::string& aService,
                  int aMemoryMb = 160)
  {
    mServices.insert(aService);
    mProxies.push_back(std::make_unique<Proxy>(
      mRecord,
      mFolder,
      mBasePort,
      mNet + "1",
      Proxy::Options{ .mName = aName,
                      .mService = aService,
                      .mHost = mNet + std::to_string(10 + mProxies.size()),
                      .mMemoryMb = aMemoryMb }));
    return *mProxies.back();
  }

  /** Adds a rule of host `h.example`. */
  void AddRoute(const std::string& aPrefix,
                const std::string& aKind,
                const std::string& aService,
                int aTimeoutMs = 5000,
                const Json& aMore = Json::object())
  {
    Json rule{ { "name", "r" + std::to_string(mRules.size()) },
               { "routeType", aKind },
               { "aimMs", 1000 },
               { "priority", 1 },
               { "match", { { "prefix", aPrefix } } },
               { "action",
                 { { "service", aService },
                   { "timeoutMs", aTimeoutMs },
                   { "attempts", 2 } } } };
    rule.update(aMore);
    mServices.insert(aService);
    mRules.push_back(rule);
  }
  void SetTenants(const Json& aTenants) { mTenants = aTenants; }

  void WriteConfig()
  {
    char version[9];
    std::snprintf(version, sizeof version, "%08x", mVersion += 3);
    Json clusters = Json::array();
    for (const auto& it : mServices) {
      clusters.push_back({ { "name", it },
                           { "healthPath", "/health" },
                           { "maxConnections", 1200 },
                           { "protocol", "h1" },
                           { "tls", false } });
    }
    Json config{ { "version", version },
                 { "limits", Json::parse(mLimits) },
                 { "listeners",
                   Json::array({ { { "hostname", "h.example" },
                                   { "ruleSet", mRules } } }) },
                 { "clusters", clusters } };
    if (!mTenants.empty()) {
      config["tenants"] = mTenants;
    }
    mStore->Put("op/config", config.dump());
    mRecord.Line(std::string("operator: configuration ") + version);
  }

  /** Sends heartbeats of the upstream beside a proxy until the end. */
  void Beat(Proxy& aProxy, const std::string& aInstance, int aSlots)
  {
    mBeats.emplace_back([this, &aProxy, aInstance, aSlots] {
      const int64_t born = WallMillis();
      uint64_t sequence = 0;
      while (!mIsEnding) {
        const Json body{ { "service", aProxy.Service() },
                         { "address", aProxy.At(Proxy::kUpstream) },
                         { "zone", "zone-a" },
                         { "version", "v1" },
                         { "slots", aSlots },
                         { "state", "ready" },
                         { "coldRemainingMs", 0 },
                         { "seq", ++sequence },
                         { "born", born } };
        const std::string text = body.dump();
        Socket socket =
          Socket::Connect(aProxy.Host(), aProxy.PortOf(Proxy::kControl));
        if (socket.IsOpen()) {
          socket.Send("POST /v1/instances/" + aInstance +
                      "/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: "
                      "application/json\r\nContent-Length: " +
                      std::to_string(text.size()) + "\r\n\r\n" + text);
          ReadAnswer(socket, 1000);
        }
        for (int n = 0; n < 15 && !mIsEnding; ++n) {
          Sleep(100);
        }
      }
    });
  }

  /** Waits until all proxies are ready and a request is served. */
  void AwaitServing(Proxy& aEntry, const std::string& aPath)
  {
    const auto end = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < end) {
      bool isReady = true;
      for (const auto& it : mProxies) {
        if (!it->IsAlive()) {
          throw CouldNotRun(it->Name() + " has ended: " + it->End());
        }
        Socket socket = Socket::Connect(it->Host(), it->PortOf(Proxy::kReady));
        const bool isAsked =
          socket.IsOpen() &&
          socket.Send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        const auto answer = isAsked ? ReadAnswer(socket, 1000) : ClientAnswer{};
        isReady =
          isReady && answer.mMessage && answer.mMessage->Status() == 200;
      }
      if (isReady) {
        const auto answer = Ask(aEntry, "GET", aPath, "warm-" + NextId(), "");
        if (answer.mMessage && answer.mMessage->Status() == 200) {
          mRecord.Line("all proxies are ready and serve");
          return;
        }
      }
      Sleep(200);
    }
    throw CouldNotRun("the proxies did not begin to serve");
  }

  std::string NextId() { return std::to_string(++mLastId); }

  static std::string Head(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aId,
                          const std::string& aMore = "",
                          int aDeadlineMs = 5000)
  {
    return aMethod + " " + aPath +
           " HTTP/1.1\r\nHost: h.example\r\nX-Amaranthgap-Request-Id: " + aId +
           "\r\nX-Amaranthgap-Deadline-Ms: " + std::to_string(aDeadlineMs) +
           "\r\n" + aMore + "\r\n";
  }

  /** Sends a request on a new connection, which stays open. */
  static ClientAnswer Ask(Proxy& aEntry,
                          const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aId,
                          const std::string& aBody,
                          int aDeadlineMs = 5000,
                          const std::string& aMore = "")
  {
    Socket socket =
      Socket::Connect(aEntry.Host(), aEntry.PortOf(Proxy::kCallers));
    return AskOn(socket, aMethod, aPath, aId, aBody, aDeadlineMs, aMore);
  }

  /** Opens a connection that is kept: a read has been served on it.
   * @return a closed one if that failed. */
  static Socket OpenKept(Fleet& aFleet, Proxy& aEntry)
  {
    Socket socket =
      Socket::Connect(aEntry.Host(), aEntry.PortOf(Proxy::kCallers));
    const auto answer =
      AskOn(socket, "GET", "/read/1", "first-" + aFleet.NextId(), "", 3000);
    if (!answer.mMessage || answer.mMessage->Status() != 200 ||
        answer.mMessage->Header("connection") == "close") {
      socket.Close();
    }
    return socket;
  }

  /** Sends a request on a connection, which stays open. */
  static ClientAnswer AskOn(Socket& aSocket,
                            const std::string& aMethod,
                            const std::string& aPath,
                            const std::string& aId,
                            const std::string& aBody,
                            int aDeadlineMs = 5000,
                            const std::string& aMore = "")
  {
    if (!aSocket.IsOpen()) {
      return { .mMessage = std::nullopt, .mEnd = "no connection" };
    }
    std::string more = aMore;
    if (aMethod != "GET") {
      more += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    }
    if (!aSocket.Send(Head(aMethod, aPath, aId, more, aDeadlineMs) + aBody)) {
      // What was answered before the end can still be read.
      ClientAnswer out = ReadAnswer(aSocket, 500);
      if (!out.mMessage) {
        out.mEnd = "broken while sending: " + out.mEnd;
      }
      return out;
    }
    return ReadAnswer(aSocket, aDeadlineMs + 1000);
  }

private:
  Record mRecord;
  std::string mLimits;
  std::string mNet;
  int mBasePort = 0;
  int mVersion = 1;
  std::atomic<uint64_t> mLastId = 0;
  std::filesystem::path mFolder;
  Json mRules = Json::array();
  Json mTenants = Json::array();
  std::set<std::string> mServices;
  std::unique_ptr<Store> mStore;
  std::vector<std::unique_ptr<Proxy>> mProxies;
  std::vector<std::thread> mBeats;
  std::atomic<bool> mIsEnding = false;
};

/** Callers on kept connections whose requests, which must not run twice, are at
 * work all the while. */
class OrdinaryCallers
{
public:
  OrdinaryCallers(Fleet& aFleet,
                  Proxy& aEntry,
                  Upstream& aUpstream,
                  int aWorkMillis,
                  int aCount = 6)
  {
    for (int n = 0; n < aCount; ++n) {
      mThreads.emplace_back([&, aWorkMillis] {
        Socket kept;
        while (!mIsEnding) {
          if (!kept.IsOpen()) {
            kept = Fleet::OpenKept(aFleet, aEntry);
            if (!kept.IsOpen()) {
              Sleep(aWorkMillis);
              continue;
            }
          }
          const std::string id = "book-" + aFleet.NextId();
          const auto answer =
            Fleet::AskOn(kept, "POST", "/book/1", id, "a booking");
          ++mSent;
          if (!answer.mMessage) {
            kept.Close();
            Sleep(aWorkMillis);
            const int runs = aUpstream.RunsOf(id);
            mLost += 1;
            mLostThatRan += runs > 0 ? 1 : 0;
            aFleet.Log().Line("ordinary caller: " + id + " " + answer.Text() +
                              ", runs: " + std::to_string(runs));
          }
          if (!answer.mMessage || answer.mMessage->Status() != 200) {
            kept.Close();
            Sleep(aWorkMillis); // It comes back later.
          }
        }
      });
    }
  }
  void End()
  {
    mIsEnding = true;
    for (auto& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }

  /** @return the requests that ran and got no answer. */
  int LogTotal(Record& aRecord)
  {
    aRecord.Line("ordinary callers: " + std::to_string(mSent) + " requests, " +
                 std::to_string(mLost) + " without an answer, of which " +
                 std::to_string(mLostThatRan) + " have run");
    return mLostThatRan;
  }

private:
  std::atomic<int> mSent = 0;
  std::atomic<int> mLost = 0;
  std::atomic<int> mLostThatRan = 0;
  std::atomic<bool> mIsEnding = false;
  std::vector<std::thread> mThreads;
};

/** Limits of callers in the configurations of the users' pages. */
inline constexpr const char* kPageLimits =
  R"({"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
  R"("headerTimeoutMs":3000,"idleTimeoutMs":15000})";

inline bool
HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return !text || std::string_view(text) != "0";
}

/** Runs a case and turns its problems into an exit status.
 * @param aDescriptors that its stand-ins need. */
inline int
RunCase(const std::function<int()>& aCase, rlim_t aDescriptors = 512)
{
  signal(SIGPIPE, SIG_IGN);
  signal(SIGTERM, EndAtSignal);
  signal(SIGINT, EndAtSignal);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  try {
    if (files.rlim_max < aDescriptors) {
      throw CouldNotRun("too few descriptors");
    }
    return aCase();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}

} // namespace review
