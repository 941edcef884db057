#include "manifest/ManifestPublisher.h"

#include <algorithm>

#include "manifest/ManifestLoader.h"

namespace amaranthgap {

namespace {

/** Read attempts after a write whose outcome is unknown, before the outcome is
 * reported as unclear. */
constexpr int kMaxReadAttempts = 5;

/** Versions between two snapshots. */
constexpr uint64_t kSnapshotInterval = 100;
/** Deltas that a snapshot lists and that stay in the store. */
constexpr uint64_t kMaxHistory = 200;

/** Reads a key, up to kMaxReadAttempts times; reads have no side effects and
 * may be repeated. */
StoreAnswer
ReadWithRetries(KeyValueStore& aStore, const std::string& aKey)
{
  StoreAnswer answer;
  for (int i = 0; i < kMaxReadAttempts; ++i) {
    answer =
      aStore.Execute({ .mOperation = StoreOperation::Read, .mKey = aKey });
    if (answer.mVerdict == StoreVerdict::Done) {
      break;
    }
  }
  return answer;
}

/** Creates a key under which no other publisher writes a different value.
 * @return an empty string if the store holds the value afterwards, else the
 * reason for the failure. */
std::string
WriteOnce(KeyValueStore& aStore,
          const std::string& aKey,
          const std::string& aValue)
{
  const auto answer =
    aStore.Execute({ .mOperation = StoreOperation::CompareAndSwap,
                     .mKey = aKey,
                     .mValue = aValue });
  if (answer.mVerdict == StoreVerdict::Done) {
    return {};
  }
  if (answer.mVerdict == StoreVerdict::NotDone) {
    return answer.mDetail.empty() ? "refused by the store" : answer.mDetail;
  }
  const auto read = answer.mVerdict == StoreVerdict::Conflict
                      ? answer
                      : ReadWithRetries(aStore, aKey);
  if ((read.mVerdict == StoreVerdict::Done ||
       read.mVerdict == StoreVerdict::Conflict) &&
      read.mCurrent.mRevision != 0 && read.mCurrent.mValue == aValue) {
    return {};
  }
  return "not found when read back";
}

/** Deletes a key that nothing refers to. A failure is ignored: the key then
 * stays in the store for good and only takes up space. */
void
Remove(KeyValueStore& aStore, const std::string& aKey)
{
  const auto read =
    aStore.Execute({ .mOperation = StoreOperation::Read, .mKey = aKey });
  if (read.mVerdict == StoreVerdict::Done && read.mCurrent.mRevision != 0) {
    aStore.Execute({ .mOperation = StoreOperation::Delete,
                     .mKey = aKey,
                     .mRevision = read.mCurrent.mRevision });
  }
}

ManifestLoader
LoadManifest(KeyValueStore& aStore)
{
  ManifestLoader load{ {} };
  while (load.GetState() == ManifestLoader::State::Reading) {
    load.Answer(aStore.Execute(load.Next()));
  }
  return load;
}

/** Sets the version and the publisher of the head in the report. */
void
DescribeHead(KeyValueStore& aStore,
             const HeadRecord& aHead,
             PublishReport& aReport)
{
  aReport.mInForce = aHead.mStamp;
  const auto read =
    ReadWithRetries(aStore, DeltaKey(aHead.mStamp.mVersion, aHead.mPublishId));
  if (read.mVerdict == StoreVerdict::Done && read.mCurrent.mRevision != 0) {
    if (const auto delta = ParseDelta(read.mCurrent.mValue)) {
      aReport.mPublisher = delta.value().mPublisher;
    }
  }
}

/** @return whether the delta aOurs is in the chain of deltas that ends at the
 * head, or nothing if the chain cannot be read. */
std::optional<bool>
IsInHistory(KeyValueStore& aStore,
            const HeadRecord& aHead,
            const ManifestDelta& aOurs)
{
  uint64_t version = aHead.mStamp.mVersion;
  std::string id = aHead.mPublishId;
  while (version > aOurs.mTo.mVersion) {
    const auto read = ReadWithRetries(aStore, DeltaKey(version, id));
    if (read.mVerdict != StoreVerdict::Done || read.mCurrent.mRevision == 0) {
      return std::nullopt;
    }
    const auto delta = ParseDelta(read.mCurrent.mValue);
    if (!delta || delta.value().mFrom.mVersion >= version) {
      return std::nullopt;
    }
    version = delta.value().mFrom.mVersion;
    id = delta.value().mPreviousId;
  }
  return version == aOurs.mTo.mVersion && id == aOurs.mPublishId;
}

/** Determines the outcome of an attempt from the head read after it.
 * @return nothing if the head has not changed since before the attempt. */
std::optional<PublishVerdict>
EvaluateHead(KeyValueStore& aStore,
             const StoredValue& aHead,
             uint64_t aRevisionBefore,
             const ManifestDelta& aOurs,
             PublishReport& aReport)
{
  if (aHead.mRevision == aRevisionBefore) {
    return std::nullopt;
  }
  const auto head = ParseHead(aHead.mValue);
  if (!head) {
    aReport.mDetail = head.error().ToString();
    return PublishVerdict::Unclear;
  }
  DescribeHead(aStore, head.value(), aReport);
  const auto ours = IsInHistory(aStore, head.value(), aOurs);
  if (!ours) {
    aReport.mDetail = "the deltas up to the head could not be read";
    return PublishVerdict::Unclear;
  }
  return *ours ? PublishVerdict::Accepted : PublishVerdict::Lost;
}

/** Deletes the deltas and snapshots that the new snapshot no longer lists. */
void
DeleteUnreferenced(KeyValueStore& aStore,
                   const SnapshotRecord& aOld,
                   const SnapshotRecord& aNew)
{
  for (const auto& entry : aOld.mHistory) {
    if (std::find(aNew.mHistory.begin(), aNew.mHistory.end(), entry) ==
        aNew.mHistory.end()) {
      Remove(aStore, DeltaKey(entry.first, entry.second));
    }
  }
  // A slow reader may still need the snapshot that the new one replaces, so
  // only the one before it is deleted.
  if (aOld.mPreviousSnapshot != 0) {
    Remove(aStore, SnapshotKey(aOld.mPreviousSnapshot));
  }
}

SnapshotRecord
MakeSnapshot(const ManifestLoader& aLoad, const ManifestEntries& aEntries)
{
  SnapshotRecord record;
  record.mStamp = aLoad.Head()->mStamp;
  record.mPublishId = aLoad.Head()->mPublishId;
  record.mEntries = aEntries;
  record.mPreviousSnapshot = aLoad.Head()->mSnapshotVersion;
  if (aLoad.Snapshot()) {
    record.mHistory = aLoad.Snapshot()->mHistory;
  }
  for (const auto& delta : aLoad.Deltas()) {
    record.mHistory.emplace_back(delta.mTo.mVersion, delta.mPublishId);
  }
  if (record.mHistory.size() > kMaxHistory) {
    record.mHistory.erase(record.mHistory.begin(),
                          record.mHistory.end() - std::ptrdiff_t(kMaxHistory));
  }
  return record;
}

} // namespace

PublishReport
PublishManifest(KeyValueStore& aStore,
                const ManifestEntries& aEntries,
                const PublishOptions& aOptions)
{
  PublishReport report;
  const auto load = LoadManifest(aStore);
  if (!load.Head() && load.GetState() == ManifestLoader::State::Failed) {
    report.mDetail = load.Detail();
    return report;
  }

  // -- Read the content in force --
  ManifestEntries current;
  HeadRecord head;
  bool readable = true;
  if (load.Head()) {
    head = *load.Head();
    DescribeHead(aStore, head, report);
    auto entries = load.GetState() == ManifestLoader::State::Done
                     ? load.Entries()
                     : Result<ManifestEntries>(
                         Error{ Step::StoreRead, "store", load.Detail() });
    if (entries) {
      current = std::move(entries.value());
    } else {
      // A delta is missing or damaged: the new delta starts from version 0 and
      // sets all entries.
      readable = false;
      report.mDetail = entries.error().ToString();
    }
  }
  const uint64_t digest = ComputeDigest(aEntries);
  if (load.Head() && readable && digest == head.mStamp.mDigest &&
      aOptions.mFleetVersion <= head.mStamp.mVersion) {
    report.mVerdict = PublishVerdict::Unchanged;
    return report;
  }

  // -- Write the delta under its own key --
  HeadRecord next = head;
  next.mStamp = { .mVersion =
                    1 + std::max(head.mStamp.mVersion, aOptions.mFleetVersion),
                  .mDigest = digest };
  next.mPublishId = aOptions.mPublishId;
  auto delta = ComputeDelta(current, aEntries);
  delta.mFrom = readable ? head.mStamp : ManifestStamp{};
  delta.mTo = next.mStamp;
  delta.mPublishId = aOptions.mPublishId;
  delta.mPreviousId = readable ? head.mPublishId : "";
  delta.mPublisher = aOptions.mPublisher;
  delta.mWallMillis = aOptions.mWallMillis;
  const auto deltaKey = DeltaKey(next.mStamp.mVersion, aOptions.mPublishId);
  if (const auto reason = WriteOnce(aStore, deltaKey, SerializeRecord(delta));
      !reason.empty()) {
    report.mDetail = deltaKey + ": " + reason;
    return report;
  }

  // -- Write a snapshot of the version in force, if one is due --
  std::optional<SnapshotRecord> snapshot;
  if (readable && head.mStamp.mVersion != 0 &&
      (load.Deltas().size() >= kSnapshotInterval ||
       head.mStamp.mVersion >= head.mSnapshotVersion + kSnapshotInterval)) {
    snapshot = MakeSnapshot(load, current);
    // All publishers that read this head write the same value.
    if (WriteOnce(
          aStore, SnapshotKey(head.mStamp.mVersion), SerializeRecord(*snapshot))
          .empty()) {
      next.mSnapshotVersion = head.mStamp.mVersion;
    } else {
      snapshot.reset();
    }
  }

  // -- Swap the head --
  const auto swap =
    aStore.Execute({ .mOperation = StoreOperation::CompareAndSwap,
                     .mKey = HeadKey(),
                     .mValue = SerializeRecord(next),
                     .mRevision = load.HeadRevision() });
  switch (swap.mVerdict) {
    case StoreVerdict::Done:
      report.mVerdict = PublishVerdict::Accepted;
      break;
    case StoreVerdict::Conflict:
      report.mVerdict =
        EvaluateHead(aStore, swap.mCurrent, load.HeadRevision(), delta, report)
          .value_or(PublishVerdict::Lost);
      break;
    case StoreVerdict::NotDone:
      report.mVerdict = PublishVerdict::NotDone;
      report.mDetail = swap.mDetail;
      break;
    default:
      report.mVerdict = PublishVerdict::Unclear;
      report.mDetail = "the store could not be read back";
      for (int i = 0; i < kMaxReadAttempts; ++i) {
        const auto read = aStore.Execute(
          { .mOperation = StoreOperation::Read, .mKey = HeadKey() });
        if (read.mVerdict != StoreVerdict::Done) {
          continue;
        }
        if (const auto verdict = EvaluateHead(
              aStore, read.mCurrent, load.HeadRevision(), delta, report)) {
          report.mVerdict = *verdict;
          report.mDetail.clear();
          break;
        }
        report.mDetail =
          "not in force when read back; it may still take effect";
      }
  }
  if (report.mVerdict == PublishVerdict::Accepted) {
    if (report.mInForce.mVersion <= next.mStamp.mVersion) {
      report.mInForce = next.mStamp;
      report.mPublisher = aOptions.mPublisher;
    }
    if (snapshot && load.Snapshot()) {
      DeleteUnreferenced(aStore, *load.Snapshot(), *snapshot);
    }
  } else if (report.mVerdict == PublishVerdict::Lost ||
             report.mVerdict == PublishVerdict::NotDone) {
    Remove(aStore, deltaKey);
  }
  return report;
}

} // namespace amaranthgap
