#include "HeadWatch.h"

namespace amaranthgap {

namespace {

/** Longest wait of one watch. After it the head is read once, so that a store
 * restored from a backup, whose revisions went back, is noticed. */
constexpr Duration kWatchTime = seconds(20);

/** Shortest time between two watches, against a store that answers at once. */
constexpr Duration kWatchPause = milliseconds(100);

constexpr Duration kLoadRetry = seconds(2);

} // namespace

void
HeadWatch::Tick(TimePoint aNow,
                bool aElected,
                ManifestReplica& aReplica,
                StoreCalls& aStore,
                PeerOutput& /*aOut*/,
                Actions& aActions)
{
  if (!aStore.MayCall(aNow)) {
    return;
  }
  if (aElected && !aStore.IsPending(StoreCalls::Purpose::HeadWatch) &&
      !aStore.IsPending(StoreCalls::Purpose::HeadRead) && aNow >= mNextWatch) {
    mNextWatch = aNow + kWatchPause;
    if (mReadNext) {
      ReadHeadOnce(aNow, aStore, aActions);
    } else {
      aStore.Start(aNow,
                   StoreCalls::Purpose::HeadWatch,
                   { .mOperation = StoreOperation::Watch,
                     .mKey = HeadKey(),
                     .mRevision = mRevision,
                     .mTimeout = kWatchTime },
                   aActions);
    }
  }
  if (aElected && !mLoad) {
    LoadHead(aNow, aReplica);
  }
  if (mLoad && !aStore.IsPending(StoreCalls::Purpose::LoadRead)) {
    aStore.Start(aNow, StoreCalls::Purpose::LoadRead, mLoad->Next(), aActions);
  }
}

void
HeadWatch::ReadHeadOnce(TimePoint aNow, StoreCalls& aStore, Actions& aActions)
{
  mReadNext = false;
  aStore.Start(aNow,
               StoreCalls::Purpose::HeadRead,
               { .mOperation = StoreOperation::Read, .mKey = HeadKey() },
               aActions);
}

void
HeadWatch::LoadHead(TimePoint aNow, const ManifestReplica& aReplica)
{
  if (mLoad || !mHead || aNow < mNextLoad ||
      mHead->mStamp.mVersion <= aReplica.Stamp().mVersion) {
    return;
  }
  mNextLoad = aNow + FromSeconds(ToSeconds(kLoadRetry) * mRng.Uniform(1, 2));
  mLoad.emplace(mLoadWhole ? ManifestStamp{} : aReplica.Stamp(), mHead);
}

void
HeadWatch::HeadAnswered(TimePoint aNow,
                        const StoreAnswer& aAnswer,
                        bool aWatched,
                        ManifestReplica& aReplica,
                        PeerOutput& aOut)
{
  if (aAnswer.mVerdict == StoreVerdict::Unchanged) {
    mAnswered = true;
    mReadNext = aWatched;
    return;
  }
  if (aAnswer.mVerdict != StoreVerdict::Done) {
    return;
  }
  mAnswered = true;
  mRevision = aAnswer.mCurrent.mRevision;
  if (mRevision == 0) {
    mHead.reset();
    mNextWatch = aNow + FromSeconds(mRng.Uniform(0.5, 1.5));
    return;
  }
  const auto head = ParseHead(aAnswer.mCurrent.mValue);
  if (!head) {
    aOut.mAudit.push_back({ .mKind = AuditKind::ManifestRefused,
                            .mSubject = HeadKey(),
                            .mCause = head.error().ToString(),
                            .mPeer = "store" });
    return;
  }
  mHead = head.value();
  const auto& stamp = mHead->mStamp;
  const auto own = aReplica.Stamp();
  if (stamp.mVersion < own.mVersion) {
    if (mReportedBehind != stamp.mVersion) {
      mReportedBehind = stamp.mVersion;
      aOut.mAudit.push_back(
        { .mKind = AuditKind::StoreBehind,
          .mSubject = "version " + std::to_string(stamp.mVersion),
          .mCause = "in force is version " + std::to_string(own.mVersion),
          .mPeer = "store" });
    }
    return;
  }
  mReportedBehind = 0;
  aReplica.RecordKnownVersion(stamp.mVersion);
  if (stamp.mVersion == own.mVersion) {
    aReplica.HandlePeerStamp(
      aNow, stamp, { .mNode = { .mId = { "store" } } }, aOut);
    return;
  }
  mNextLoad = aNow;
}

void
HeadWatch::LoadAnswered(TimePoint aNow,
                        const StoreAnswer& aAnswer,
                        ManifestReplica& aReplica,
                        PeerOutput& aOut)
{
  if (!mLoad) {
    return;
  }
  mLoad->Answer(aAnswer);
  if (mLoad->GetState() == ManifestLoader::State::Done) {
    FinishLoad(aNow, aReplica, aOut);
    mLoad.reset();
  } else if (mLoad->GetState() != ManifestLoader::State::Reading) {
    aOut.mAudit.push_back({ .mKind = AuditKind::ManifestRefused,
                            .mSubject = HeadKey(),
                            .mCause = mLoad->Detail(),
                            .mPeer = "store" });
    mLoad.reset();
  }
}

void
HeadWatch::FinishLoad(TimePoint aNow,
                      ManifestReplica& aReplica,
                      PeerOutput& aOut)
{
  const auto stamp = mLoad->Head()->mStamp;
  if (stamp.mVersion <= aReplica.Stamp().mVersion) {
    return; // Peers were faster.
  }
  const auto& deltas = mLoad->Deltas();
  if (!mLoad->Snapshot() && aReplica.ApplyDeltas(aNow, deltas, "store", aOut)) {
    mLoadWhole = false;
    return;
  }
  if (!mLoad->Snapshot() &&
      (deltas.empty() || deltas.front().mFrom.mVersion != 0)) {
    // The version held is on another line of versions, as after a restore of
    // the store: the whole content is loaded.
    mLoadWhole = true;
    mNextLoad = aNow;
    return;
  }
  auto entries = mLoad->Entries();
  if (!entries) {
    aOut.mAudit.push_back(
      { .mKind = AuditKind::ManifestRefused,
        .mSubject = "version " + std::to_string(stamp.mVersion),
        .mCause = entries.error().ToString(),
        .mPeer = "store" });
    return;
  }
  mLoadWhole = false;
  aReplica.ApplyFullManifest(
    aNow, stamp, std::move(entries.value()), "store", aOut);
}

} // namespace amaranthgap
