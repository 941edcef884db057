#pragma once

#include <optional>
#include <string>
#include <vector>

#include "manifest/StoreRecords.h"
#include "platform/KeyValueStore.h"

namespace amaranthgap {

/**
 * Reads the manifest from the store: walks the deltas back from the head until
 * one starts at the version already held, at version 0 or at the snapshot.
 * Reads only, so every call may be repeated. Not safe for use by several
 * threads.
 */
class ManifestLoader
{
public:
  enum class State : uint8_t
  {
    Reading,
    Done,
    Absent, ///< No manifest has ever been published.
    Failed, ///< See Detail().
  };

  /** @param aHave version held; reading stops there.
   *  @param aHead head that is known already, or nothing to read it first. */
  explicit ManifestLoader(ManifestStamp aHave,
                          std::optional<HeadRecord> aHead = {});

  /** @return the next call, while reading. */
  [[nodiscard]] StoreRequest Next() const;
  void Answer(const StoreAnswer& aAnswer);

  [[nodiscard]] State GetState() const { return mState; }
  [[nodiscard]] const std::string& Detail() const { return mDetail; }
  /** @return the head; final once it has been read. */
  [[nodiscard]] const std::optional<HeadRecord>& Head() const { return mHead; }
  [[nodiscard]] uint64_t HeadRevision() const { return mHeadRevision; }
  /** @return deltas in order; they follow the snapshot if there is one. */
  [[nodiscard]] const std::vector<ManifestDelta>& Deltas() const
  {
    return mDeltas;
  }
  [[nodiscard]] const std::optional<SnapshotRecord>& Snapshot() const
  {
    return mSnapshot;
  }
  /** @return entries of the head, built from snapshot and deltas and verified
   * against each digest. Only when started from version 0. */
  [[nodiscard]] Result<ManifestEntries> Entries() const;

private:
  void Fail(std::string aDetail);
  void StepBack();

  ManifestStamp mHave;
  State mState = State::Reading;
  std::string mDetail;
  std::optional<HeadRecord> mHead;
  uint64_t mHeadRevision = 0;
  std::vector<ManifestDelta> mDeltas; ///< Newest first while reading.
  std::optional<SnapshotRecord> mSnapshot;
  uint64_t mNextVersion = 0; ///< Delta to be read next.
  std::string mNextId;
  bool mWantSnapshot = false;
  uint32_t mFailures = 0;
};

} // namespace amaranthgap
