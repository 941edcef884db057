#include "UpstreamConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "server/HttpFraming.h"
#include "wire/HttpSyntax.h"

namespace amaranthgap {

namespace {

// The library reads a head line by line without a limit of its own.
constexpr size_t kMaxAnswerHead = size_t(64) * 1024;

bool
WaitFor(int aSocket, short aEvents, TimePoint aDeadline)
{
  while (true) {
    const Duration left = aDeadline - std::chrono::steady_clock::now();
    if (left <= Duration::zero()) {
      return false;
    }
    pollfd fd{ .fd = aSocket, .events = aEvents, .revents = 0 };
    const int n = poll(&fd, 1, int(ToMillis(left)) + 1);
    if (n > 0) {
      return true;
    }
    if (n < 0 && errno != EINTR) {
      return false;
    }
  }
}

} // namespace

/** Takes the bytes of a request and has no answer. */
class UpstreamConnection::RequestStream : public httplib::Stream
{
public:
  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  socket_t socket() const override { return -1; }

  ssize_t read(char*, size_t) override { return -1; }
  ssize_t write(const char* aData, size_t aSize) override
  {
    mBytes.append(aData, aSize);
    return ssize_t(aSize);
  }

  std::string mBytes;
};

/** Bytes of one exchange, with its deadline; the request has been rendered
 * before. Keeps the raw head of the answer, since the library decodes percent
 * signs in header values. */
class UpstreamConnection::SocketStream : public httplib::Stream
{
public:
  SocketStream(int aSocket, TimePoint aDeadline, std::string aRequest)
    : mSocket(aSocket)
    , mDeadline(aDeadline)
    , mRequest(std::move(aRequest))
  {
  }

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  socket_t socket() const override { return -1; }

  // What the library writes has been sent by SendAvailable and Flush.
  ssize_t write(const char*, size_t aSize) override { return ssize_t(aSize); }

  ssize_t read(char* aData, size_t aSize) override
  {
    if (!Flush() || (mTaken == mFilled && !Fill())) {
      return mEnded ? 0 : -1;
    }
    const size_t n = std::min(aSize, mFilled - mTaken);
    std::copy_n(mBuffer.data() + mTaken, n, aData);
    mTaken += n;
    if (!mHeadDone) {
      mHead.append(aData, n);
      if (mHead.size() > kMaxAnswerHead) {
        mTooLarge = true;
        return -1;
      }
    }
    return ssize_t(n);
  }

  [[nodiscard]] bool HasLeftover() const { return mTaken != mFilled; }

  std::string mHead;
  bool mHeadDone = false;
  bool mTimedOut = false;
  bool mTooLarge = false;
  bool mEnded = false;
  size_t mSent = 0;
  size_t mReceived = 0;

  /** @return false when the connection is broken. */
  bool SendAvailable()
  {
    while (mSent < mRequest.size()) {
      const ssize_t n = ::send(mSocket,
                               mRequest.data() + mSent,
                               mRequest.size() - mSent,
                               MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n >= 0) {
        mSent += size_t(n);
      } else if (errno == EAGAIN) {
        return true;
      } else if (errno != EINTR) {
        return false;
      }
    }
    return true;
  }

private:
  bool Flush()
  {
    while (mSent < mRequest.size()) {
      if (!SendAvailable()) {
        return false;
      }
      if (mSent < mRequest.size() && !WaitFor(mSocket, POLLOUT, mDeadline)) {
        mTimedOut = true;
        return false;
      }
    }
    return true;
  }

  bool Fill()
  {
    while (true) {
      const ssize_t n =
        recv(mSocket, mBuffer.data(), mBuffer.size(), MSG_DONTWAIT);
      if (n > 0) {
        mTaken = 0;
        mFilled = size_t(n);
        mReceived += size_t(n);
        return true;
      }
      if (n == 0) {
        mEnded = true;
        return false;
      }
      if (errno == EAGAIN) {
        if (!WaitFor(mSocket, POLLIN, mDeadline)) {
          mTimedOut = true;
          return false;
        }
      } else if (errno != EINTR) {
        return false;
      }
    }
  }

  int mSocket;
  TimePoint mDeadline;
  std::string mRequest;
  std::array<char, size_t(16) * 1024> mBuffer; // NOLINT: filled by recv
  size_t mTaken = 0;
  size_t mFilled = 0;
};

UpstreamConnection::UpstreamConnection(const std::string& aHost, int aPort)
  : httplib::ClientImpl(aHost, aPort)
  , mHost(aHost)
  , mPort(aPort)
{
  set_decompress(false);
  set_url_encode(false);
}

UpstreamConnection::~UpstreamConnection()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

bool
UpstreamConnection::Connect(TimePoint aDeadline)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(uint16_t(mPort));
  if (inet_pton(AF_INET, mHost.c_str(), &address.sin_addr) != 1) {
    return false;
  }
  mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  if (connect(mSocket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    return true;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  return errno == EINPROGRESS && WaitFor(mSocket, POLLOUT, aDeadline) &&
         getsockopt(mSocket, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
         error == 0;
}

bool
UpstreamConnection::IsFresh() const
{
  char byte = 0;
  const ssize_t n = recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void
UpstreamConnection::Abort() const
{
  ::shutdown(mSocket, SHUT_RDWR);
}

bool
UpstreamConnection::HasFraming(const httplib::Request& aRequest,
                               const httplib::Response& aResponse)
{
  return aRequest.method == "HEAD" || aResponse.status == 204 ||
         aResponse.status == 304 || aResponse.has_header("Content-Length") ||
         aResponse.has_header("Transfer-Encoding");
}

std::string
UpstreamConnection::Render(const HttpRequest& aRequest)
{
  httplib::Request request;
  request.method = aRequest.mMethod;
  request.path = aRequest.mPath;
  request.body = aRequest.mBody;
  for (const auto& [name, value] : aRequest.mHeaders) {
    request.headers.emplace(name, value);
  }
  RequestStream stream;
  httplib::Response none;
  httplib::Error error = httplib::Error::Success;
  process_request(stream, request, none, false, error);
  return std::move(stream.mBytes);
}

void
UpstreamConnection::Send(const HttpRequest& aRequest, TimePoint aDeadline)
{
  mReusable = false;
  mMethod = aRequest.mMethod;
  mStream =
    std::make_unique<SocketStream>(mSocket, aDeadline, Render(aRequest));
  // Receive meets the same error again.
  mStream->SendAvailable();
}

UpstreamConnection::Outcome
UpstreamConnection::Receive(size_t aMaxAnswer)
{
  const auto held = std::move(mStream);
  SocketStream& stream = *held;
  httplib::Request request;
  request.method = mMethod;
  request.path.push_back('/');
  bool framed = true;
  bool bodyless = false;
  // Called between head and body.
  request.response_handler = [&](const httplib::Response& aHead) {
    stream.mHeadDone = true;
    framed = HasFraming(request, aHead);
    bodyless = aHead.status == 304;
    return framed && !bodyless;
  };
  httplib::Response response;
  request.content_receiver =
    [&](const char* aData, size_t aSize, uint64_t, uint64_t) {
      stream.mTooLarge = response.body.size() + aSize > aMaxAnswer;
      if (!stream.mTooLarge) {
        response.body.append(aData, aSize);
      }
      return !stream.mTooLarge;
    };
  httplib::Error error = httplib::Error::Success;
  const bool complete =
    process_request(stream, request, response, false, error) || bodyless;
  if (stream.mTooLarge) {
    return UpstreamFailure::TooLarge;
  }
  if (!complete) {
    if (stream.mSent == 0) {
      return UpstreamFailure::NotConnected;
    }
    // An answer that ends with its connection cannot be told from a cut one.
    if (stream.mReceived > 0 && !stream.mTimedOut) {
      return UpstreamFailure::Incomplete;
    }
    return stream.mTimedOut ? UpstreamFailure::TimedOut
                            : UpstreamFailure::ConnectionLost;
  }
  HttpHeaders raw;
  const auto line = stream.mHead.find("\r\n");
  if (line == std::string::npos || !IsValidStatus(response.status) ||
      !ParseHeaderLines(std::string_view(stream.mHead).substr(line + 2), raw)) {
    return UpstreamFailure::Incomplete;
  }
  mReusable = response.version == "HTTP/1.1" && !stream.HasLeftover() &&
              !EqualsIgnoringCase(FindHeader(raw, "Connection"), "close");
  return HttpResponse{ .mStatus = response.status,
                       .mHeaders = ForwardedHeaders(raw),
                       .mBody = std::move(response.body) };
}

} // namespace amaranthgap
