#include "manifest/ManifestReplica.h"

#include <algorithm>

#include "manifest/StoreRecords.h"

namespace amaranthgap {

namespace {

/** Limits on the deltas that are kept for lagging peers. */
constexpr size_t kMaxDeltas = 256;
constexpr size_t kMaxDeltaBytes = size_t{ 1024 } * 1024;

/** Full pages per second that a node sends at most to all requesters together;
 * kPageInterval keeps a single requester below this rate. */
constexpr uint32_t kPagesPerSecond = 4;
constexpr Duration kPageInterval = milliseconds(300);

/** Token bucket of a node for answers to pulls: the burst admits a full
 * manifest of 1 MB; the rate is 4 KB/s out of the 9 KB/s for control traffic.
 */
constexpr double kMaxBudgetBytes = 1.5 * 1024 * 1024;
constexpr double kBudgetBytesPerSecond = 4000;

/** Time for which a version stays pinned: enough for a transfer of 1 MB at the
 * page rate above, with some retries. */
constexpr Duration kPinDuration = seconds(60);
constexpr size_t kMaxPinned = 2;

/** Peers with a newer version that are remembered as alternatives for a pull.
 */
constexpr size_t kMaxNewerPeers = 4;

/** Time after which a version that this build cannot parse is pulled again. A
 * newer version usually arrives before that. */
constexpr Duration kRefusedRetryPeriod = seconds(60);

template<class T>
size_t
PackedBytes(const T& aValue)
{
  msgpack::sbuffer buf;
  msgpack::pack(buf, aValue);
  return buf.size();
}

std::string
Describe(const ManifestStamp& aStamp)
{
  return "version " + std::to_string(aStamp.mVersion) + " digest " +
         std::to_string(aStamp.mDigest);
}

} // namespace

ManifestReplica::ManifestReplica(Options aOptions)
  : mOptions(aOptions)
  , mRng(aOptions.mSeed)
  , mEntries(std::make_shared<const ManifestEntries>())
  , mBudgetBytes(kMaxBudgetBytes)
{
}

// -- Newer versions ----------------------------------------------------------

bool
ManifestReplica::ApplyDeltas(TimePoint aNow,
                             const std::vector<ManifestDelta>& aDeltas,
                             const std::string& aSource,
                             PeerOutput& aOut)
{
  std::shared_ptr<ManifestEntries> entries;
  ManifestStamp stamp = mStamp;
  std::vector<const ManifestDelta*> applied;
  for (const auto& delta : aDeltas) {
    RecordKnownVersion(delta.mTo.mVersion);
    if (delta.mTo.mVersion <= stamp.mVersion && mOptions.mCheckVersion) {
      continue;
    }
    const bool isFull = delta.mFrom.mVersion == 0;
    if (!isFull && delta.mFrom != stamp) {
      continue;
    }
    if (isFull) {
      entries = std::make_shared<ManifestEntries>();
    } else if (!entries) {
      entries = std::make_shared<ManifestEntries>(*mEntries);
    }
    ApplyDelta(*entries, delta);
    if (mOptions.mCheckDigest && ComputeDigest(*entries) != delta.mTo.mDigest) {
      aOut.mAudit.push_back(
        { .mKind = AuditKind::ManifestRefused,
          .mSubject = Describe(delta.mTo),
          .mCause = "content after the delta does not match its digest",
          .mPeer = aSource });
      mNeedsFullManifest = true;
      return false;
    }
    stamp = delta.mTo;
    applied.push_back(&delta);
  }
  if (applied.empty() || !Install(aNow, stamp, entries, aSource, aOut)) {
    return false;
  }
  for (const auto* delta : applied) {
    KeepDelta(*delta);
  }
  return true;
}

bool
ManifestReplica::ApplyFullManifest(TimePoint aNow,
                                   const ManifestStamp& aStamp,
                                   ManifestEntries aEntries,
                                   const std::string& aSource,
                                   PeerOutput& aOut)
{
  RecordKnownVersion(aStamp.mVersion);
  if (aStamp.mVersion <= mStamp.mVersion && mOptions.mCheckVersion) {
    return false;
  }
  if (mOptions.mCheckDigest && ComputeDigest(aEntries) != aStamp.mDigest) {
    Refuse(aNow, aStamp, "content does not match its digest", aSource, aOut);
    return false;
  }
  if (!Install(aNow,
               aStamp,
               std::make_shared<const ManifestEntries>(std::move(aEntries)),
               aSource,
               aOut)) {
    return false;
  }
  mDeltas.clear();
  mDeltaBytes = 0;
  return true;
}

bool
ManifestReplica::Install(TimePoint aNow,
                         const ManifestStamp& aStamp,
                         EntriesPtr aEntries,
                         const std::string& aSource,
                         PeerOutput& aOut)
{
  auto manifest = BuildManifest(aStamp.mVersion, *aEntries);
  if (!manifest) {
    Refuse(aNow, aStamp, manifest.error().ToString(), aSource, aOut);
    return false;
  }
  manifest.value().mVersion = aStamp.mVersion;
  manifest.value().mDigest = aStamp.mDigest;
  mInForce = std::make_shared<const Manifest>(std::move(manifest.value()));
  mEntries = std::move(aEntries);
  aOut.mAudit.push_back(
    { .mKind = AuditKind::ManifestInForce,
      .mSubject = Describe(aStamp),
      .mCause = "replaces version " + std::to_string(mStamp.mVersion),
      .mPeer = aSource });
  mStamp = aStamp;
  mNeedsFullManifest = false;
  mReportedForks.clear();
  mPull.reset();
  if (mPartialTransfer &&
      mPartialTransfer->mStamp.mVersion <= aStamp.mVersion) {
    mPartialTransfer.reset();
  }
  mNewerPeers.clear();
  mRumorRoundsLeft = mOptions.mRumors ? mOptions.mRumorRounds : 0;
  mNextRumorAt = aNow;
  return true;
}

void
ManifestReplica::KeepDelta(const ManifestDelta& aDelta)
{
  if (!mDeltas.empty() && mDeltas.back().first.mTo != aDelta.mFrom) {
    mDeltas.clear();
    mDeltaBytes = 0;
  }
  const size_t bytes = PackedBytes(aDelta);
  mDeltas.emplace_back(aDelta, bytes);
  mDeltaBytes += bytes;
  while (mDeltas.size() > kMaxDeltas ||
         (mDeltaBytes > kMaxDeltaBytes && mDeltas.size() > 1)) {
    mDeltaBytes -= mDeltas.front().second;
    mDeltas.pop_front();
  }
}

void
ManifestReplica::Refuse(TimePoint aNow,
                        const ManifestStamp& aStamp,
                        const std::string& aCause,
                        const std::string& aSource,
                        PeerOutput& aOut)
{
  mRefusedUntil = aNow + kRefusedRetryPeriod;
  if (aStamp == mRefused) {
    return;
  }
  mRefused = aStamp;
  aOut.mAudit.push_back({ .mKind = AuditKind::ManifestRefused,
                          .mSubject = Describe(aStamp),
                          .mCause = aCause,
                          .mPeer = aSource });
}

void
ManifestReplica::ReportFork(const ManifestStamp& aStamp,
                            const std::string& aSource,
                            PeerOutput& aOut)
{
  if (!mReportedForks.insert(aStamp.mDigest).second) {
    return;
  }
  aOut.mAudit.push_back(
    { .mKind = AuditKind::ManifestFork,
      .mSubject = Describe(aStamp),
      .mCause = "digest in force is " + std::to_string(mStamp.mDigest),
      .mPeer = aSource });
}

void
ManifestReplica::RecordKnownVersion(uint64_t aVersion)
{
  mHighestKnown = std::max(mHighestKnown, aVersion);
}

void
ManifestReplica::HandlePeerStamp(TimePoint aNow,
                                 const ManifestStamp& aStamp,
                                 const PeerAddress& aPeer,
                                 PeerOutput& aOut)
{
  RecordKnownVersion(aStamp.mVersion);
  if (aStamp.mVersion < mStamp.mVersion || aStamp.mVersion == 0) {
    return;
  }
  if (aStamp.mVersion == mStamp.mVersion) {
    if (aStamp.mDigest != mStamp.mDigest) {
      ReportFork(aStamp, aPeer.mNode.mId.mValue, aOut);
    }
    return;
  }
  if (aStamp == mRefused && aNow < mRefusedUntil) {
    return;
  }
  std::erase_if(mNewerPeers, [&](const PeerAddress& aKnown) {
    return aKnown.mAddress == aPeer.mAddress;
  });
  mNewerPeers.push_back(aPeer);
  if (mNewerPeers.size() > kMaxNewerPeers) {
    mNewerPeers.pop_front();
  }
  if (!mPull) {
    StartPull(aNow, aPeer, aOut);
  }
}

// -- Pulling -----------------------------------------------------------------

void
ManifestReplica::StartPull(TimePoint aNow,
                           const PeerAddress& aPeer,
                           PeerOutput& aOut)
{
  if (!mOptions.mPulls) {
    return;
  }
  mPull = Pull{ .mPeer = aPeer };
  SendPull(aNow, aOut);
}

void
ManifestReplica::SendPull(TimePoint aNow, PeerOutput& aOut)
{
  ManifestPull message{ .mHave = mStamp };
  if (mPull->mIsFull && mPartialTransfer) {
    message.mFirstEntry = mPartialTransfer->mNext;
    message.mWholeVersion = mPartialTransfer->mStamp.mVersion;
  } else if (mNeedsFullManifest) {
    message.mWholeVersion = mHighestKnown;
  }
  mPull->mHasNextPage = false;
  mPull->mExpiresAt = aNow + mOptions.mPullTimeout;
  aOut.mSends.push_back({ .mTo = mPull->mPeer.mNode,
                          .mAddress = mPull->mPeer.mAddress,
                          .mDatagram = false,
                          .mMessage = message });
}

void
ManifestReplica::HandlePage(TimePoint aNow,
                            const Envelope& aFrom,
                            const ManifestPage& aPage,
                            PeerOutput& aOut)
{
  const auto& peer = aFrom.mFrom.mId.mValue;
  const bool expected = mPull && mPull->mPeer.mAddress == aFrom.mFromAddress;
  if (!aPage.mDeltas.empty()) {
    if (!ApplyDeltas(aNow, aPage.mDeltas, peer, aOut) && expected) {
      mPull.reset();
    }
    return;
  }
  if (!expected || aPage.mWhole.mVersion <= mStamp.mVersion) {
    return;
  }
  if (!mPartialTransfer || mPartialTransfer->mStamp != aPage.mWhole) {
    mPartialTransfer = PartialTransfer{ .mStamp = aPage.mWhole };
  }
  if (aPage.mFirstEntry == mPartialTransfer->mNext) {
    mPartialTransfer->mEntries.insert(aPage.mEntries.begin(),
                                      aPage.mEntries.end());
    mPartialTransfer->mNext += uint32_t(aPage.mEntries.size());
  }
  if (mPartialTransfer->mNext >= aPage.mEntryCount) {
    auto entries = std::move(mPartialTransfer->mEntries);
    mPartialTransfer.reset();
    mPull.reset();
    ApplyFullManifest(aNow, aPage.mWhole, std::move(entries), peer, aOut);
    return;
  }
  mPull->mIsFull = true;
  mPull->mHasNextPage = true;
  mPull->mNextPageAt = aNow + kPageInterval;
  mPull->mExpiresAt = aNow + mOptions.mPullTimeout;
}

// -- Serving -----------------------------------------------------------------

bool
ManifestReplica::SpendBytes(TimePoint aNow, size_t aBytes)
{
  if (aNow - mPageWindowStart >= seconds(1)) {
    mPageWindowStart = aNow;
    mPagesInWindow = 0;
  }
  mBudgetBytes = std::min(kMaxBudgetBytes,
                          mBudgetBytes + ToSeconds(aNow - mBudgetUpdatedAt) *
                                           kBudgetBytesPerSecond);
  mBudgetUpdatedAt = aNow;
  if (mBudgetBytes < double(aBytes) || mPagesInWindow >= kPagesPerSecond) {
    return false;
  }
  mBudgetBytes -= double(aBytes);
  // Small pages, such as those with deltas, do not count towards the limit.
  mPagesInWindow += aBytes > mOptions.mMaxPageBytes / 4 ? 1 : 0;
  return true;
}

void
ManifestReplica::HandlePull(TimePoint aNow,
                            const Envelope& aFrom,
                            const ManifestPull& aPull,
                            PeerOutput& aOut)
{
  if (aPull.mHave.mVersion >= mStamp.mVersion) {
    return;
  }
  if (aPull.mWholeVersion == 0 && SendDeltas(aFrom, aPull, aNow, aOut)) {
    return;
  }
  SendFullPage(aFrom, aPull, aNow, aOut);
}

bool
ManifestReplica::SendDeltas(const Envelope& aFrom,
                            const ManifestPull& aPull,
                            TimePoint aNow,
                            PeerOutput& aOut)
{
  const auto first =
    std::find_if(mDeltas.begin(), mDeltas.end(), [&](const auto& aEntry) {
      return aEntry.first.mFrom == aPull.mHave;
    });
  if (first == mDeltas.end() || first->second > mOptions.mMaxPageBytes) {
    return false;
  }
  ManifestPage page;
  size_t bytes = 0;
  for (auto it = first; it != mDeltas.end(); ++it) {
    if (bytes + it->second > mOptions.mMaxPageBytes) {
      break;
    }
    bytes += it->second;
    page.mDeltas.push_back(it->first);
  }
  if (SpendBytes(aNow, bytes)) {
    aOut.mSends.push_back({ .mTo = aFrom.mFrom,
                            .mAddress = aFrom.mFromAddress,
                            .mDatagram = false,
                            .mMessage = std::move(page) });
  }
  return true;
}

void
ManifestReplica::SendFullPage(const Envelope& aFrom,
                              const ManifestPull& aPull,
                              TimePoint aNow,
                              PeerOutput& aOut)
{
  std::erase_if(
    mPinned, [&](const Pinned& aPinned) { return aPinned.mExpiresAt < aNow; });
  const Pinned* pinned = nullptr;
  uint32_t firstEntry = 0;
  for (const auto& entry : mPinned) {
    if (aPull.mWholeVersion == 0 ||
        entry.mStamp.mVersion == aPull.mWholeVersion) {
      pinned = &entry;
      firstEntry = aPull.mFirstEntry;
    }
  }
  if (pinned == nullptr) {
    if (mPinned.size() >= kMaxPinned) {
      mPinned.pop_front();
    }
    mPinned.push_back({ .mStamp = mStamp,
                        .mEntries = mEntries,
                        .mExpiresAt = aNow + kPinDuration });
    pinned = &mPinned.back();
    firstEntry = aPull.mWholeVersion == mStamp.mVersion ? aPull.mFirstEntry : 0;
  }
  if (aPull.mHave.mVersion >= pinned->mStamp.mVersion) {
    // The requester already has the pinned version or a newer one.
    mPinned.push_back({ .mStamp = mStamp,
                        .mEntries = mEntries,
                        .mExpiresAt = aNow + kPinDuration });
    if (mPinned.size() > kMaxPinned) {
      mPinned.pop_front();
    }
    pinned = &mPinned.back();
    firstEntry = 0;
  }
  ManifestPage page{ .mWhole = pinned->mStamp,
                     .mFirstEntry = firstEntry,
                     .mEntryCount = uint32_t(pinned->mEntries->size()) };
  size_t bytes = 0;
  auto it = pinned->mEntries->begin();
  std::advance(it, std::min<size_t>(firstEntry, pinned->mEntries->size()));
  for (; it != pinned->mEntries->end(); ++it) {
    const size_t size = it->first.size() + it->second.size() + 11;
    if (bytes + size > mOptions.mMaxPageBytes && !page.mEntries.empty()) {
      break;
    }
    bytes += size;
    page.mEntries.emplace_back(it->first, it->second);
  }
  if (SpendBytes(aNow, bytes)) {
    aOut.mSends.push_back({ .mTo = aFrom.mFrom,
                            .mAddress = aFrom.mFromAddress,
                            .mDatagram = false,
                            .mMessage = std::move(page) });
  }
}

// -- Rumors -----------------------------------------------------------------

void
ManifestReplica::HandleRumor(TimePoint aNow,
                             const Envelope& aFrom,
                             const ManifestRumor& aRumor,
                             PeerOutput& aOut)
{
  if (aRumor.mManifest.mVersion > mStamp.mVersion && !aRumor.mDeltas.empty() &&
      ApplyDeltas(aNow, aRumor.mDeltas, aFrom.mFrom.mId.mValue, aOut)) {
    return;
  }
  HandlePeerStamp(aNow,
                  aRumor.mManifest,
                  { .mNode = aFrom.mFrom, .mAddress = aFrom.mFromAddress },
                  aOut);
}

void
ManifestReplica::MessageArrived(TimePoint aNow,
                                const Envelope& aEnvelope,
                                PeerOutput& aOut)
{
  const auto& message = aEnvelope.mMessage;
  if (const auto* rumor = std::get_if<ManifestRumor>(&message)) {
    HandleRumor(aNow, aEnvelope, *rumor, aOut);
  } else if (const auto* pull = std::get_if<ManifestPull>(&message)) {
    HandlePull(aNow, aEnvelope, *pull, aOut);
  } else if (const auto* page = std::get_if<ManifestPage>(&message)) {
    HandlePage(aNow, aEnvelope, *page, aOut);
  }
}

void
ManifestReplica::Tick(TimePoint aNow, const PeerPicker& aPick, PeerOutput& aOut)
{
  if (mPull && mPull->mHasNextPage && aNow >= mPull->mNextPageAt) {
    SendPull(aNow, aOut);
  }
  if (mPull && aNow >= mPull->mExpiresAt) {
    // The request or its answer was lost, or that peer has used up its budget.
    // Pulls from another peer; a full transfer continues there if that peer
    // has the same version.
    const bool isFull = mPull->mIsFull;
    const auto address = mPull->mPeer.mAddress;
    mPull.reset();
    std::erase_if(mNewerPeers, [&](const PeerAddress& aPeer) {
      return aPeer.mAddress == address;
    });
    if (!mNewerPeers.empty()) {
      mPull = Pull{ .mPeer = mNewerPeers[mRng.Below(mNewerPeers.size())],
                    .mIsFull = isFull };
      SendPull(aNow, aOut);
    }
  }
  if (mRumorRoundsLeft == 0 || aNow < mNextRumorAt) {
    return;
  }
  --mRumorRoundsLeft;
  mNextRumorAt = aNow + mOptions.mRumorPeriod;
  ManifestRumor rumor{ .mManifest = mStamp };
  if (!mDeltas.empty() &&
      mDeltas.back().second <= mOptions.mMaxRumorDeltaBytes) {
    rumor.mDeltas.push_back(mDeltas.back().first);
  }
  for (auto& peer : aPick(mOptions.mRumorTargets)) {
    aOut.mSends.push_back({ .mTo = peer.mNode,
                            .mAddress = std::move(peer.mAddress),
                            .mDatagram = true,
                            .mMessage = rumor });
  }
}

} // namespace amaranthgap
