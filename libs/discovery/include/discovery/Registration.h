#pragma once

#include <cstdint>
#include <optional>

#include "discovery/CallPacer.h"
#include "platform/LeasedStore.h"

namespace amaranthgap {

/** Call that a Registration wants to be made. */
enum class RegistrationCall : uint8_t
{
  GrantLease,
  Put,
  KeepLease,
};

/** Keeps the entry of one node in the store under a lease. Decides only; its
 * owner makes the calls. Not safe for use by several threads. */
class Registration
{
public:
  /** Life of the entry after the last renewal. Peers notice the end of a node
   * by their connections, long before. */
  static constexpr Duration kTtl = seconds(10);
  /** A renewal is the cheapest call, and shows an outage of the store that
   * leaves waiting watches silent. */
  static constexpr Duration kRenewalInterval = milliseconds(1500);

  explicit Registration(uint64_t aSeed);

  /** @return the call to make now, if any. At most one is under way. */
  std::optional<RegistrationCall> Next(TimePoint aNow);
  void Done(TimePoint aNow, const StoreResult& aResult);
  /** Notes that the entry is not in the store, as a watch has shown. */
  void EntryMissing(TimePoint aNow);
  /** Makes no more calls. */
  void Stop() { mStopped = true; }

  [[nodiscard]] uint64_t Lease() const { return mLease; }
  [[nodiscard]] bool IsRegistered() const { return mIsEntered; }
  [[nodiscard]] bool IsFailing() const { return mPacer.IsFailing(); }

private:
  CallPacer mPacer;
  RegistrationCall mCall = RegistrationCall::GrantLease;
  uint64_t mLease = 0;
  bool mIsEntered = false;
  bool mMustCheck = false; ///< The lease may be gone.
  bool mStopped = false;
  TimePoint mRenewAt{};
};

} // namespace amaranthgap
