#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Error.h"
#include "config/Manifest.h"
#include "wire/Messages.h"

namespace amaranthgap {

// Values that hold the manifest in the store. They are JSON, so that an
// operator can read them with the platform's own tools.

/** Value of `manifest/head`. */
struct HeadRecord
{
  ManifestStamp mStamp;
  std::string mPublishId;
  uint64_t mSnapshotVersion = 0; ///< 0: no snapshot yet.
};

/** Value of `manifest/snapshot/<version>`. */
struct SnapshotRecord
{
  ManifestStamp mStamp;
  std::string mPublishId; ///< Of this version; names its delta.
  ManifestEntries mEntries;
  /** Versions and publish ids of the deltas up to this version that stay in the
   * store. */
  std::vector<std::pair<uint64_t, std::string>> mHistory;
  uint64_t mPreviousSnapshot = 0; ///< Version; 0: there is none.
};

const std::string&
HeadKey();
std::string
DeltaKey(uint64_t aVersion, const std::string& aPublishId);
std::string
SnapshotKey(uint64_t aVersion);

std::string
SerializeRecord(const HeadRecord& aRecord);
std::string
SerializeRecord(const ManifestDelta& aDelta);
std::string
SerializeRecord(const SnapshotRecord& aRecord);

Result<HeadRecord>
ParseHead(const std::string& aText);
Result<ManifestDelta>
ParseDelta(const std::string& aText);
Result<SnapshotRecord>
ParseSnapshot(const std::string& aText);

/** @return the delta that turns aOld into aNew, without stamps. */
ManifestDelta
ComputeDelta(const ManifestEntries& aOld, const ManifestEntries& aNew);
void
ApplyDelta(ManifestEntries& aEntries, const ManifestDelta& aDelta);

} // namespace amaranthgap
