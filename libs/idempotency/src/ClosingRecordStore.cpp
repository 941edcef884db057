#include "idempotency/ClosingRecordStore.h"

#include "idempotency/ExecutionTable.h"

namespace amaranthgap {
namespace {

// Senders repeat a piece every few hundred milliseconds, so a transfer without
// a new piece for this long has lost its sender.
constexpr Duration kStalled = seconds(5);

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
    const size_t more = BytesOf(entry);
    if (bytes > 0 && bytes + more > aPieceBytes) {
      pieces.emplace_back();
      bytes = 0;
    }
    pieces.back().mEntries.push_back(entry);
    bytes += more;
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
  const bool isCutAnew = record.mPieces != aPiece.mPieces ||
                         record.mClosedMillis != aPiece.mClosedMillis;
  // Copies of one record from two senders may be cut differently; pieces of
  // different cuts must not be mixed, because entries would be missing.
  if (isCutAnew && !record.mArrived.empty()) {
    if (aNow - record.mLastPiece < kStalled) {
      return false;
    }
    Drop(record);
  }
  if (record.mArrived.empty()) {
    record.mService = aPiece.mService;
    record.mClosedMillis = aPiece.mClosedMillis;
    record.mReceived = aNow;
    record.mPieces = aPiece.mPieces;
  }
  if (record.mArrived.emplace(aPiece.mPiece, bytes).second) {
    record.mLastPiece = aNow;
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
  // The closing node forgot keys older than their lifetime. This age is at
  // least the age at which it closed, so a younger key would be in the record.
  const Duration age = milliseconds(record.mClosedMillis - aKey.mIssuedMillis) +
                       (aNow - record.mReceived);
  if (age >= aLifetime) {
    return {};
  }
  return { .mKeyStatus = KeyStatus::NotRun };
}

void
ClosingRecordStore::Drop(Record& aRecord)
{
  for (const auto& [piece, bytes] : aRecord.mArrived) {
    mBytes -= bytes;
  }
  aRecord = {};
}

void
ClosingRecordStore::Expire(TimePoint aNow)
{
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    if (aNow - it->second.mReceived < mOptions.mRetention) {
      ++it;
      continue;
    }
    Drop(it->second);
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
  // The clock of the closing node goes on with the time spent here, so that
  // the age of a key keeps counting over all holders.
  return SplitClosingRecord(aNode,
                            record.mService,
                            record.mClosedMillis +
                              ToMillis(aNow - record.mReceived),
                            entries,
                            mOptions.mPieceBytes);
}

} // namespace amaranthgap
