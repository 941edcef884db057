#pragma once

#include <optional>

#include "StoreCalls.h"
#include "manifest/ManifestLoader.h"
#include "manifest/ManifestReplica.h"

namespace amaranthgap {

/** Follows the head of the manifest in the store: watches it while elected, and
 * loads newer versions. Not safe for use by several threads. */
class HeadWatch
{
public:
  explicit HeadWatch(uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  /** @param aElected whether this node is to watch. */
  void Tick(TimePoint aNow,
            bool aElected,
            ManifestReplica& aReplica,
            StoreCalls& aStore,
            PeerOutput& aOut,
            Actions& aActions);
  /** Reads the head once, as a new node does. */
  void ReadHeadOnce(TimePoint aNow, StoreCalls& aStore, Actions& aActions);
  /** Loads the head that was read last, when it is above the version held. */
  void LoadHead(TimePoint aNow, const ManifestReplica& aReplica);

  /** Takes the answer to a read or watch of the head. */
  void HeadAnswered(TimePoint aNow,
                    const StoreAnswer& aAnswer,
                    bool aWatched,
                    ManifestReplica& aReplica,
                    PeerOutput& aOut);
  void LoadAnswered(TimePoint aNow,
                    const StoreAnswer& aAnswer,
                    ManifestReplica& aReplica,
                    PeerOutput& aOut);

  /** @return the head as read last; nothing before the first answer. */
  [[nodiscard]] const std::optional<HeadRecord>& Head() const { return mHead; }
  /** @return whether the store has answered a read of the head. */
  [[nodiscard]] bool HasAnswer() const { return mAnswered; }

private:
  void FinishLoad(TimePoint aNow, ManifestReplica& aReplica, PeerOutput& aOut);

  Rng mRng;
  std::optional<HeadRecord> mHead;
  uint64_t mRevision = 0;
  bool mAnswered = false;
  bool mReadNext = false; ///< The last watch ended without a change.
  TimePoint mNextWatch{};
  std::optional<ManifestLoader> mLoad;
  TimePoint mNextLoad{};
  bool mLoadWhole = false; ///< Deltas did not follow on the version held.
  uint64_t mReportedBehind = 0;
};

} // namespace amaranthgap
