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
  Put,
  KeepLease,
};

/** Keeps the entry of one node in the store under a lease. Only decides which
 * calls to make; its owner makes them. Not thread-safe. */
class Registration
{
public:
  /** Lifetime of the entry after its last renewal. Peers detect the end of a
   * node much earlier, by its connections. */
  static constexpr Duration kTtl = seconds(10);
  /** Renewals are the cheapest calls. They also detect an outage of the store
   * in which pending watches get no error. */
  static constexpr Duration kRenewalInterval = milliseconds(1500);

  explicit Registration(uint64_t aSeed);

  /** @return the call to make now, if any. At most one is in flight. */
  std::optional<RegistrationCall> Next(TimePoint aNow);
  void Done(TimePoint aNow, const StoreResult& aResult);
  /** Records that a watch has shown the entry to be missing from the store. */
  void EntryMissing(TimePoint aNow);
  /** Stops requesting calls. */
  void Stop() { mStopped = true; }

  [[nodiscard]] uint64_t Lease() const { return mLease; }
  [[nodiscard]] bool IsRegistered() const { return mIsRegistered; }
  [[nodiscard]] bool IsFailing() const { return mPacer.IsFailing(); }

private:
  CallPacer mPacer;
  RegistrationCall mCall = RegistrationCall::GrantLease;
  uint64_t mLease = 0;
  bool mIsRegistered = false;
  bool mMustCheckLease = false; ///< The lease may have expired.
  bool mStopped = false;
  TimePoint mRenewAt{};
};

} // namespace amaranthgap
