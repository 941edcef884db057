#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/EnumNames.h"
#include "base/Time.h"

namespace amaranthgap {

/** Status that the upstream beside a node reports to it. */
struct UpstreamReport
{
  std::string mInstance; ///< Instance identifier; successive runs may reuse it.
  std::string mService;
  std::string mAddress;
  uint32_t mSlots = 0;
  bool mDraining = false;
  Duration mColdRemaining{};  ///< Remaining warm-up time after the start.
  int64_t mStartedMillis = 0; ///< Start time by the upstream's wall clock.
  uint64_t mSequence = 0;     ///< Increases with each report of a run.
};

/** Result of processing a report. */
enum class ReportOutcome : uint8_t
{
  Current,   ///< Newer than the latest known report.
  Stale,     ///< From an earlier run, or not newer than the latest report.
  OtherHost, ///< From an upstream that is not beside this node.
};

template<>
struct EnumNames<ReportOutcome>
{
  static constexpr std::array kNames{
    std::pair{ ReportOutcome::Current, std::string_view{ "current" } },
    std::pair{ ReportOutcome::Stale, std::string_view{ "stale" } },
    std::pair{ ReportOutcome::OtherHost, std::string_view{ "other-host" } },
  };
};

/** Keeps the newest report of the upstream beside a node; reports may arrive in
 * any order. Not thread-safe. */
class HeartbeatTracker
{
public:
  /** @param aAddress of the upstream beside this node. */
  explicit HeartbeatTracker(std::string aAddress);

  ReportOutcome Offer(TimePoint aNow, const UpstreamReport& aReport);
  /** Records that a run announced its end, or tells in its answers that it
   * leaves. This also holds for reports of that run that arrive later: a node
   * that has just started knows no run yet.
   * @param aStartedMillis start of the run; 0 if unknown.
   * @return whether it is the current run. */
  bool Ended(TimePoint aNow,
             const std::string& aInstance,
             int64_t aStartedMillis);

  /** @return the newest report, or null if there is none. */
  [[nodiscard]] const UpstreamReport* Latest() const;
  [[nodiscard]] TimePoint LastHeard() const { return mLastHeard; }
  /** @return whether a report is known and the upstream has announced neither
   * draining nor its end. */
  [[nodiscard]] bool TakesWork() const;

private:
  /** Run that has announced its end. */
  struct EndedRun
  {
    std::string mInstance;
    int64_t mStartedMillis = 0; ///< 0 if unknown.
    TimePoint mTime{};
  };

  /** @return whether the run of a report has announced its end. */
  [[nodiscard]] bool HasEnded(TimePoint aNow,
                              const UpstreamReport& aReport) const;

  std::string mAddress;
  std::optional<UpstreamReport> mLatest;
  std::vector<EndedRun> mEndedRuns; ///< Of other instances; the latest few.
  TimePoint mLastHeard{};
  bool mEnded = false;
};

} // namespace amaranthgap
