#include "base/Logger.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace amaranthgap {

namespace {

// Lines that wait for a slow reader; more are dropped.
constexpr size_t kMostPending = size_t(256) * 1024;

} // namespace

Logger::Logger(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

std::string
Logger::Quote(std::string_view aValue)
{
  bool plain = !aValue.empty();
  for (const unsigned char c : aValue) {
    plain = plain && c > ' ' && c != '"' && c != '=' && c != 0x7f;
  }
  if (plain) {
    return std::string(aValue);
  }
  std::string out = "\"";
  for (const unsigned char c : aValue) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += char(c);
    } else if (c < ' ' || c == 0x7f) {
      out += fmt::format("\\x{:02x}", c);
    } else {
      out += char(c);
    }
  }
  return out + '"';
}

bool
Logger::TakeTurn(TimePoint aNow, std::string_view aEvent, uint64_t& aSuppressed)
{
  auto it = mWindows.find(aEvent);
  if (it == mWindows.end()) {
    it = mWindows.emplace(std::string(aEvent), Window{}).first;
  }
  Window& window = it->second;
  if (aNow - window.mStart >= seconds(1)) {
    window.mStart = aNow;
    window.mLines = 0;
  }
  if (window.mLines >= mOptions.mLinesPerSecond) {
    ++window.mSuppressed;
    return false;
  }
  ++window.mLines;
  std::swap(aSuppressed, window.mSuppressed);
  return true;
}

void
Logger::Write(TimePoint aNow,
              LogLevel aLevel,
              std::string_view aEvent,
              const std::vector<LogField>& aFields)
{
  if (aLevel < mOptions.mLevel) {
    return;
  }
  const std::scoped_lock lock(mMutex);
  uint64_t suppressed = 0;
  if (!TakeTurn(aNow, aEvent, suppressed)) {
    return;
  }
  if (mPending.size() > kMostPending) {
    ++mDropped;
    return;
  }
  const auto wall =
    std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
  std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}Z level={} node={} "
                                 "event={}",
                                 fmt::gmtime(wall),
                                 ToName(aLevel),
                                 Quote(mOptions.mNode),
                                 aEvent);
  for (const auto& [key, value] : aFields) {
    line += fmt::format(" {}={}", key, Quote(value));
  }
  if (suppressed > 0) {
    line += fmt::format(" suppressed={}", suppressed);
  }
  if (mDropped > 0) {
    line += fmt::format(" dropped={}", std::exchange(mDropped, 0));
  }
  mPending += line + '\n';
  if (!mOptions.mCollectsLines) {
    FlushLocked();
  }
}

void
Logger::Flush()
{
  const std::scoped_lock lock(mMutex);
  FlushLocked();
}

void
Logger::FlushLocked()
{
  size_t written = 0;
  while (written < mPending.size()) {
    pollfd ready{ .fd = mOptions.mDescriptor, .events = POLLOUT, .revents = 0 };
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that is ready takes this much without waiting.
    const size_t size = std::min<size_t>(PIPE_BUF, mPending.size() - written);
    const ssize_t n =
      ::write(mOptions.mDescriptor, mPending.data() + written, size);
    if (n <= 0) {
      break;
    }
    written += size_t(n);
  }
  mPending.erase(0, written);
}

} // namespace amaranthgap
