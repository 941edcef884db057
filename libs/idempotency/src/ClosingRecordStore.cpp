#include "idempotency/ClosingRecordStore.h"

#include "idempotency/ExecutionTable.h"

namespace amaranthgap {
namespace {

// Senders resend a piece every few hundred milliseconds, so if no new piece
// arrives for this long, the sender is gone.
constexpr Duration kStallTimeout = seconds(5);

} // namespace

std::vector<ClosingRecordTransfer>
SplitClosingRecord(const NodeRef& aNode,
                   const std::string& aService,
                   int64_t aClosedMillis,
                   const std::vector<ClosingEntry>& aEntries,
                   size_t aPieceBytes)
{
  std::vector<ClosingRecordTransfer> pieces(1);
  size_t bytes = 0;
  for (const ClosingEntry& entry : aEntries) {
    const size_t entryBytes = BytesOf(entry);
    if (bytes > 0 && bytes + entryBytes > aPieceBytes) {
      pieces.emplace_back();
      bytes = 0;
    }
    pieces.back().mEntries.push_back(entry);
    bytes += entryBytes;
  }
  for (uint32_t i = 0; i < pieces.size(); ++i) {
    pieces[i].mNode = aNode;
    pieces[i].mService = aService;
    pieces[i].mClosedMillis = aClosedMillis;
    pieces[i].mPiece = i;
    pieces[i].mPieces = uint32_t(pieces.size());
  }
  return pieces;
}

bool
ClosingRecordStore::Accept(TimePoint aNow, const ClosingRecordTransfer& aPiece)
{
  if (aPiece.mPieces == 0 || aPiece.mPiece >= aPiece.mPieces) {
    return false;
  }
  const auto known = mRecords.find(aPiece.mNode);
  if (known != mRecords.end() && known->second.IsComplete()) {
    return true;
  }
  size_t bytes = 0;
  for (const ClosingEntry& entry : aPiece.mEntries) {
    bytes += BytesOf(entry);
  }
  if (mBytes + bytes > mOptions.mMaxBytes) {
    return false;
  }
  Record& record = mRecords[aPiece.mNode];
  const bool isOtherSplit = record.mPieces != aPiece.mPieces ||
                            record.mClosedMillis != aPiece.mClosedMillis;
  // Two senders may split the same record differently. Pieces of different
  // splits must not be combined, because entries would be missing.
  if (isOtherSplit && !record.mReceivedPieces.empty()) {
    if (aNow - record.mLastPieceTime < kStallTimeout) {
      return false;
    }
    RemovePieces(record);
  }
  if (record.mReceivedPieces.empty()) {
    record.mService = aPiece.mService;
    record.mClosedMillis = aPiece.mClosedMillis;
    record.mFirstPieceTime = aNow;
    record.mPieces = aPiece.mPieces;
  }
  if (record.mReceivedPieces.emplace(aPiece.mPiece, bytes).second) {
    record.mLastPieceTime = aNow;
    mBytes += bytes;
    for (const ClosingEntry& entry : aPiece.mEntries) {
      record.mEntries.emplace(entry.mKey, entry);
    }
  }
  return true;
}

ClosingRecordStore::LookupResult
ClosingRecordStore::Find(TimePoint aNow,
                         const IssuedKey& aKey,
                         const std::string& aText,
                         Duration aLifetime) const
{
  const auto it = mRecords.find(aKey.mNode);
  if (it == mRecords.end() || !it->second.IsComplete()) {
    return {};
  }
  const Record& record = it->second;
  const auto entry = record.mEntries.find(aText);
  if (entry != record.mEntries.end()) {
    return { .mKeyStatus = KeyStatus::Ran, .mEntry = &entry->second };
  }
  // The closing node had removed expired keys. This age is at least the age of
  // the key at closing, so below the lifetime the key would be in the record.
  const Duration age = milliseconds(record.mClosedMillis - aKey.mIssuedMillis) +
                       (aNow - record.mFirstPieceTime);
  if (age >= aLifetime) {
    return {};
  }
  return { .mKeyStatus = KeyStatus::NotRun };
}

void
ClosingRecordStore::RemovePieces(Record& aRecord)
{
  for (const auto& [piece, bytes] : aRecord.mReceivedPieces) {
    mBytes -= bytes;
  }
  aRecord = {};
}

void
ClosingRecordStore::Expire(TimePoint aNow)
{
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    if (aNow - it->second.mFirstPieceTime < mOptions.mRetention) {
      ++it;
      continue;
    }
    RemovePieces(it->second);
    it = mRecords.erase(it);
  }
}

std::vector<std::pair<NodeRef, std::string>>
ClosingRecordStore::CompleteRecords() const
{
  std::vector<std::pair<NodeRef, std::string>> complete;
  for (const auto& [node, record] : mRecords) {
    if (record.IsComplete()) {
      complete.emplace_back(node, record.mService);
    }
  }
  return complete;
}

std::vector<ClosingRecordTransfer>
ClosingRecordStore::Pieces(TimePoint aNow, const NodeRef& aNode) const
{
  const auto it = mRecords.find(aNode);
  if (it == mRecords.end() || !it->second.IsComplete()) {
    return {};
  }
  const Record& record = it->second;
  std::vector<ClosingEntry> entries;
  entries.reserve(record.mEntries.size());
  for (const auto& [key, entry] : record.mEntries) {
    entries.push_back(entry);
  }
  // Adds the time since arrival to the closing time, so that the age of a key
  // includes the time at each holder.
  return SplitClosingRecord(aNode,
                            record.mService,
                            record.mClosedMillis +
                              ToMillis(aNow - record.mFirstPieceTime),
                            entries,
                            mOptions.mPieceBytes);
}

} // namespace amaranthgap
