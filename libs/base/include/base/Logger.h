#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/EnumNames.h"
#include "base/Time.h"

namespace amaranthgap {

enum class LogLevel : uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

template<>
struct EnumNames<LogLevel>
{
  static constexpr std::array kNames{
    std::pair{ LogLevel::Debug, std::string_view{ "debug" } },
    std::pair{ LogLevel::Info, std::string_view{ "info" } },
    std::pair{ LogLevel::Warning, std::string_view{ "warning" } },
    std::pair{ LogLevel::Error, std::string_view{ "error" } },
  };
};

/** One key=value pair of a log line. */
struct LogField
{
  std::string_view mKey;
  std::string mValue;
};

/** Writes one key=value line for each event to standard output, at most
 * `mLinesPerSecond` for each event name; a line that follows suppressed ones
 * carries their number. Never waits for a reader: lines that find no room are
 * dropped and counted. Safe for use by several threads. */
class Logger
{
public:
  struct Options
  {
    LogLevel mLevel = LogLevel::Info;
    std::string mNode;
    uint32_t mLinesPerSecond = 20;
    /** Lines wait for Flush(), so that several share one write. */
    bool mCollectsLines = false;
    int mDescriptor = 1; ///< Standard output; another one in tests.
  };

  explicit Logger(Options aOptions);

  void Write(TimePoint aNow,
             LogLevel aLevel,
             std::string_view aEvent,
             const std::vector<LogField>& aFields);
  /** Writes as many of the collected lines as there is room for. */
  void Flush();

  /** @return a value as it stands in a line: quoted when it holds a space, a
   * quote, an equals sign or a control character. */
  static std::string Quote(std::string_view aValue);

private:
  struct Window
  {
    TimePoint mStart{};
    uint32_t mLines = 0;
    uint64_t mSuppressed = 0;
  };

  /** @return whether the line may be written, and how many were not since the
   * last one that was. */
  bool TakeTurn(TimePoint aNow, std::string_view aEvent, uint64_t& aSuppressed);
  void FlushLocked();

  Options mOptions;
  std::mutex mMutex;
  std::map<std::string, Window, std::less<>> mWindows;
  std::string mPending;  ///< Lines that are not written yet.
  uint64_t mDropped = 0; ///< Lines without room since the last one with room.
};

} // namespace amaranthgap
