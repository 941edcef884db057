#include "membership/Membership.h"

#include <algorithm>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

/** Mismatch score at which nodes compare their pages. The threshold is higher
 * while the list changes, since most mismatches then come from updates still
 * in transit. */
constexpr uint32_t kMismatchThreshold = 3;
constexpr uint32_t kMismatchThresholdInChange = 12;
/** Without a change for this long, the list counts as stable. */
constexpr Duration kQuietPeriod = seconds(2);
constexpr Duration kSyncPeriod = seconds(2);

/** Maximum number of pages sent to an announced member in one exchange. After a
 * partition between regions, all pages differ at all nodes at the same time. */
constexpr size_t kMaxPagesPerExchange = 24;

/** Refill rate of the page budget of a node, part of the 9 KB/s limit on
 * control traffic. */
constexpr double kPageBytesPerSecond = 4000;

/** A joining node is synchronised when at most this many pages differ; updates
 * in transit cause a few differences. */
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
  // Peers that lack the same updates match each other, so a match only lowers
  // the score instead of resetting it.
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
  // A joining node gets all pages: it must also know dead members, which the
  // digests do not cover, in particular an entry of its own id with a higher
  // incarnation.
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
    // Lets two nodes that join at the same time discover each other.
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
