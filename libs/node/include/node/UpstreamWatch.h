#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/EnumNames.h"
#include "node/Actions.h"

namespace amaranthgap {

enum class UpstreamState : uint8_t
{
  Unknown, ///< Never announced.
  Up,
  Leaving,
  Down, ///< Crashed, or not announced for some time.
};

template<>
struct EnumNames<UpstreamState>
{
  static constexpr std::array kNames{
    std::pair{ UpstreamState::Unknown, std::string_view{ "unknown" } },
    std::pair{ UpstreamState::Up, std::string_view{ "up" } },
    std::pair{ UpstreamState::Leaving, std::string_view{ "leaving" } },
    std::pair{ UpstreamState::Down, std::string_view{ "down" } },
  };
};

/** State of the upstream on this host, from its announcements and from how
 * calls to it end. Not safe for use by several threads. */
class UpstreamWatch
{
public:
  /** @return whether this is a run that was not known before. */
  bool Announced(TimePoint aNow, const Announcement& aAnnouncement);
  /** @return whether the announcements stopped just now. */
  bool Tick(TimePoint aNow);

  /** A call was broken off after something was sent.
   * @param aRunning other executions that are still at the upstream. */
  void Broken(TimePoint aNow,
              ExecutionId aExecution,
              uint64_t aFingerprint,
              const std::set<ExecutionId>& aRunning);
  /** A call got its complete answer, so the upstream has not crashed. */
  void Answered(ExecutionId aExecution);
  /** A call ended in another way. */
  void Ended(ExecutionId aExecution) { mStillRunning.erase(aExecution); }
  /** The upstream took no connection. */
  void NotConnected(TimePoint aNow);

  /** @return whether the calls in flight at the first broken one are all
   * broken, or connections are refused after a broken call. */
  [[nodiscard]] bool HasCrashed(TimePoint aNow) const;
  /** Marks the upstream as down until the next announcement. */
  void SetCrashed();
  /** @return fingerprints of the calls broken lately; forgets them. */
  std::vector<uint64_t> TakeBroken(TimePoint aNow);

  /** @return the state; an upstream whose announcements are overdue counts as
   * down before the next Tick, which matters when the node was paused. */
  [[nodiscard]] UpstreamState State(TimePoint aNow) const;
  [[nodiscard]] const Announcement& Last() const { return mLast; }

private:
  struct BrokenCall
  {
    TimePoint mTime;
    uint64_t mFingerprint = 0;
  };

  UpstreamState mState = UpstreamState::Unknown;
  Announcement mLast;
  TimePoint mLastTime;
  bool mCrashed = false;
  bool mIsRefusing = false;
  std::deque<BrokenCall> mBroken;
  /** Executions that ran at the first broken call of this episode. */
  std::optional<TimePoint> mEpisode;
  std::set<ExecutionId> mStillRunning;
};

} // namespace amaranthgap
