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

  [[nodiscard]] bool IsSameRun(const UpstreamReport& aOther) const
  {
    return mInstance == aOther.mInstance &&
           mStartedMillis == aOther.mStartedMillis;
  }
};

/** Result of processing a report. */
enum class ReportOutcome : uint8_t
{
  Current,     ///< Newer than the latest known report.
  Unconfirmed, ///< Of a run that is not used before its status is checked.
  Stale,       ///< Of a run that has ended, or not newer than its latest one.
  Conflicting, ///< Names another service than the run has.
  OtherHost,   ///< From an upstream that is not beside this node.
};

template<>
struct EnumNames<ReportOutcome>
{
  static constexpr std::array kNames{
    std::pair{ ReportOutcome::Current, std::string_view{ "current" } },
    std::pair{ ReportOutcome::Unconfirmed, std::string_view{ "unconfirmed" } },
    std::pair{ ReportOutcome::Stale, std::string_view{ "stale" } },
    std::pair{ ReportOutcome::Conflicting, std::string_view{ "conflicting" } },
    std::pair{ ReportOutcome::OtherHost, std::string_view{ "other-host" } },
  };
};

/** What an upstream says when its status is checked. */
enum class StatusVerdict : uint8_t
{
  Unknown,  ///< No usable answer.
  Ready,    ///< It considers itself sound and does not leave.
  NotReady, ///< It leaves or fails.
};

template<>
struct EnumNames<StatusVerdict>
{
  static constexpr std::array kNames{
    std::pair{ StatusVerdict::Unknown, std::string_view{ "unknown" } },
    std::pair{ StatusVerdict::Ready, std::string_view{ "ready" } },
    std::pair{ StatusVerdict::NotReady, std::string_view{ "not-ready" } },
  };
};

/** Result of a status check of the upstream. */
struct UpstreamStatus
{
  StatusVerdict mVerdict = StatusVerdict::Unknown;
  std::string mInstance; ///< Of the upstream that answered; empty if unknown.
};

/** Keeps the newest report of the upstream beside a node; reports may arrive in
 * any order, and others than that upstream may write them.
 *
 * A run that began before this node may have announced its end to an earlier
 * process of the node, so its first report does not put it into use: it may be
 * a late one. One that began shortly before is used if there was no such
 * process. Neither does a report end the use of the current run, however
 * late its run claims to have begun. Such a run is confirmed by a status check
 * that names it, or, if checks give no usable answer, by a further report while
 * the current run is silent. Not thread-safe. */
class HeartbeatTracker
{
public:
  struct Options
  {
    std::string mAddress; ///< Of the upstream beside this node.
    std::string mService; ///< Of that upstream, by the settings of the node.
    int64_t mNodeStartedMillis =
      0; ///< Start of this process by the wall clock.
  };

  explicit HeartbeatTracker(Options aOptions);

  ReportOutcome Offer(TimePoint aNow, const UpstreamReport& aReport);
  /** Records that there was no earlier process of this node, at least for some
   * time before its start.
   * @return whether a run is the current one thereby. */
  bool NoEarlierProcess(TimePoint aNow);
  /** Records that a run announced its end, or tells in its answers that it
   * leaves. This also holds for reports of that run that arrive later: a node
   * that has just started knows no run yet.
   * @param aStartedMillis start of the run; 0 if unknown.
   * @return whether it is the current run. */
  bool Ended(TimePoint aNow,
             const std::string& aInstance,
             int64_t aStartedMillis);
  /** Takes the result of a status check.
   * @param aChecked report of the run that was unconfirmed when it began.
   * @return whether that run is confirmed and now the current one. */
  bool StatusChecked(TimePoint aNow,
                     const UpstreamReport& aChecked,
                     const UpstreamStatus& aStatus);

  /** @return the newest report of the current run, or null if there is none. */
  [[nodiscard]] const UpstreamReport* Latest() const;
  /** @return the newest report of a run whose status has to be checked before
   * it is used, or null if there is none. */
  [[nodiscard]] const UpstreamReport* Unconfirmed() const;
  /** @return the service of the upstream; that of the settings while no run is
   * known. */
  [[nodiscard]] const std::string& Service() const;
  /** @return whether a run is known that has announced neither draining nor its
   * end. */
  [[nodiscard]] bool TakesWork() const;

private:
  /** Run that has announced its end. */
  struct EndedRun
  {
    std::string mInstance;
    int64_t mStartedMillis = 0; ///< 0 if unknown.
    TimePoint mTime{};
  };

  /** Run that is not confirmed yet. */
  struct Candidate
  {
    UpstreamReport mReport; ///< The newest.
    uint64_t mFirstSequence = 0;
    TimePoint mFirstHeard{};
    bool mIsNamed = false;  ///< It has answered a status check.
    bool mIsDenied = false; ///< A status check has spoken against it.
  };

  /** @return whether the run of a report has announced its end. */
  [[nodiscard]] bool HasEnded(TimePoint aNow,
                              const UpstreamReport& aReport) const;
  /** @return whether no process of this node before this one can have heard of
   * the end of a run. */
  [[nodiscard]] bool BeganWithNode(const UpstreamReport& aReport) const;
  /** @return whether a run needs no confirmation. */
  [[nodiscard]] bool IsEvident(TimePoint aNow,
                               const UpstreamReport& aReport) const;
  /** @return whether the current run has neither ended nor been silent for
   * long. */
  [[nodiscard]] bool IsCurrentAlive(TimePoint aNow) const;
  /** @return whether a run may have announced its end to an earlier process, so
   * that only its readiness allows its use. */
  [[nodiscard]] bool MustBeReady(TimePoint aNow,
                                 const UpstreamReport& aReport) const;
  /** @return whether a status that names a run may mean the current one. */
  [[nodiscard]] bool NamesCurrent(const UpstreamReport& aReport) const;
  ReportOutcome OfferToCurrent(TimePoint aNow, const UpstreamReport& aReport);
  ReportOutcome OfferCandidate(TimePoint aNow, const UpstreamReport& aReport);
  void SetCurrent(TimePoint aNow, const UpstreamReport& aReport);
  void KeepEnd(TimePoint aNow,
               const std::string& aInstance,
               int64_t aStartedMillis);

  Options mOptions;
  std::optional<UpstreamReport> mLatest; ///< Of the current run.
  TimePoint mLastHeard{};                ///< When that report came.
  std::optional<Candidate> mCandidate;
  std::vector<EndedRun> mEndedRuns; ///< Of other instances; the latest few.
  bool mEnded = false;
  bool mIsFirstProcess = false; ///< There was no earlier one of this node.
};

} // namespace amaranthgap
