#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/EnumNames.h"
#include "base/Time.h"
#include "net/TcpStream.h"
#include "quarantine/CrashEvidence.h"

namespace amaranthgap {

class EventLoop;

/** What showed that the upstream has crashed. */
enum class CrashSign : uint8_t
{
  Refused,   ///< It refuses connections after having lost some.
  Restarted, ///< Another run reports itself, and the former did not leave.
};

template<>
struct EnumNames<CrashSign>
{
  static constexpr std::array kNames{
    std::pair{ CrashSign::Refused, std::string_view{ "refused" } },
    std::pair{ CrashSign::Restarted, std::string_view{ "restarted" } },
  };
};

/** Request that was in flight at a crash of the upstream. */
struct CrashedRun
{
  std::string mRequestId;
  std::string mRoute;
  InFlightRequest mSuspect;
  Duration mRunTime{};
};

/** Tells a crash of the upstream from a lost connection: after a loss it
 * connects once more; a refusal means that the process has ended. Keeps the
 * requests whose runs ended shortly before without an answer. Not thread-safe.
 */
class CrashDetector
{
public:
  /** @param aOnRefused called when the upstream refuses a connection after a
   * loss. */
  CrashDetector(EventLoop& aLoop,
                std::string aAddress,
                std::function<void(TimePoint)> aOnRefused);

  /** Records that a run ended without an answer. */
  void RunLost(TimePoint aNow, CrashedRun aRun);
  /** Records that the upstream has answered a run that began at a time: runs
   * lost before that did not end it. */
  void RunAnswered(TimePoint aStarted);
  /** Records that the upstream ended a connection before its answer. */
  void ConnectionLost(TimePoint aNow);
  /** @return the runs that the upstream may have ended with, which are
   * forgotten. */
  std::vector<CrashedRun> TakeLostRuns(TimePoint aNow);
  /** Connects to the upstream if that is due. */
  void Tick(TimePoint aNow);

private:
  struct LostRun
  {
    TimePoint mTime{};
    CrashedRun mRun;
  };

  /** @return whether the upstream has answered a later run. */
  [[nodiscard]] bool IsOutlived(const LostRun& aRun) const;
  [[nodiscard]] bool IsOutdated(TimePoint aNow, const LostRun& aRun) const;
  void EndProbe();

  EventLoop& mLoop;
  std::string mAddress;
  std::function<void(TimePoint)> mOnRefused;
  std::deque<LostRun> mLostRuns; ///< In order of time.
  TimePoint mLatestAnswered{};   ///< Start of the latest run with an answer.
  bool mNeedsProbe = false;      ///< After a lost connection.
  std::unique_ptr<TcpStream> mProbe;
  TimePoint mProbeStart{};
};

} // namespace amaranthgap
