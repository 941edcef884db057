#include "BufferedStream.h"

#include <algorithm>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace amaranthgap {

namespace {

// A request that stalls for longer is given up with its connection.
constexpr int kReadTimeoutMs = 5000;

} // namespace

bool
BufferedStream::Flush()
{
  size_t at = 0;
  while (at < mOutput.size()) {
    const ssize_t n =
      ::send(mSocket, mOutput.data() + at, mOutput.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += size_t(n);
  }
  mOutput.clear();
  return true;
}

bool
BufferedStream::is_readable() const
{
  pollfd event{ .fd = mSocket, .events = POLLIN };
  return HasInput() || ::poll(&event, 1, kReadTimeoutMs) > 0;
}

ssize_t
BufferedStream::read(char* aData, size_t aSize)
{
  if (!HasInput()) {
    if (!is_readable()) {
      return -1;
    }
    const ssize_t n = ::recv(mSocket, mInput.data(), mInput.size(), 0);
    if (n <= 0) {
      return n;
    }
    mAt = 0;
    mEnd = size_t(n);
  }
  const size_t n = std::min(aSize, mEnd - mAt);
  std::memcpy(aData, mInput.data() + mAt, n);
  mAt += n;
  return ssize_t(n);
}

ssize_t
BufferedStream::write(const char* aData, size_t aSize)
{
  mOutput.append(aData, aSize);
  return ssize_t(aSize);
}

void
BufferedStream::get_remote_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp = "127.0.0.1";
  aPort = 0;
}

void
BufferedStream::get_local_ip_and_port(std::string& aIp, int& aPort) const
{
  aIp = "127.0.0.1";
  aPort = 0;
}

} // namespace amaranthgap
