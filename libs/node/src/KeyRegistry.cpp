#include "node/KeyRegistry.h"

#include <algorithm>

#include "node/Holders.h"

namespace amaranthgap {
namespace {

constexpr size_t kHolders = 2;
constexpr Duration kReplicationInterval = milliseconds(200);
// Above the round trip between regions (40 ms), so that a piece is rarely
// repeated while its confirmation is under way.
constexpr Duration kResendInterval = milliseconds(200);
// A holder that confirmed nothing for this long is taken as gone; shorter than
// the least drain time that settings accept.
constexpr Duration kGiveUp = seconds(5);
// Pieces under way to one holder: 4 x 512 KB, a few ms of a link.
constexpr size_t kWindow = 4;
constexpr size_t kPieceBytes = size_t{ 512 } * 1024;

} // namespace

KeyRegistry::KeyRegistry(Options aOptions)
  : mOptions(std::move(aOptions))
  , mTable({ .mMaxBytes = mOptions.mTableBytes })
  , mClosed({})
{
}

std::string
KeyRegistry::Issue(TimePoint aNow, const KeyRequest& aRequest)
{
  return IssuedKey{ .mService = aRequest.mService,
                    .mRequestClass = aRequest.mRequestClass,
                    .mParty = aRequest.mParty,
                    .mNode = mOptions.mSelf,
                    .mSequence = ++mLastSequence,
                    .mIssuedMillis = ToMillis(aNow.time_since_epoch()) }
    .ToText(mOptions.mSecret);
}

std::optional<IssuedKey>
KeyRegistry::Read(const std::string& aText) const
{
  return IssuedKey::FromText(aText, mOptions.mSecret);
}

void
KeyRegistry::Burn(TimePoint aNow, const IssuedKey& aKey)
{
  BurntKeys& keys = mBurnt[aKey.mSequence / 64];
  keys.mBits |= uint64_t{ 1 } << (aKey.mSequence % 64);
  keys.mForget = aNow + mLifetime;
}

bool
KeyRegistry::IsBurnt(const IssuedKey& aKey) const
{
  const auto it = mBurnt.find(aKey.mSequence / 64);
  return it != mBurnt.end() &&
         (it->second.mBits >> (aKey.mSequence % 64) & 1) != 0;
}

// -- Hand-over --------------------------------------------------------------

void
KeyRegistry::Close(TimePoint aNow, const std::string& aService)
{
  mDraining = true;
  mTable.Expire(aNow);
  mOwnService = aService;
  mOwnRecord = SplitClosingRecord(mOptions.mSelf,
                                  aService,
                                  ToMillis(aNow.time_since_epoch()),
                                  mTable.FinishedEntries(),
                                  kPieceBytes);
  Replicate(aNow);
}

std::vector<MemberUpdate>
KeyRegistry::Takers(const NodeRef& aRecord, const std::string& aService) const
{
  if (!mMembers) {
    return {};
  }
  auto holders = HoldersOf(*mMembers, aService, aRecord, kHolders + 1);
  const bool isSelfIn =
    !mDraining && std::ranges::any_of(holders, [&](const auto& aHolder) {
      return aHolder.mNode.mId == mOptions.mSelf.mId;
    });
  std::erase_if(holders, [&](const MemberUpdate& aHolder) {
    return aHolder.mNode.mId == mOptions.mSelf.mId;
  });
  const size_t wanted = isSelfIn ? kHolders - 1 : kHolders;
  if (holders.size() > wanted) {
    holders.resize(wanted);
  }
  return holders;
}

void
KeyRegistry::StartTransfer(TimePoint aNow,
                           const NodeRef& aRecord,
                           const MemberUpdate& aTo,
                           const std::vector<ClosingRecordTransfer>& aPieces)
{
  const bool isUnderWay =
    std::ranges::any_of(mTransfers, [&](const Transfer& aTransfer) {
      return aTransfer.mRecord == aRecord && aTransfer.mTo.mNode == aTo.mNode;
    });
  if (isUnderWay || mDone[aRecord].contains(aTo.mNode)) {
    return;
  }
  Transfer transfer{
    .mRecord = aRecord, .mTo = aTo, .mStart = aNow, .mNextSend = aNow
  };
  for (const ClosingRecordTransfer& piece : aPieces) {
    transfer.mLeft.emplace(piece.mPiece, piece);
  }
  mTransfers.push_back(std::move(transfer));
}

void
KeyRegistry::Replicate(TimePoint aNow)
{
  if (mOwnRecord) {
    for (const MemberUpdate& to : Takers(mOptions.mSelf, mOwnService)) {
      StartTransfer(aNow, mOptions.mSelf, to, *mOwnRecord);
    }
  }
  for (const auto& [node, service] : mClosed.CompleteRecords()) {
    for (const MemberUpdate& to : Takers(node, service)) {
      if (!mDone[node].contains(to.mNode)) {
        StartTransfer(aNow, node, to, mClosed.Pieces(aNow, node));
      }
    }
  }
}

void
KeyRegistry::Send(TimePoint aNow, Transfer& aTransfer, Effects& aEffects)
{
  aTransfer.mNextSend = aNow + kResendInterval;
  size_t count = 0;
  for (const auto& [number, piece] : aTransfer.mLeft) {
    if (count++ == kWindow) {
      break;
    }
    aEffects.mActions.emplace_back(
      SendMessage{ .mTo = aTransfer.mTo.mNode,
                   .mAddress = aTransfer.mTo.mPeerAddress,
                   .mMessage = piece });
  }
}

void
KeyRegistry::TransferArrived(TimePoint aNow,
                             const NodeRef& aFrom,
                             const std::string& aAddress,
                             const ClosingRecordTransfer& aTransfer,
                             Effects& aEffects)
{
  if (!aTransfer.mStored) {
    if (aTransfer.mNode == mOptions.mSelf || mDraining ||
        !mClosed.Accept(aNow, aTransfer)) {
      aEffects.Count("dropped_closing_record");
      return;
    }
    // The sender holds the record as well and needs no copy of it.
    if (aTransfer.mNode != aFrom) {
      mDone[aTransfer.mNode].insert(aFrom);
    }
    ClosingRecordTransfer stored = aTransfer;
    stored.mEntries.clear();
    stored.mStored = true;
    aEffects.mActions.emplace_back(SendMessage{
      .mTo = aFrom, .mAddress = aAddress, .mMessage = std::move(stored) });
    return;
  }
  for (Transfer& transfer : mTransfers) {
    if (transfer.mRecord == aTransfer.mNode && transfer.mTo.mNode == aFrom &&
        transfer.mLeft.erase(aTransfer.mPiece) > 0) {
      transfer.mStart = aNow;
      if (!transfer.mLeft.empty()) {
        Send(aNow, transfer, aEffects);
      }
    }
  }
}

bool
KeyRegistry::IsOver(TimePoint aNow, const Transfer& aTransfer) const
{
  const Presence presence =
    mMembers ? PresenceOf(*mMembers, aTransfer.mTo.mNode) : Presence::Unknown;
  return aTransfer.mLeft.empty() || aNow - aTransfer.mStart > kGiveUp ||
         presence == Presence::Left || presence == Presence::Dead ||
         presence == Presence::Replaced;
}

bool
KeyRegistry::IsHandedOver() const
{
  return mOwnRecord.has_value() && mTransfers.empty();
}

void
KeyRegistry::Tick(TimePoint aNow, Effects& aEffects)
{
  if (aNow >= mNextReplication) {
    mNextReplication = aNow + kReplicationInterval;
    mTable.Expire(aNow);
    mClosed.Expire(aNow);
    std::erase_if(
      mBurnt, [&](const auto& aItem) { return aItem.second.mForget <= aNow; });
    Replicate(aNow);
  }
  for (auto it = mTransfers.begin(); it != mTransfers.end();) {
    if (IsOver(aNow, *it)) {
      mDone[it->mRecord].insert(it->mTo.mNode);
      it = mTransfers.erase(it);
      continue;
    }
    if (aNow >= it->mNextSend) {
      Send(aNow, *it, aEffects);
    }
    ++it;
  }
}

} // namespace amaranthgap
