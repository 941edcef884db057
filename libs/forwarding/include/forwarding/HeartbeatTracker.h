#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/EnumNames.h"
#include "base/Time.h"

namespace amaranthgap {

/** What the upstream beside a node says of itself. */
struct UpstreamReport
{
  std::string mInstance; ///< Identifies one run, or several in a row.
  std::string mService;
  std::string mAddress;
  uint32_t mSlots = 0;
  bool mDraining = false;
  Duration mColdRemaining{};  ///< How much longer it is slow after its start.
  int64_t mStartedMillis = 0; ///< Its own wall clock at its start.
  uint64_t mSequence = 0;     ///< Rises with each report of one run.
};

/** What became of a report. */
enum class ReportOutcome : uint8_t
{
  Current,   ///< Newer than what was known.
  Stale,     ///< Delayed: of an earlier run, or older than one that came.
  OtherHost, ///< Of an upstream that is not beside this node.
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

/** Keeps the newest report of the upstream beside a node, in whatever order
 * reports arrive. Not safe for use by several threads. */
class HeartbeatTracker
{
public:
  /** @param aAddress of the upstream beside this node. */
  explicit HeartbeatTracker(std::string aAddress);

  ReportOutcome Offer(TimePoint aNow, const UpstreamReport& aReport);
  /** Notes that the run named has said that it ends.
   * @return whether it is the run known here. */
  bool Ended(const std::string& aInstance);

  /** @return the newest report, or null before the first one. */
  [[nodiscard]] const UpstreamReport* Latest() const;
  [[nodiscard]] TimePoint LastHeard() const { return mLastHeard; }
  /** @return whether it has not said that it leaves. */
  [[nodiscard]] bool TakesWork() const;

private:
  std::string mAddress;
  std::optional<UpstreamReport> mLatest;
  TimePoint mLastHeard{};
  bool mEnded = false;
};

} // namespace amaranthgap
