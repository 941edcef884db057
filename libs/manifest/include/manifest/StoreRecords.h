#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/Error.h"
#include "config/Manifest.h"
#include "wire/Messages.h"

namespace amaranthgap {

// Values of the manifest in the store. They are JSON, so that an operator can
// read them with the platform's own tools.

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
  std::string mPublishId; ///< Of the version, to go on walking back.
  ManifestEntries mEntries;
  /** Versions and publish ids of the deltas before it that are kept. */
  std::vector<std::pair<uint64_t, std::string>> mHistory;
  uint64_t mPreviousSnapshot = 0;
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

/** @return what has to change to get from aOld to aNew; stamps are not set. */
ManifestDelta
ComputeDelta(const ManifestEntries& aOld, const ManifestEntries& aNew);
void
ApplyDelta(ManifestEntries& aEntries, const ManifestDelta& aDelta);

} // namespace amaranthgap
