#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "idempotency/IssuedKey.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** Splits the closing record of an incarnation into messages below the size
 * limit; at least one, also without entries. */
std::vector<ClosingRecordTransfer>
SplitClosingRecord(const NodeRef& aNode,
                   const std::string& aService,
                   int64_t aClosedMillis,
                   const std::vector<ClosingEntry>& aEntries,
                   size_t aPieceBytes);

/** Closing records of drained incarnations that this node holds. A record
 * counts only when all of its pieces have arrived.
 * Not safe for use by several threads. */
class ClosingRecordStore
{
public:
  struct Options
  {
    size_t mMaxBytes = size_t{ 64 } * 1024 * 1024;
    Duration mRetention = minutes(10);
    size_t mPieceBytes = size_t{ 512 } * 1024;
  };

  enum class KeyStatus : uint8_t
  {
    Unknown, ///< No complete record, or the key is too old for it.
    Ran,     ///< The stored outcome is known.
    NotRun,  ///< The record is complete and the key is not in it.
  };

  struct LookupResult
  {
    KeyStatus mKeyStatus = KeyStatus::Unknown;
    const ClosingEntry* mEntry = nullptr; ///< Valid until the next call.
  };

  explicit ClosingRecordStore(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  /** Takes over a piece. @return whether the piece is held now; a piece that
   * does not fit is not confirmed to its sender. */
  bool Accept(TimePoint aNow, const ClosingRecordTransfer& aPiece);

  /** @param aLifetime of keys; an older key may have run and been forgotten. */
  [[nodiscard]] LookupResult Find(TimePoint aNow,
                                  const IssuedKey& aKey,
                                  const std::string& aText,
                                  Duration aLifetime) const;

  void Expire(TimePoint aNow);

  /** @return complete records, by incarnation and service. */
  [[nodiscard]] std::vector<std::pair<NodeRef, std::string>> CompleteRecords()
    const;
  /** @return the pieces of a complete record, for another holder. */
  [[nodiscard]] std::vector<ClosingRecordTransfer> Pieces(
    TimePoint aNow,
    const NodeRef& aNode) const;
  [[nodiscard]] size_t Bytes() const { return mBytes; }

private:
  struct Record
  {
    std::string mService;
    int64_t mClosedMillis = 0;
    TimePoint mReceived; ///< Of the first piece.
    TimePoint mLastPiece;
    uint32_t mPieces = 1;
    std::map<uint32_t, size_t> mArrived; ///< Bytes by piece.
    std::unordered_map<std::string, ClosingEntry> mEntries;

    [[nodiscard]] bool IsComplete() const { return mArrived.size() == mPieces; }
  };

  void Drop(Record& aRecord);

  Options mOptions;
  std::map<NodeRef, Record> mRecords;
  size_t mBytes = 0;
};

} // namespace amaranthgap
