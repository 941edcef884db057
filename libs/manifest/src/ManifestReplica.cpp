#include "manifest/ManifestReplica.h"

#include <algorithm>

#include "manifest/StoreRecords.h"

namespace amaranthgap {

namespace {

/** Deltas kept to bring lagging peers up to date. */
constexpr size_t kMaxDeltas = 256;
constexpr size_t kMaxDeltaBytes = size_t{ 1024 } * 1024;

/** A requester asks for at most this many whole pages a second, and a node
 * sends no more than that to all requesters together. */
constexpr uint32_t kPagesPerSecond = 4;
constexpr Duration kPagePause = milliseconds(300);

/** Budget of a node for pulls: a whole manifest of 1 MB at once and then, out
 * of 9 KB/s for control, 4 KB/s on average. */
constexpr double kBudgetBytes = 1.5 * 1024 * 1024;
constexpr double kBudgetPerSecond = 4000;

/** A version stays available while a transfer of 1 MB at the pace above, with
 * some retries, needs it. */
constexpr Duration kPinned = seconds(60);
constexpr size_t kMaxPinned = 2;

constexpr size_t kMaxAhead = 4;

/** A version that this build cannot read is asked for again at this period;
 * the next version usually comes first. */
constexpr Duration kRefused = seconds(60);

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
  , mBudget(kBudgetBytes)
{
}

// -- Offers ------------------------------------------------------------------

bool
ManifestReplica::TakeDeltas(TimePoint aNow,
                            const std::vector<ManifestDelta>& aDeltas,
                            const std::string& aSource,
                            PeerOutput& aOut)
{
  std::shared_ptr<ManifestEntries> entries;
  ManifestStamp stamp = mStamp;
  std::vector<const ManifestDelta*> applied;
  for (const auto& delta : aDeltas) {
    NoteVersion(delta.mTo.mVersion);
    if (delta.mTo.mVersion <= stamp.mVersion && mOptions.mCheckVersion) {
      continue;
    }
    const bool whole = delta.mFrom.mVersion == 0;
    if (!whole && delta.mFrom != stamp) {
      continue;
    }
    if (whole) {
      entries = std::make_shared<ManifestEntries>();
    } else if (!entries) {
      entries = std::make_shared<ManifestEntries>(*mEntries);
    }
    ApplyDelta(*entries, delta);
    if (mOptions.mCheckDigest && ComputeDigest(*entries) != delta.mTo.mDigest) {
      aOut.mAudit.push_back({ .mKind = AuditKind::ManifestRefused,
                              .mSubject = Describe(delta.mTo),
                              .mCause = "delta does not lead to the digest",
                              .mPeer = aSource });
      mWantWhole = true;
      return false;
    }
    stamp = delta.mTo;
    applied.push_back(&delta);
  }
  if (applied.empty() || !Install(aNow, stamp, entries, aSource, aOut)) {
    return false;
  }
  for (const auto* delta : applied) {
    Remember(*delta);
  }
  return true;
}

bool
ManifestReplica::TakeWhole(TimePoint aNow,
                           const ManifestStamp& aStamp,
                           ManifestEntries aEntries,
                           const std::string& aSource,
                           PeerOutput& aOut)
{
  NoteVersion(aStamp.mVersion);
  if (aStamp.mVersion <= mStamp.mVersion && mOptions.mCheckVersion) {
    return false;
  }
  if (mOptions.mCheckDigest && ComputeDigest(aEntries) != aStamp.mDigest) {
    Refuse(aNow, aStamp, "content does not have the digest", aSource, aOut);
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
  mWantWhole = false;
  mForks.clear();
  mPull.reset();
  if (mPartial && mPartial->mStamp.mVersion <= aStamp.mVersion) {
    mPartial.reset();
  }
  mAhead.clear();
  mRumorsLeft = mOptions.mRumors ? mOptions.mRumorRounds : 0;
  mNextRumor = aNow;
  return true;
}

void
ManifestReplica::Remember(const ManifestDelta& aDelta)
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
  mRefusedUntil = aNow + kRefused;
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
  if (!mForks.insert(aStamp.mDigest).second) {
    return;
  }
  aOut.mAudit.push_back(
    { .mKind = AuditKind::ManifestFork,
      .mSubject = Describe(aStamp),
      .mCause = "digest in force is " + std::to_string(mStamp.mDigest),
      .mPeer = aSource });
}

void
ManifestReplica::NoteVersion(uint64_t aVersion)
{
  mHighestKnown = std::max(mHighestKnown, aVersion);
}

void
ManifestReplica::NoteStamp(TimePoint aNow,
                           const ManifestStamp& aStamp,
                           const PeerAddress& aPeer,
                           PeerOutput& aOut)
{
  NoteVersion(aStamp.mVersion);
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
  std::erase_if(mAhead, [&](const PeerAddress& aKnown) {
    return aKnown.mAddress == aPeer.mAddress;
  });
  mAhead.push_back(aPeer);
  if (mAhead.size() > kMaxAhead) {
    mAhead.pop_front();
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
  if (mPull->mWhole && mPartial) {
    message.mFirstEntry = mPartial->mNext;
    message.mWholeVersion = mPartial->mStamp.mVersion;
  } else if (mWantWhole) {
    message.mWholeVersion = mHighestKnown;
  }
  mPull->mContinue = false;
  mPull->mUntil = aNow + mOptions.mPullTimeout;
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
    if (!TakeDeltas(aNow, aPage.mDeltas, peer, aOut) && expected) {
      mPull.reset();
    }
    return;
  }
  if (!expected || aPage.mWhole.mVersion <= mStamp.mVersion) {
    return;
  }
  if (!mPartial || mPartial->mStamp != aPage.mWhole) {
    mPartial = Partial{ .mStamp = aPage.mWhole };
  }
  if (aPage.mFirstEntry == mPartial->mNext) {
    mPartial->mEntries.insert(aPage.mEntries.begin(), aPage.mEntries.end());
    mPartial->mNext += uint32_t(aPage.mEntries.size());
  }
  if (mPartial->mNext >= aPage.mEntryCount) {
    auto entries = std::move(mPartial->mEntries);
    mPartial.reset();
    mPull.reset();
    TakeWhole(aNow, aPage.mWhole, std::move(entries), peer, aOut);
    return;
  }
  mPull->mWhole = true;
  mPull->mContinue = true;
  mPull->mContinueAt = aNow + kPagePause;
  mPull->mUntil = aNow + mOptions.mPullTimeout;
}

// -- Serving -----------------------------------------------------------------

bool
ManifestReplica::SpendBytes(TimePoint aNow, size_t aBytes)
{
  if (aNow - mSecond >= seconds(1)) {
    mSecond = aNow;
    mPagesInSecond = 0;
  }
  mBudget = std::min(kBudgetBytes,
                     mBudget + ToSeconds(aNow - mBudgetAt) * kBudgetPerSecond);
  mBudgetAt = aNow;
  if (mBudget < double(aBytes) || mPagesInSecond >= kPagesPerSecond) {
    return false;
  }
  mBudget -= double(aBytes);
  // Small pages of deltas do not count as pages.
  mPagesInSecond += aBytes > mOptions.mPageBytes / 4 ? 1 : 0;
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
  SendWhole(aFrom, aPull, aNow, aOut);
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
  if (first == mDeltas.end() || first->second > mOptions.mPageBytes) {
    return false;
  }
  ManifestPage page;
  size_t bytes = 0;
  for (auto it = first; it != mDeltas.end(); ++it) {
    if (bytes + it->second > mOptions.mPageBytes) {
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
ManifestReplica::SendWhole(const Envelope& aFrom,
                           const ManifestPull& aPull,
                           TimePoint aNow,
                           PeerOutput& aOut)
{
  std::erase_if(mPinned,
                [&](const Pinned& aPinned) { return aPinned.mUntil < aNow; });
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
    mPinned.push_back(
      { .mStamp = mStamp, .mEntries = mEntries, .mUntil = aNow + kPinned });
    pinned = &mPinned.back();
    firstEntry = aPull.mWholeVersion == mStamp.mVersion ? aPull.mFirstEntry : 0;
  }
  if (aPull.mHave.mVersion >= pinned->mStamp.mVersion) {
    // The pinned version is of no use to this peer any more.
    mPinned.push_back(
      { .mStamp = mStamp, .mEntries = mEntries, .mUntil = aNow + kPinned });
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
    if (bytes + size > mOptions.mPageBytes && !page.mEntries.empty()) {
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
      TakeDeltas(aNow, aRumor.mDeltas, aFrom.mFrom.mId.mValue, aOut)) {
    return;
  }
  NoteStamp(aNow,
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
  if (mPull && mPull->mContinue && aNow >= mPull->mContinueAt) {
    SendPull(aNow, aOut);
  }
  if (mPull && aNow >= mPull->mUntil) {
    // Lost, or that peer has spent its budget: another one is asked. A whole
    // transfer goes on there if that peer has the same version.
    const bool whole = mPull->mWhole;
    const auto address = mPull->mPeer.mAddress;
    mPull.reset();
    std::erase_if(mAhead, [&](const PeerAddress& aPeer) {
      return aPeer.mAddress == address;
    });
    if (!mAhead.empty()) {
      mPull =
        Pull{ .mPeer = mAhead[mRng.Below(mAhead.size())], .mWhole = whole };
      SendPull(aNow, aOut);
    }
  }
  if (mRumorsLeft == 0 || aNow < mNextRumor) {
    return;
  }
  --mRumorsLeft;
  mNextRumor = aNow + mOptions.mRumorPeriod;
  ManifestRumor rumor{ .mManifest = mStamp };
  if (!mDeltas.empty() && mDeltas.back().second <= mOptions.mRumorBytes) {
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
