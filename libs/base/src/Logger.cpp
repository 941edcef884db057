#include "base/Logger.h"

#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace amaranthgap {

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

void
Logger::Write(TimePoint aNow,
              LogLevel aLevel,
              std::string_view aEvent,
              const std::vector<LogField>& aFields)
{
  if (aLevel < mOptions.mLevel) {
    return;
  }
  uint64_t suppressed = 0;
  {
    const std::scoped_lock lock(mMutex);
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
      return;
    }
    ++window.mLines;
    std::swap(suppressed, window.mSuppressed);
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
  line += '\n';
  fmt::print(stderr, "{}", line);
}

} // namespace amaranthgap
