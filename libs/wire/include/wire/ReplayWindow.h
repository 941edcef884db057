#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include "base/Ids.h"
#include "base/Time.h"

namespace amaranthgap {

/**
 * Sequence numbers seen from each sender incarnation. Numbers of one sender go
 * to many addressees, so that one receiver sees few of them: the window keeps
 * the latest blocks of 64 numbers that were met, and everything below the
 * oldest kept block counts as seen.
 *
 * Safe for use by several threads.
 */
class ReplayWindow
{
public:
  /** Blocks kept for one sender. */
  static constexpr size_t kBlocks = 256;
  /** A sender that is silent for this long keeps only its highest number. */
  static constexpr Duration kIdle = seconds(60);
  /** Incarnations remembered of one node; older ones are refused. */
  static constexpr size_t kIncarnations = 2;

  /** @return whether the number is new, and records it. */
  bool Accept(TimePoint aNow, const NodeRef& aFrom, uint64_t aSequence);

  /** Reduces the memory of silent senders; to be called every few seconds. */
  void Compact(TimePoint aNow);

  /** @return the number of sender incarnations remembered. */
  [[nodiscard]] size_t GetSenderCount();

private:
  struct Window
  {
    uint64_t mFloorBlock = 0; ///< Blocks below count as seen.
    std::map<uint64_t, uint64_t> mBlocks;
    TimePoint mLastSeen{};
  };

  std::mutex mMutex;
  std::map<NodeId, std::map<Incarnation, Window>> mSenders;
};

} // namespace amaranthgap
