#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "base/Rng.h"
#include "node/Actions.h"

namespace amaranthgap {

/** Calls to the store that are under way, and the pause after failed ones.
 * Not safe for use by several threads. */
class StoreCalls
{
public:
  enum class Purpose : uint8_t
  {
    SeedsRead,
    SeedsWrite,
    HeadRead,
    HeadWatch,
    LoadRead,
  };

  explicit StoreCalls(uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  void Start(TimePoint aNow,
             Purpose aPurpose,
             StoreRequest aRequest,
             Actions& aActions)
  {
    const uint64_t number = ++mLast;
    // A shell that was paused may never answer; the call then counts as
    // unclear.
    mPending[number] = { .mPurpose = aPurpose,
                         .mUntil = aNow + aRequest.mTimeout + seconds(5) };
    aActions.emplace_back(
      StartStoreCall{ .mCall = { number }, .mRequest = std::move(aRequest) });
  }

  /** @return what the call was for, unless it was given up. */
  std::optional<Purpose> Finish(StoreCallId aCall)
  {
    const auto it = mPending.find(aCall.mValue);
    if (it == mPending.end()) {
      return std::nullopt;
    }
    const auto purpose = it->second.mPurpose;
    mPending.erase(it);
    return purpose;
  }

  /** @return a call that was never answered. */
  std::optional<Purpose> Expire(TimePoint aNow)
  {
    for (const auto& [number, pending] : mPending) {
      if (aNow >= pending.mUntil) {
        return Finish({ number });
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] bool IsPending(Purpose aPurpose) const
  {
    for (const auto& [number, pending] : mPending) {
      if (pending.mPurpose == aPurpose) {
        return true;
      }
    }
    return false;
  }

  /** Notes whether the store answered; failures double the pause, with jitter
   * so that watchers do not come back together. */
  void NoteReachable(TimePoint aNow, bool aReachable)
  {
    mFailures = aReachable ? 0 : std::min(mFailures + 1, kMaxFailures);
    mRetryAt = aReachable ? aNow
                          : aNow + FromSeconds(0.5 * double(1U << mFailures) *
                                               mRng.Uniform(0.5, 1.5));
  }

  [[nodiscard]] bool MayCall(TimePoint aNow) const { return aNow >= mRetryAt; }
  [[nodiscard]] bool IsDown() const { return mFailures > 0; }

private:
  struct Pending
  {
    Purpose mPurpose = Purpose::HeadRead;
    TimePoint mUntil{};
  };

  /** Longest pause is 8 s with jitter up to 12 s, so that a change published
   * right after an outage is still in force within 14 s. */
  static constexpr uint32_t kMaxFailures = 4;

  Rng mRng;
  uint64_t mLast = 0;
  std::map<uint64_t, Pending> mPending;
  uint32_t mFailures = 0;
  TimePoint mRetryAt{};
};

} // namespace amaranthgap
