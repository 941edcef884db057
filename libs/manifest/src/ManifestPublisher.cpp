#include "manifest/ManifestPublisher.h"

#include <algorithm>

#include "manifest/StoreLoad.h"

namespace amaranthgap {

namespace {

/** Reads before an unclear swap is reported as such. */
constexpr int kReadBacks = 5;

constexpr uint64_t kSnapshotEvery = 100;
constexpr uint64_t kDeltasKept = 200;

/** Reads are free of effects and are repeated until they give an answer. */
StoreAnswer
ReadBack(KeyValueStore& aStore, const std::string& aKey)
{
  StoreAnswer answer;
  for (int i = 0; i < kReadBacks; ++i) {
    answer =
      aStore.Execute({ .mOperation = StoreOperation::Read, .mKey = aKey });
    if (answer.mVerdict == StoreVerdict::Done) {
      break;
    }
  }
  return answer;
}

/** Writes a value under a key that no one else writes another value to.
 * @return an empty text when it is there, else the reason. */
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
  const auto read =
    answer.mVerdict == StoreVerdict::Conflict ? answer : ReadBack(aStore, aKey);
  if ((read.mVerdict == StoreVerdict::Done ||
       read.mVerdict == StoreVerdict::Conflict) &&
      read.mCurrent.mRevision != 0 && read.mCurrent.mValue == aValue) {
    return {};
  }
  return "not found when read back";
}

/** Removes what nothing refers to; a failure leaves it for good, which costs
 * space only. */
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

StoreLoad
Load(KeyValueStore& aStore)
{
  StoreLoad load{ {} };
  while (load.GetState() == StoreLoad::State::Reading) {
    load.Answer(aStore.Execute(load.Next()));
  }
  return load;
}

/** Fills in version and publisher of the head. */
void
DescribeHead(KeyValueStore& aStore,
             const HeadRecord& aHead,
             PublishReport& aReport)
{
  aReport.mInForce = aHead.mStamp;
  const auto read =
    ReadBack(aStore, DeltaKey(aHead.mStamp.mVersion, aHead.mPublishId));
  if (read.mVerdict == StoreVerdict::Done && read.mCurrent.mRevision != 0) {
    if (const auto delta = ReadDelta(read.mCurrent.mValue)) {
      aReport.mPublisher = delta.value().mPublisher;
    }
  }
}

/** @return whether the version aOurs of this publish id is among the deltas
 * that lead to the head; nothing when they cannot be read. */
std::optional<bool>
IsInHistory(KeyValueStore& aStore,
            const HeadRecord& aHead,
            const ManifestDelta& aOurs)
{
  uint64_t version = aHead.mStamp.mVersion;
  std::string id = aHead.mPublishId;
  while (version > aOurs.mTo.mVersion) {
    const auto read = ReadBack(aStore, DeltaKey(version, id));
    if (read.mVerdict != StoreVerdict::Done || read.mCurrent.mRevision == 0) {
      return std::nullopt;
    }
    const auto delta = ReadDelta(read.mCurrent.mValue);
    if (!delta || delta.value().mFrom.mVersion >= version) {
      return std::nullopt;
    }
    version = delta.value().mFrom.mVersion;
    id = delta.value().mPreviousId;
  }
  return version == aOurs.mTo.mVersion && id == aOurs.mPublishId;
}

/** Judges a head that was read after an attempt.
 * @return nothing when the head is still the one before the attempt. */
std::optional<PublishVerdict>
Judge(KeyValueStore& aStore,
      const StoredValue& aHead,
      uint64_t aRevisionBefore,
      const ManifestDelta& aOurs,
      PublishReport& aReport)
{
  if (aHead.mRevision == aRevisionBefore) {
    return std::nullopt;
  }
  const auto head = ReadHead(aHead.mValue);
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
CollectGarbage(KeyValueStore& aStore,
               const SnapshotRecord& aOld,
               const SnapshotRecord& aNew)
{
  for (const auto& entry : aOld.mHistory) {
    if (std::find(aNew.mHistory.begin(), aNew.mHistory.end(), entry) ==
        aNew.mHistory.end()) {
      Remove(aStore, DeltaKey(entry.first, entry.second));
    }
  }
  // A slow reader may still need the snapshot before the present one.
  if (aOld.mPreviousSnapshot != 0) {
    Remove(aStore, SnapshotKey(aOld.mPreviousSnapshot));
  }
}

SnapshotRecord
MakeSnapshot(const StoreLoad& aLoad, const ManifestEntries& aEntries)
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
  if (record.mHistory.size() > kDeltasKept) {
    record.mHistory.erase(record.mHistory.begin(),
                          record.mHistory.end() - std::ptrdiff_t(kDeltasKept));
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
  const auto load = Load(aStore);
  if (!load.Head() && load.GetState() == StoreLoad::State::Failed) {
    report.mDetail = load.Detail();
    return report;
  }

  // -- Content in force --
  ManifestEntries current;
  HeadRecord head;
  bool readable = true;
  if (load.Head()) {
    head = *load.Head();
    DescribeHead(aStore, head, report);
    auto entries = load.GetState() == StoreLoad::State::Done
                     ? load.Entries()
                     : Result<ManifestEntries>(
                         Error{ Step::StoreRead, "store", load.Detail() });
    if (entries) {
      current = std::move(entries.value());
    } else {
      // A delta is gone or damaged: the new version is published whole.
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

  // -- Delta under a key of its own --
  HeadRecord next = head;
  next.mStamp = { .mVersion =
                    1 + std::max(head.mStamp.mVersion, aOptions.mFleetVersion),
                  .mDigest = digest };
  next.mPublishId = aOptions.mPublishId;
  auto delta = Difference(current, aEntries);
  delta.mFrom = readable ? head.mStamp : ManifestStamp{};
  delta.mTo = next.mStamp;
  delta.mPublishId = aOptions.mPublishId;
  delta.mPreviousId = readable ? head.mPublishId : "";
  delta.mPublisher = aOptions.mPublisher;
  delta.mWallMillis = aOptions.mWallMillis;
  const auto deltaKey = DeltaKey(next.mStamp.mVersion, aOptions.mPublishId);
  if (const auto reason = WriteOnce(aStore, deltaKey, ToText(delta));
      !reason.empty()) {
    report.mDetail = deltaKey + ": " + reason;
    return report;
  }

  // -- Snapshot of the version in force, when one is due --
  std::optional<SnapshotRecord> snapshot;
  if (readable && head.mStamp.mVersion != 0 &&
      (load.Deltas().size() >= kSnapshotEvery ||
       head.mStamp.mVersion >= head.mSnapshotVersion + kSnapshotEvery)) {
    snapshot = MakeSnapshot(load, current);
    // All publishers that find this head write the same value.
    if (WriteOnce(aStore, SnapshotKey(head.mStamp.mVersion), ToText(*snapshot))
          .empty()) {
      next.mSnapshotVersion = head.mStamp.mVersion;
    } else {
      snapshot.reset();
    }
  }

  // -- Swap of the head --
  const auto swap =
    aStore.Execute({ .mOperation = StoreOperation::CompareAndSwap,
                     .mKey = HeadKey(),
                     .mValue = ToText(next),
                     .mRevision = load.HeadRevision() });
  switch (swap.mVerdict) {
    case StoreVerdict::Done:
      report.mVerdict = PublishVerdict::Accepted;
      break;
    case StoreVerdict::Conflict:
      report.mVerdict =
        Judge(aStore, swap.mCurrent, load.HeadRevision(), delta, report)
          .value_or(PublishVerdict::Lost);
      break;
    case StoreVerdict::NotDone:
      report.mVerdict = PublishVerdict::NotDone;
      report.mDetail = swap.mDetail;
      break;
    default:
      report.mVerdict = PublishVerdict::Unclear;
      report.mDetail = "the store could not be read back";
      for (int i = 0; i < kReadBacks; ++i) {
        const auto read = aStore.Execute(
          { .mOperation = StoreOperation::Read, .mKey = HeadKey() });
        if (read.mVerdict != StoreVerdict::Done) {
          continue;
        }
        if (const auto verdict = Judge(
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
      CollectGarbage(aStore, *load.Snapshot(), *snapshot);
    }
  } else if (report.mVerdict == PublishVerdict::Lost ||
             report.mVerdict == PublishVerdict::NotDone) {
    Remove(aStore, deltaKey);
  }
  return report;
}

} // namespace amaranthgap
