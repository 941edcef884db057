#include "membership/Membership.h"

#include <algorithm>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

/** Pages are compared after this many more mismatches than matches. While
 * updates are still arriving, a mismatch mostly means one that is under way. */
constexpr uint32_t kMismatchThreshold = 3;
constexpr uint32_t kMismatchThresholdInChange = 12;
constexpr Duration kQuietPeriod = seconds(2);
constexpr Duration kSyncPeriod = seconds(2);

/** Most pages sent to an announced member in one exchange. After a partition
 * of regions all pages differ at all nodes at once. */
constexpr size_t kMaxPagesPerExchange = 24;

/** Long-run budget of a node for pages, out of the 9 KB/s that control may
 * use. */
constexpr double kPageBytesPerSecond = 4000;

/** A joining node is up to date when no more pages differ; updates under way
 * account for a few. */
constexpr size_t kMaxDifferingPages = 8;

} // namespace

void
Membership::JoinVia(TimePoint /*aNow*/,
                    const std::string& aAddress,
                    PeerOutput& aOut)
{
  if (aAddress != mSelf.mPeerAddress) {
    SendDigest({}, aAddress, true, aOut);
  }
}

uint64_t
Membership::Digest() const
{
  if (!mAnnounced || !IsLive(mSelf.mState)) {
    return mTable.Digest();
  }
  return mTable.Digest() +
         MemberTable::EntryHash(mSelf, Hash64(mSelf.mNode.mId.mValue), false);
}

std::vector<uint64_t>
Membership::PageDigests() const
{
  const auto& digests = mTable.PageDigests();
  std::vector<uint64_t> pages(digests.begin(), digests.end());
  if (mAnnounced && IsLive(mSelf.mState)) {
    const uint64_t hash = Hash64(mSelf.mNode.mId.mValue);
    pages[hash % MemberTable::kPages] +=
      MemberTable::EntryHash(mSelf, hash, false);
  }
  return pages;
}

void
Membership::SendDigest(const NodeRef& aTo,
                       const std::string& aAddress,
                       bool aReply,
                       PeerOutput& aOut) const
{
  aOut.mSends.push_back(
    { .mTo = aTo,
      .mAddress = aAddress,
      .mDatagram = false,
      .mMessage = MemberDigest{
        .mPages = PageDigests(), .mReply = aReply, .mJoining = !mAnnounced } });
}

void
Membership::CompareDigest(TimePoint aNow,
                          const Envelope& aFrom,
                          uint64_t aDigest,
                          PeerOutput& aOut)
{
  if (!mOptions.mPushPull || !mAnnounced) {
    return;
  }
  // Neighbours with the same gap match, so that a match only lowers the score.
  if (aDigest == Digest()) {
    mMismatchScore -= mMismatchScore > 0 ? 1 : 0;
    return;
  }
  mMismatchScore = std::min(mMismatchScore + 1, kMismatchThresholdInChange);
  const bool quiet = aNow - mLastChange >= kQuietPeriod;
  if (aNow >= mNextSync &&
      mMismatchScore >=
        (quiet ? kMismatchThreshold : kMismatchThresholdInChange)) {
    mNextSync = aNow + FromSeconds(ToSeconds(kSyncPeriod) * mRng.Uniform(1, 2));
    SendDigest(aFrom.mFrom, aFrom.mFromAddress, true, aOut);
  }
}

bool
Membership::SpendPageBytes(TimePoint aNow, size_t aBytes)
{
  mPageBudgetBytes = std::min(
    kPageBytesBurst,
    mPageBudgetBytes + ToSeconds(aNow - mPageBudgetTime) * kPageBytesPerSecond);
  mPageBudgetTime = aNow;
  if (mPageBudgetBytes < double(aBytes)) {
    return false;
  }
  mPageBudgetBytes -= double(aBytes);
  return true;
}

void
Membership::HandleDigest(TimePoint aNow,
                         const Envelope& aFrom,
                         const MemberDigest& aDigest,
                         PeerOutput& aOut)
{
  const auto own = PageDigests();
  if (aDigest.mPages.size() != own.size()) {
    return;
  }
  std::vector<uint32_t> differing;
  // The digests do not cover dead members, of which a new node must know, above
  // all an earlier incarnation of its own with a higher number.
  for (uint32_t i = 0; i < own.size(); ++i) {
    if (own[i] != aDigest.mPages[i] ||
        (aDigest.mJoining && !mTable.Page(i).empty())) {
      differing.push_back(i);
    }
  }
  if (!aDigest.mReply && !aDigest.mJoining) {
    mMismatchScore = 0;
    mSynchronised = mSynchronised || differing.size() <= kMaxDifferingPages;
  }
  if (!mAnnounced) {
    // Two nodes that join together at least learn of each other.
    if (aDigest.mReply) {
      aOut.mSends.push_back(
        { .mTo = aFrom.mFrom,
          .mAddress = aFrom.mFromAddress,
          .mDatagram = false,
          .mMessage = MemberUpdates{ .mUpdates = { mSelf } } });
      SendDigest(aFrom.mFrom, aFrom.mFromAddress, false, aOut);
    }
    return;
  }
  const bool joining = aDigest.mJoining;
  for (size_t i = differing.size(); i > 1; --i) {
    std::swap(differing[i - 1], differing[mRng.Below(i)]);
  }
  if (!joining && differing.size() > kMaxPagesPerExchange) {
    differing.resize(kMaxPagesPerExchange);
  }
  const uint32_t ownPage =
    uint32_t(Hash64(mSelf.mNode.mId.mValue) % MemberTable::kPages);
  for (const uint32_t page : differing) {
    MemberPage message{ .mPage = page };
    size_t bytes = 16;
    if (page == ownPage) {
      message.mUpdates.push_back(mSelf);
    }
    for (const uint32_t entry : mTable.Page(page)) {
      const auto& update = mTable.At(entry).mUpdate;
      message.mUpdates.push_back(
        update.mState == MemberState::Dead ? ForGossip(update) : update);
      bytes += PackedSize(message.mUpdates.back());
    }
    if (!SpendPageBytes(aNow, bytes)) {
      break;
    }
    aOut.mSends.push_back({ .mTo = aFrom.mFrom,
                            .mAddress = aFrom.mFromAddress,
                            .mDatagram = false,
                            .mMessage = std::move(message) });
  }
  if (aDigest.mReply) {
    SendDigest(aFrom.mFrom, aFrom.mFromAddress, false, aOut);
  }
}

void
Membership::HandlePage(TimePoint aNow,
                       const Envelope& aFrom,
                       const MemberPage& aPage,
                       PeerOutput& aOut)
{
  for (const auto& update : aPage.mUpdates) {
    ApplyUpdate(aNow, update, aFrom, false, aOut);
  }
}

} // namespace amaranthgap
