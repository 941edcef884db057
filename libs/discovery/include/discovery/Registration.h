#pragma once

#include <cstdint>
#include <optional>

#include "discovery/CallPacer.h"
#include "platform/LeasedStore.h"

namespace amaranthgap {

/** Store call requested by a Registration. */
enum class RegistrationCall : uint8_t
{
  GrantLease,
  Create, ///< Writes the entry if there is none.
  Put,    ///< Writes the entry.
  KeepLease,
  ReadEntry, ///< Reads the own entry; its result goes to EntryRead().
};

/** Keeps the entry of one node in the store under a lease. Only decides which
 * calls to make; its owner makes them. Not thread-safe. */
class Registration
{
public:
  /** Lifetime of the entry after its last renewal. Peers detect the end of a
   * node much earlier, by its connections. */
  static constexpr Duration kTtl = seconds(60);
  /** Interval of the renewals of most nodes. */
  static constexpr Duration kRenewalInterval = seconds(20);
  /** Interval at a node that watches the store. Renewals are the cheapest
   * calls, and detect an outage in which pending watches get no error. */
  static constexpr Duration kWatcherRenewalInterval = milliseconds(1500);

  explicit Registration(uint64_t aSeed);

  /** @return the call to make now, if any. At most one is in flight. */
  std::optional<RegistrationCall> Next(TimePoint aNow);
  void Done(TimePoint aNow, const StoreResult& aResult);
  /** Takes the result of ReadEntry.
   * @param aIsOwn whether the entry has the value and the lease of this node.
   */
  void EntryRead(TimePoint aNow, const StoreChanges& aResult, bool aIsOwn);
  /** Records that the store was restored if the era is new: the entry may be
   * gone, and its lease given out again.
   * @param aReadAt when to read the entry. */
  void EraSeen(uint64_t aEra, TimePoint aReadAt);
  /** Records that a list has shown the entry to be missing from the store. */
  void EntryMissing(TimePoint aNow);
  /** Moves the next renewal forward, which shows whether the lease lives. */
  void RenewBy(TimePoint aTime);
  /** @param aWatches whether renewals have to detect outages. */
  void SetWatching(TimePoint aNow, bool aWatches);
  /** Writes the entry again after its content has changed. */
  void EntryChanged() { mIsRegistered = false; }
  /** Stops requesting calls. */
  void Stop() { mStopped = true; }

  [[nodiscard]] uint64_t Lease() const { return mLease; }
  [[nodiscard]] bool IsRegistered() const { return mIsRegistered; }
  /** @return whether the store had an entry of this node when it was written
   * first, of an earlier process as a rule; nothing while that is unknown. */
  [[nodiscard]] std::optional<bool> HadEntry() const { return mHadEntry; }
  /** @return how often a lease of this node has ended before its renewal. */
  [[nodiscard]] uint64_t LapseCount() const { return mLapseCount; }
  [[nodiscard]] bool IsFailing() const { return mPacer.IsFailing(); }

private:
  /** Gives up the lease and the entry. */
  void Abandon();

  CallPacer mPacer;
  RegistrationCall mCall = RegistrationCall::GrantLease;
  uint64_t mEra = 0; ///< Highest that was seen.
  uint64_t mLease = 0;
  uint64_t mLeaseEra = 0; ///< In which the lease is known to be of this node.
  std::optional<TimePoint> mReadAt; ///< Set while the entry has to be read.
  bool mIsRegistered = false;
  std::optional<bool> mHadEntry;
  bool mMustCheckLease = false; ///< The lease may have expired.
  bool mStopped = false;
  bool mIsWatching = false;
  uint64_t mLapseCount = 0;
  TimePoint mRenewAt{};
};

} // namespace amaranthgap
