#pragma once

#include <optional>
#include <string>
#include <vector>

#include "manifest/StoreRecords.h"
#include "platform/KeyValueStore.h"

namespace amaranthgap {

/**
 * Loads the manifest from the store: reads the deltas from the head backwards
 * until one starts at the version already held, at version 0 or at the
 * snapshot. Issues reads only, so each request may be repeated. Not
 * thread-safe.
 */
class ManifestLoader
{
public:
  enum class State : uint8_t
  {
    Reading,
    Done,
    Absent, ///< The store has no head: nothing has been published.
    Failed, ///< See Detail().
  };

  /** @param aHave version already held, where reading stops.
   *  @param aHead the head if it is already known; otherwise it is read. */
  explicit ManifestLoader(ManifestStamp aHave,
                          std::optional<HeadRecord> aHead = {});

  /** @return the next request; only valid while reading. */
  [[nodiscard]] StoreRequest Next() const;
  /** Handles the answer to the request returned by Next(). */
  void Answer(const StoreAnswer& aAnswer);

  [[nodiscard]] State GetState() const { return mState; }
  [[nodiscard]] const std::string& Detail() const { return mDetail; }
  /** @return the head, or nothing until it has been read. */
  [[nodiscard]] const std::optional<HeadRecord>& Head() const { return mHead; }
  /** @return the store revision of the head; 0 if this object has not read it.
   */
  [[nodiscard]] uint64_t HeadRevision() const { return mHeadRevision; }
  /** @return the deltas in ascending order; they start from the snapshot if one
   * was read. */
  [[nodiscard]] const std::vector<ManifestDelta>& Deltas() const
  {
    return mDeltas;
  }
  [[nodiscard]] const std::optional<SnapshotRecord>& Snapshot() const
  {
    return mSnapshot;
  }
  /** @return the entries of the head, built from the snapshot and the deltas,
   * or an error if a digest does not match. Requires a load from version 0. */
  [[nodiscard]] Result<ManifestEntries> Entries() const;

private:
  void Fail(std::string aDetail);
  /** Selects the next key to read, or ends the load. */
  void SelectNextRead();

  ManifestStamp mHave;
  State mState = State::Reading;
  std::string mDetail;
  std::optional<HeadRecord> mHead;
  uint64_t mHeadRevision = 0;
  std::vector<ManifestDelta> mDeltas; ///< In descending order while reading.
  std::optional<SnapshotRecord> mSnapshot;
  uint64_t mNextVersion = 0; ///< Version of the next delta to read.
  std::string mNextId;       ///< Publish id of that delta.
  bool mWantSnapshot = false;
  uint32_t mFailures = 0; ///< Consecutive failed reads.
};

} // namespace amaranthgap
