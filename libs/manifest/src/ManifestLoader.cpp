#include "manifest/ManifestLoader.h"

#include <algorithm>

namespace amaranthgap {

namespace {

/** Longest chain of deltas that is read. Publishers write a snapshot every 100
 * versions, so a longer chain means that they repeatedly failed to write one.
 */
constexpr size_t kMaxDeltas = 400;

/** Consecutive failed reads after which the load fails. */
constexpr uint32_t kMaxFailures = 3;

} // namespace

ManifestLoader::ManifestLoader(ManifestStamp aHave,
                               std::optional<HeadRecord> aHead)
  : mHave(aHave)
  , mHead(std::move(aHead))
{
  if (mHead) {
    mNextVersion = mHead->mStamp.mVersion;
    mNextId = mHead->mPublishId;
    SelectNextRead();
  }
}

StoreRequest
ManifestLoader::Next() const
{
  StoreRequest request{ .mOperation = StoreOperation::Read };
  if (!mHead) {
    request.mKey = HeadKey();
  } else if (mWantSnapshot) {
    request.mKey = SnapshotKey(mHead->mSnapshotVersion);
  } else {
    request.mKey = DeltaKey(mNextVersion, mNextId);
  }
  return request;
}

void
ManifestLoader::Answer(const StoreAnswer& aAnswer)
{
  if (mState != State::Reading) {
    return;
  }
  if (aAnswer.mVerdict != StoreVerdict::Done) {
    if (++mFailures >= kMaxFailures) {
      Fail("store read failed: " + aAnswer.mDetail);
    }
    return;
  }
  mFailures = 0;
  const auto& value = aAnswer.mCurrent;
  if (!mHead) {
    if (value.mRevision == 0) {
      mState = State::Absent;
      return;
    }
    auto head = ParseHead(value.mValue);
    if (!head) {
      Fail(head.error().ToString());
      return;
    }
    mHeadRevision = value.mRevision;
    mHead = head.value();
    mNextVersion = mHead->mStamp.mVersion;
    mNextId = mHead->mPublishId;
    SelectNextRead();
    return;
  }
  if (value.mRevision == 0) {
    Fail(Next().mKey + " is missing in the store");
    return;
  }
  if (mWantSnapshot) {
    auto snapshot = ParseSnapshot(value.mValue);
    if (!snapshot) {
      Fail(snapshot.error().ToString());
      return;
    }
    mSnapshot = std::move(snapshot.value());
    std::reverse(mDeltas.begin(), mDeltas.end());
    mState = State::Done;
    return;
  }
  auto delta = ParseDelta(value.mValue);
  if (!delta) {
    Fail(delta.error().ToString());
    return;
  }
  mDeltas.push_back(std::move(delta.value()));
  const auto& read = mDeltas.back();
  if (read.mTo.mVersion != mNextVersion ||
      read.mFrom.mVersion >= read.mTo.mVersion) {
    Fail(Next().mKey + " has unexpected versions");
    return;
  }
  mNextVersion = read.mFrom.mVersion;
  mNextId = read.mPreviousId;
  SelectNextRead();
}

void
ManifestLoader::SelectNextRead()
{
  const bool complete =
    mNextVersion == 0 ||
    (!mDeltas.empty() ? mDeltas.back().mFrom == mHave : mHead->mStamp == mHave);
  if (complete) {
    std::reverse(mDeltas.begin(), mDeltas.end());
    mState = State::Done;
  } else if (mNextVersion == mHead->mSnapshotVersion) {
    mWantSnapshot = true;
  } else if (mNextVersion < mHead->mSnapshotVersion ||
             mDeltas.size() >= kMaxDeltas) {
    Fail("chain of deltas does not reach the snapshot");
  }
}

void
ManifestLoader::Fail(std::string aDetail)
{
  mState = State::Failed;
  mDetail = std::move(aDetail);
}

Result<ManifestEntries>
ManifestLoader::Entries() const
{
  ManifestEntries entries;
  if (mSnapshot) {
    entries = mSnapshot->mEntries;
    if (ComputeDigest(entries) != mSnapshot->mStamp.mDigest) {
      return Error{ Step::Verify,
                    "store",
                    "content of the snapshot does not match its digest" };
    }
  }
  for (const auto& delta : mDeltas) {
    ApplyDelta(entries, delta);
    if (ComputeDigest(entries) != delta.mTo.mDigest) {
      return Error{ Step::Verify,
                    "store",
                    "content does not match the digest of version " +
                      std::to_string(delta.mTo.mVersion) };
    }
  }
  return entries;
}

} // namespace amaranthgap
