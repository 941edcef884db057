#include "quarantine/CrashEvidence.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

// Uncleared crashes from which on a request runs on probation.
constexpr size_t kCrashesToProbation = 2;
constexpr size_t kMaxMarks = 8;
// Most entries of a snapshot, which is sent on each new connection.
constexpr size_t kMaxSnapshotEntries = 512;

size_t
UnclearedCount(const std::vector<CrashMark>& aMarks)
{
  return size_t(
    std::count_if(aMarks.begin(), aMarks.end(), [](const CrashMark& aMark) {
      return !aMark.mIsCleared;
    }));
}

// A Bloom filter with one hash: contents that share a bit count as one.
uint64_t
ContentBit(uint64_t aContent)
{
  constexpr uint64_t kBitCount = 64;
  return uint64_t{ 1 } << (aContent % kBitCount);
}

/** @return the contents of a resource that were in flight at crashes; none for
 * a content itself. */
uint64_t
ContentsOf(const std::vector<CrashMark>& aMarks)
{
  uint64_t out = 0;
  for (const CrashMark& it : aMarks) {
    out |= it.mIsCleared ? 0 : it.mContents;
  }
  return out;
}

/** @return whether all crashes of a resource were under the same content, which
 * may be the only one that crashes upstreams. */
bool
HasOneContent(const std::vector<CrashMark>& aMarks)
{
  return std::has_single_bit(ContentsOf(aMarks));
}

bool
HasFailedTrial(const std::vector<CrashMark>& aMarks)
{
  return std::any_of(aMarks.begin(), aMarks.end(), [](const CrashMark& aMark) {
    return aMark.mIsTrial && !aMark.mIsCleared;
  });
}

bool
HasCrashed(const std::vector<CrashMark>& aMarks, uint64_t aService)
{
  return std::any_of(aMarks.begin(), aMarks.end(), [&](const CrashMark& aMark) {
    return aMark.mService == aService && !aMark.mIsCleared;
  });
}

template<class Marks>
auto
FindMark(Marks& aMarks, uint64_t aCrash)
{
  return std::find_if(
    aMarks.begin(), aMarks.end(), [&](const CrashMark& aMark) {
      return aMark.mCrash == aCrash;
    });
}

} // namespace

void
CrashEvidence::RecentCompletions::Rotate(TimePoint aNow)
{
  mEarlier = std::move(mPresent);
  mPresent.clear();
  mPresentSince = aNow;
}

void
CrashEvidence::RecentCompletions::Expire(TimePoint aNow,
                                         const Options& aOptions)
{
  if (aNow - mPresentSince >= aOptions.mRecentCompletion / 2) {
    Rotate(aNow);
  }
}

void
CrashEvidence::RecentCompletions::Add(TimePoint aNow,
                                      uint64_t aFingerprint,
                                      const Options& aOptions)
{
  if (mPresent.size() >= aOptions.mMaxRecentCompletions / 2) {
    Rotate(aNow);
  }
  mPresent.insert(aFingerprint);
}

bool
CrashEvidence::RecentCompletions::Contains(uint64_t aFingerprint) const
{
  return mPresent.contains(aFingerprint) || mEarlier.contains(aFingerprint);
}

CrashEvidence::CrashEvidence(const Options& aOptions)
  : mOptions(aOptions)
{
}

Suspicion
CrashEvidence::StateOf(TimePoint aNow, const Entry& aEntry)
{
  const bool hasFailedTrial = HasFailedTrial(aEntry.mMarks);
  if (hasFailedTrial && aNow < aEntry.mQuarantineEnd) {
    return Suspicion::Quarantined;
  }
  const size_t count = UnclearedCount(aEntry.mMarks);
  if (hasFailedTrial ||
      (count >= kCrashesToProbation && !HasOneContent(aEntry.mMarks))) {
    return Suspicion::Probation;
  }
  return count > 0 ? Suspicion::Suspect : Suspicion::Clear;
}

Suspicion
CrashEvidence::StateAt(TimePoint aNow, const Entry& aEntry, uint64_t aService)
{
  const Suspicion gravest = StateOf(aNow, aEntry);
  return gravest == Suspicion::Quarantined &&
             !HasCrashed(aEntry.mMarks, aService)
           ? Suspicion::Probation
           : gravest;
}

Suspicion
CrashEvidence::StateOf(TimePoint aNow, uint64_t aFingerprint) const
{
  const auto it = mEntries.find(aFingerprint);
  return it == mEntries.end() ? Suspicion::Clear : StateOf(aNow, it->second);
}

Suspicion
CrashEvidence::StateOf(TimePoint aNow,
                       const RequestFingerprints& aFingerprints) const
{
  Suspicion out = Suspicion::Clear;
  for (const uint64_t fingerprint : aFingerprints.All()) {
    if (const auto it = mEntries.find(fingerprint); it != mEntries.end()) {
      out = std::max(out, StateAt(aNow, it->second, aFingerprints.mService));
    }
  }
  return out;
}

Duration
CrashEvidence::QuarantineLeft(TimePoint aNow,
                              const RequestFingerprints& aFingerprints) const
{
  Duration out{};
  for (const uint64_t fingerprint : aFingerprints.All()) {
    if (const auto it = mEntries.find(fingerprint);
        it != mEntries.end() &&
        StateAt(aNow, it->second, aFingerprints.mService) ==
          Suspicion::Quarantined) {
      out = std::max(out, it->second.mQuarantineEnd - aNow);
    }
  }
  return out;
}

CrashRecord
CrashEvidence::RecordOf(TimePoint aNow,
                        uint64_t aFingerprint,
                        const Entry& aEntry)
{
  CrashRecord out{ .mFingerprint = aFingerprint, .mMarks = aEntry.mMarks };
  if (StateOf(aNow, aEntry) == Suspicion::Quarantined) {
    out.mQuarantineMs = uint32_t(ToMillis(aEntry.mQuarantineEnd - aNow));
  }
  return out;
}

CrashEvidence::Entry&
CrashEvidence::FindOrAdd(TimePoint aNow,
                         const std::string& aService,
                         uint64_t aFingerprint)
{
  if (const auto it = mEntries.find(aFingerprint); it != mEntries.end()) {
    return it->second;
  }
  EvictIfFull(aNow);
  Entry& out = mEntries[aFingerprint];
  out.mService = aService;
  out.mLatest = aNow;
  return out;
}

bool
CrashEvidence::AddMark(TimePoint aNow, Entry& aEntry, const CrashMark& aMark)
{
  auto& marks = aEntry.mMarks;
  if (const auto it = FindMark(marks, aMark.mCrash); it != marks.end()) {
    const CrashMark before = *it;
    it->mIsTrial |= aMark.mIsTrial;
    it->mIsCleared |= aMark.mIsCleared;
    it->mContents |= aMark.mContents;
    return it->mContents != before.mContents ||
           it->mIsTrial != before.mIsTrial ||
           it->mIsCleared != before.mIsCleared;
  }
  if (marks.size() >= kMaxMarks) {
    // A cleared mark counts no more; of the others, enough remain. A mark is
    // needed all the same if it is the first under another content.
    const auto cleared =
      std::find_if(marks.begin(), marks.end(), [](const CrashMark& aOther) {
        return aOther.mIsCleared;
      });
    const bool addsContent =
      HasOneContent(marks) && (aMark.mContents & ~ContentsOf(marks)) != 0;
    if (cleared == marks.end() && !aMark.mIsTrial && !addsContent) {
      return false;
    }
    marks.erase(cleared == marks.end() ? marks.begin() : cleared);
  }
  marks.push_back(aMark);
  aEntry.mLatest = std::max(aEntry.mLatest, aNow);
  return true;
}

std::map<uint64_t, CrashEvidence::Blame>
CrashEvidence::Blamed(TimePoint aNow,
                      const std::vector<InFlightRequest>& aInFlight) const
{
  std::map<uint64_t, Blame> out;
  for (const InFlightRequest& it : aInFlight) {
    // Of the fingerprints of a run, only those on probation were tried.
    const auto isFailedTrial = [&](uint64_t aFingerprint) {
      return it.mIsTrial && StateOf(aNow, aFingerprint) >= Suspicion::Probation;
    };
    const RequestFingerprints& prints = it.mFingerprints;
    Suspicion ofContent = Suspicion::Clear;
    for (const uint64_t fingerprint :
         { prints.mOfContent, prints.mFromCaller }) {
      ofContent = std::max(ofContent, StateOf(aNow, fingerprint));
      out[fingerprint].mIsFailedTrial |= isFailedTrial(fingerprint);
    }
    // Other requests share the resource: it is not blamed for the failed trial
    // of a content that is on probation itself.
    Blame& ofResource = out[prints.mOfResource];
    ofResource.mIsFailedTrial |=
      ofContent < Suspicion::Probation && isFailedTrial(prints.mOfResource);
    ofResource.mContents |= ContentBit(prints.mOfContent);
  }
  return out;
}

void
CrashEvidence::AddNews(TimePoint aNow,
                       uint64_t aFingerprint,
                       const Entry& aEntry,
                       uint64_t aContents,
                       CrashNotice& aNews)
{
  if (StateOf(aNow, aEntry) >= Suspicion::Probation) {
    aNews.mRecords.push_back(RecordOf(aNow, aFingerprint, aEntry));
  } else if (aContents != 0) {
    aNews.mInFlightResources.push_back({ aFingerprint, aContents });
  } else {
    aNews.mInFlight.push_back(aFingerprint);
  }
}

CrashNotice
CrashEvidence::RecordCrash(TimePoint aNow,
                           const std::string& aService,
                           uint64_t aCrash,
                           const std::vector<InFlightRequest>& aInFlight)
{
  CrashNotice out{ .mService = aService, .mCrash = aCrash };
  for (const auto& [fingerprint, blame] : Blamed(aNow, aInFlight)) {
    if (mRecent.Contains(fingerprint)) {
      continue;
    }
    Entry& entry = FindOrAdd(aNow, aService, fingerprint);
    AddMark(aNow,
            entry,
            { .mCrash = aCrash,
              .mService = Hash64(aService),
              .mIsTrial = blame.mIsFailedTrial,
              .mContents = blame.mContents });
    entry.mService = aService;
    if (blame.mIsFailedTrial) {
      entry.mQuarantineEnd = aNow + mOptions.mQuarantine;
      entry.mLatest = entry.mQuarantineEnd;
    }
    AddNews(aNow, fingerprint, entry, blame.mContents, out);
  }
  return out;
}

CrashNotice
CrashEvidence::RecordCompletion(TimePoint aNow,
                                const RequestFingerprints& aFingerprints)
{
  CrashNotice out;
  bool endsProbation = false;
  for (const uint64_t fingerprint : aFingerprints.All()) {
    mRecent.Add(aNow, fingerprint, mOptions);
    const auto it = mEntries.find(fingerprint);
    if (it == mEntries.end()) {
      continue;
    }
    Entry& entry = it->second;
    const Suspicion before = StateOf(aNow, entry);
    for (CrashMark& mark : entry.mMarks) {
      mark.mIsCleared = true;
    }
    endsProbation |= before >= Suspicion::Probation;
    if (before > Suspicion::Clear) {
      out.mService = entry.mService;
      out.mRecords.push_back(RecordOf(aNow, fingerprint, entry));
    }
  }
  return endsProbation ? out : CrashNotice{};
}

bool
CrashEvidence::Corrects(const Entry& aEntry, const CrashRecord& aRecord)
{
  if (UnclearedCount(aRecord.mMarks) < kCrashesToProbation) {
    return false;
  }
  return std::any_of(
    aRecord.mMarks.begin(), aRecord.mMarks.end(), [&](const CrashMark& aMark) {
      const auto known = FindMark(aEntry.mMarks, aMark.mCrash);
      return !aMark.mIsCleared && known != aEntry.mMarks.end() &&
             known->mIsCleared;
    });
}

void
CrashEvidence::MergeRecord(TimePoint aNow,
                           const std::string& aService,
                           const CrashRecord& aRecord,
                           CrashNotice& aNews)
{
  Entry& entry = FindOrAdd(aNow, aService, aRecord.mFingerprint);
  bool isNews = Corrects(entry, aRecord);
  for (const CrashMark& mark : aRecord.mMarks) {
    const bool isNew = AddMark(aNow, entry, mark);
    isNews |= isNew;
    if (isNew && mark.mIsTrial && aRecord.mQuarantineMs > 0) {
      const Duration left = milliseconds(aRecord.mQuarantineMs);
      entry.mQuarantineEnd =
        std::max(entry.mQuarantineEnd,
                 aNow + std::min<Duration>(left, mOptions.mQuarantine));
      entry.mLatest = std::max(entry.mLatest, entry.mQuarantineEnd);
    }
  }
  if (isNews) {
    aNews.mRecords.push_back(RecordOf(aNow, aRecord.mFingerprint, entry));
  }
}

CrashNotice
CrashEvidence::Merge(TimePoint aNow, const CrashNotice& aNotice)
{
  CrashNotice out{ .mService = aNotice.mService, .mCrash = aNotice.mCrash };
  for (const CrashRecord& it : aNotice.mRecords) {
    MergeRecord(aNow, aNotice.mService, it, out);
  }
  const auto add = [&](uint64_t aFingerprint, uint64_t aContents) {
    Entry& entry = FindOrAdd(aNow, aNotice.mService, aFingerprint);
    if (AddMark(aNow,
                entry,
                { .mCrash = aNotice.mCrash,
                  .mService = Hash64(aNotice.mService),
                  .mContents = aContents })) {
      AddNews(aNow, aFingerprint, entry, aContents, out);
    }
  };
  for (const uint64_t fingerprint : aNotice.mInFlight) {
    add(fingerprint, 0);
  }
  for (const auto& [fingerprint, contents] : aNotice.mInFlightResources) {
    add(fingerprint, contents);
  }
  return out;
}

std::vector<CrashNotice>
CrashEvidence::Expire(TimePoint aNow)
{
  std::vector<CrashNotice> out;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (HasFailedTrial(entry.mMarks) && entry.mQuarantineEnd <= aNow &&
        entry.mQuarantineEnd > mLatestExpire) {
      out.push_back({ .mService = entry.mService,
                      .mRecords = { RecordOf(aNow, fingerprint, entry) } });
    }
  }
  mLatestExpire = aNow;
  mRecent.Expire(aNow, mOptions);
  std::erase_if(mEntries, [&](const auto& aPair) {
    return aNow - aPair.second.mLatest >= mOptions.mExpiry;
  });
  return out;
}

CrashNotice
CrashEvidence::Snapshot(TimePoint aNow,
                        const std::string& aService,
                        Suspicion aLeast) const
{
  std::vector<std::pair<Suspicion, uint64_t>> found;
  for (const auto& [fingerprint, entry] : mEntries) {
    const Suspicion state = StateOf(aNow, entry);
    if (entry.mService == aService && state >= aLeast) {
      found.emplace_back(state, fingerprint);
    }
  }
  const size_t count = std::min(found.size(), kMaxSnapshotEntries);
  std::partial_sort(found.begin(),
                    found.begin() + std::ptrdiff_t(count),
                    found.end(),
                    std::greater<>());
  CrashNotice out{ .mService = aService };
  for (size_t n = 0; n < count; ++n) {
    const uint64_t fingerprint = found[n].second;
    out.mRecords.push_back(
      RecordOf(aNow, fingerprint, mEntries.at(fingerprint)));
  }
  return out;
}

std::vector<std::string>
CrashEvidence::Services() const
{
  std::set<std::string> out;
  for (const auto& [fingerprint, entry] : mEntries) {
    out.insert(entry.mService);
  }
  return { out.begin(), out.end() };
}

size_t
CrashEvidence::CountOf(TimePoint aNow, Suspicion aState) const
{
  return size_t(
    std::count_if(mEntries.begin(), mEntries.end(), [&](const auto& aPair) {
      return StateOf(aNow, aPair.second) == aState;
    }));
}

void
CrashEvidence::EvictIfFull(TimePoint aNow)
{
  if (mEntries.size() < std::max<size_t>(1, mOptions.mMaxEntries)) {
    return;
  }
  // The least suspected one, and of these the oldest.
  const auto evicted = std::min_element(
    mEntries.begin(),
    mEntries.end(),
    [&](const auto& aOne, const auto& aOther) {
      return std::pair{ StateOf(aNow, aOne.second), aOne.second.mLatest } <
             std::pair{ StateOf(aNow, aOther.second), aOther.second.mLatest };
    });
  mEntries.erase(evicted);
}

} // namespace amaranthgap
