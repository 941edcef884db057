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

/** Splits the closing record of an incarnation, that is the entries of its
 * execution table when it drained, into pieces of at most aPieceBytes each. A
 * larger entry gets its own piece.
 * @param aClosedMillis time of closing by the clock of that incarnation, in ms.
 * @return at least one piece, even without entries. */
std::vector<ClosingRecordTransfer>
SplitClosingRecord(const NodeRef& aNode,
                   const std::string& aService,
                   int64_t aClosedMillis,
                   const std::vector<ClosingEntry>& aEntries,
                   size_t aPieceBytes);

/** Closing records of drained incarnations that this node holds. A record is
 * used only when all of its pieces have arrived. Not thread-safe. */
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
    Unknown, ///< No complete record, or the key may have expired.
    Ran,     ///< The record contains the outcome.
    NotRun,  ///< The record is complete and does not contain the key.
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

  /** Stores a piece, unless the record is already complete.
   * @return whether its entries are held; false if the piece is invalid,
   * exceeds the memory limit or comes from another split of an active transfer.
   */
  bool Accept(TimePoint aNow, const ClosingRecordTransfer& aPiece);

  /** Looks up a key by its text form.
   * @param aLifetime lifetime of keys; an older key without an entry may have
   * run and expired. */
  [[nodiscard]] LookupResult Find(TimePoint aNow,
                                  const IssuedKey& aKey,
                                  const std::string& aText,
                                  Duration aLifetime) const;

  /** Removes records older than mRetention. */
  void Expire(TimePoint aNow);

  /** @return the incarnation and service of each complete record. */
  [[nodiscard]] std::vector<std::pair<NodeRef, std::string>> CompleteRecords()
    const;
  /** @return the pieces of a complete record, to send to another holder; none
   * if the record is missing or incomplete. */
  [[nodiscard]] std::vector<ClosingRecordTransfer> Pieces(
    TimePoint aNow,
    const NodeRef& aNode) const;
  [[nodiscard]] size_t Bytes() const { return mBytes; }

private:
  struct Record
  {
    std::string mService;
    int64_t mClosedMillis = 0;
    TimePoint mFirstPieceTime; ///< Arrival of the first piece.
    TimePoint mLastPieceTime;
    uint32_t mPieces = 1;
    std::map<uint32_t, size_t> mReceivedPieces; ///< Size in bytes by piece.
    std::unordered_map<std::string, ClosingEntry> mEntries;

    [[nodiscard]] bool IsComplete() const
    {
      return mReceivedPieces.size() == mPieces;
    }
  };

  /** Resets the record and subtracts its size. */
  void RemovePieces(Record& aRecord);

  Options mOptions;
  std::map<NodeRef, Record> mRecords;
  size_t mBytes = 0;
};

} // namespace amaranthgap
