#include "server/HttpConnection.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>
#include <unistd.h>

namespace amaranthgap {

HttpConnection::HttpConnection(int aSocket,
                               uint64_t aId,
                               RequestFramer::Limits aLimits)
  : mSocket(aSocket)
  , mId(aId)
  , mFramer(aLimits)
{
}

HttpConnection::~HttpConnection()
{
  close(mSocket);
}

void
HttpConnection::SetOnGone(std::function<void()> aOnGone)
{
  {
    const std::scoped_lock lock(mMutex);
    mOnGone = std::move(aOnGone);
    if (!mGone || !mOnGone) {
      return;
    }
    aOnGone = mOnGone;
  }
  aOnGone();
}

bool
HttpConnection::IsGone()
{
  const std::scoped_lock lock(mMutex);
  return mGone;
}

void
HttpConnection::MarkGone()
{
  std::function<void()> onGone;
  {
    const std::scoped_lock lock(mMutex);
    mGone = true;
    onGone = mOnGone;
  }
  if (onGone) {
    onGone();
  }
}

HttpConnection::ReadResult
HttpConnection::ReadAvailable(size_t aMaxBuffer)
{
  std::array<char, 16 * 1024> chunk; // NOLINT: filled by recv
  while (mBuffer.size() < aMaxBuffer) {
    const ssize_t n = recv(mSocket, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (n > 0) {
      mBuffer.append(chunk.data(), size_t(n));
      if (size_t(n) < chunk.size()) {
        return ReadResult::Drained;
      }
    } else if (n < 0 && errno == EINTR) {
      continue;
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return ReadResult::Drained;
    } else {
      return ReadResult::Ended;
    }
  }
  return ReadResult::Full;
}

bool
HttpConnection::WriteAvailable()
{
  size_t done = 0;
  while (done < mOutput.size()) {
    const ssize_t n = send(mSocket,
                           mOutput.data() + done,
                           mOutput.size() - done,
                           MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n >= 0) {
      done += size_t(n);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR) {
      return false;
    }
  }
  mOutput.erase(0, done);
  return true;
}

} // namespace amaranthgap
