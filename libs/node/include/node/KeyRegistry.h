#pragma once

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "idempotency/ClosingRecordStore.h"
#include "idempotency/ExecutionTable.h"
#include "idempotency/IssuedKey.h"
#include "node/Effects.h"
#include "node/Snapshots.h"

namespace amaranthgap {

/** Idempotency keys at their executing node: issuing, the execution table, and
 * the closing records of this and of other incarnations with their transfer to
 * two holders. Not safe for use by several threads. */
class KeyRegistry
{
public:
  struct Options
  {
    NodeRef mSelf;
    std::string mSecret;
    size_t mTableBytes = size_t{ 64 } * 1024 * 1024;
  };

  explicit KeyRegistry(Options aOptions);

  void SetSelf(const NodeRef& aSelf) { mOptions.mSelf = aSelf; }
  void SetMembers(const MemberListPtr& aMembers) { mMembers = aMembers; }
  void SetLifetime(Duration aLifetime) { mLifetime = aLifetime; }

  [[nodiscard]] std::string Issue(TimePoint aNow, const KeyRequest& aRequest);
  [[nodiscard]] std::optional<IssuedKey> Read(const std::string& aText) const;
  [[nodiscard]] bool IsExpired(TimePoint aNow, const IssuedKey& aKey) const
  {
    return aKey.Age(aNow) >= mLifetime;
  }

  ExecutionTable& Table() { return mTable; }

  /** Gives up a key of this incarnation that was answered as not run. A copy
   * of the request that is still under way must not run it after that answer.
   */
  void Burn(TimePoint aNow, const IssuedKey& aKey);
  [[nodiscard]] bool IsBurnt(const IssuedKey& aKey) const;
  /** @return end of the lifetime of a key of this incarnation. */
  [[nodiscard]] TimePoint ForgetTime(const IssuedKey& aKey) const
  {
    return TimePoint(milliseconds(aKey.mIssuedMillis)) + mLifetime;
  }
  /** Answers for a key of another incarnation from its closing record. */
  [[nodiscard]] ClosingRecordStore::LookupResult FindClosed(
    TimePoint aNow,
    const IssuedKey& aKey,
    const std::string& aText) const
  {
    return mClosed.Find(aNow, aKey, aText, mLifetime);
  }

  /** Takes a piece of a closing record, or the confirmation of one. */
  void TransferArrived(TimePoint aNow,
                       const NodeRef& aFrom,
                       const std::string& aAddress,
                       const ClosingRecordTransfer& aTransfer,
                       Effects& aEffects);

  /** Starts the hand-over of the own record; nothing runs any more. */
  void Close(TimePoint aNow, const std::string& aService);
  /** From now on held records go to other nodes. */
  void SetDraining() { mDraining = true; }
  /** @return whether the own record and all held ones were handed over, as far
   * as there are nodes to take them. */
  [[nodiscard]] bool IsHandedOver() const;

  void Tick(TimePoint aNow, Effects& aEffects);

private:
  /** One closing record on its way to one holder. */
  struct Transfer
  {
    NodeRef mRecord;
    MemberUpdate mTo;
    std::map<uint32_t, ClosingRecordTransfer> mLeft; ///< Not yet confirmed.
    TimePoint mStart;
    TimePoint mNextSend;
  };

  /** Burnt keys among 64 successive sequence numbers. */
  struct BurntKeys
  {
    uint64_t mBits = 0;
    TimePoint mForget;
  };

  void Replicate(TimePoint aNow);
  void StartTransfer(TimePoint aNow,
                     const NodeRef& aRecord,
                     const MemberUpdate& aTo,
                     const std::vector<ClosingRecordTransfer>& aPieces);
  void Send(TimePoint aNow, Transfer& aTransfer, Effects& aEffects);
  [[nodiscard]] bool IsOver(TimePoint aNow, const Transfer& aTransfer) const;
  [[nodiscard]] std::vector<MemberUpdate> Takers(
    const NodeRef& aRecord,
    const std::string& aService) const;

  Options mOptions;
  MemberListPtr mMembers;
  Duration mLifetime = minutes(10);
  ExecutionTable mTable;
  ClosingRecordStore mClosed;
  uint64_t mLastSequence = 0;
  std::map<uint64_t, BurntKeys> mBurnt; ///< By sequence number over 64.
  bool mDraining = false;
  std::optional<std::vector<ClosingRecordTransfer>> mOwnRecord;
  std::string mOwnService;
  std::list<Transfer> mTransfers;
  /** Nodes that confirmed a whole record, or that did not take it in time. */
  std::map<NodeRef, std::set<NodeRef>> mDone;
  TimePoint mNextReplication{};
};

} // namespace amaranthgap
