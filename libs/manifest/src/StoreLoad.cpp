#include "manifest/StoreLoad.h"

#include <algorithm>

namespace amaranthgap {

namespace {

/** A snapshot is written every 100 versions; a longer chain means that the
 * publishers failed to write it. */
constexpr size_t kMaxDeltas = 400;

/** Reads without an answer in a row before the load is given up. */
constexpr uint32_t kMaxFailures = 3;

} // namespace

StoreLoad::StoreLoad(ManifestStamp aHave, std::optional<HeadRecord> aHead)
  : mHave(aHave)
  , mHead(std::move(aHead))
{
  if (mHead) {
    mNextVersion = mHead->mStamp.mVersion;
    mNextId = mHead->mPublishId;
    StepBack();
  }
}

StoreRequest
StoreLoad::Next() const
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
StoreLoad::Answer(const StoreAnswer& aAnswer)
{
  if (mState != State::Reading) {
    return;
  }
  if (aAnswer.mVerdict != StoreVerdict::Done) {
    if (++mFailures >= kMaxFailures) {
      Fail("store read: " + aAnswer.mDetail);
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
    auto head = ReadHead(value.mValue);
    if (!head) {
      Fail(head.error().ToString());
      return;
    }
    mHeadRevision = value.mRevision;
    mHead = head.value();
    mNextVersion = mHead->mStamp.mVersion;
    mNextId = mHead->mPublishId;
    StepBack();
    return;
  }
  if (value.mRevision == 0) {
    Fail(Next().mKey + " is missing");
    return;
  }
  if (mWantSnapshot) {
    auto snapshot = ReadSnapshot(value.mValue);
    if (!snapshot) {
      Fail(snapshot.error().ToString());
      return;
    }
    mSnapshot = std::move(snapshot.value());
    std::reverse(mDeltas.begin(), mDeltas.end());
    mState = State::Done;
    return;
  }
  auto delta = ReadDelta(value.mValue);
  if (!delta) {
    Fail(delta.error().ToString());
    return;
  }
  mDeltas.push_back(std::move(delta.value()));
  const auto& read = mDeltas.back();
  if (read.mTo.mVersion != mNextVersion ||
      read.mFrom.mVersion >= read.mTo.mVersion) {
    Fail(Next().mKey + " names other versions");
    return;
  }
  mNextVersion = read.mFrom.mVersion;
  mNextId = read.mPreviousId;
  StepBack();
}

void
StoreLoad::StepBack()
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
    Fail("deltas do not lead to the snapshot");
  }
}

void
StoreLoad::Fail(std::string aDetail)
{
  mState = State::Failed;
  mDetail = std::move(aDetail);
}

Result<ManifestEntries>
StoreLoad::Entries() const
{
  ManifestEntries entries;
  if (mSnapshot) {
    entries = mSnapshot->mEntries;
    if (ComputeDigest(entries) != mSnapshot->mStamp.mDigest) {
      return Error{ Step::Verify, "store", "digest of the snapshot" };
    }
  }
  for (const auto& delta : mDeltas) {
    ApplyDelta(entries, delta);
    if (ComputeDigest(entries) != delta.mTo.mDigest) {
      return Error{ Step::Verify,
                    "store",
                    "digest of version " + std::to_string(delta.mTo.mVersion) };
    }
  }
  return entries;
}

} // namespace amaranthgap
