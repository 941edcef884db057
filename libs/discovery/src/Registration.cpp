#include "discovery/Registration.h"

#include <algorithm>
#include <utility>

namespace amaranthgap {

Registration::Registration(uint64_t aSeed)
  : mPacer(aSeed)
{
}

std::optional<RegistrationCall>
Registration::Next(TimePoint aNow)
{
  if (mStopped || !mPacer.MayStart(aNow)) {
    return std::nullopt;
  }
  if (mLease == 0) {
    mCall = RegistrationCall::GrantLease;
  } else if (mReadAt && mIsRegistered) {
    if (aNow < *mReadAt) {
      return std::nullopt;
    }
    mCall = RegistrationCall::ReadEntry;
  } else if (mMustCheckLease || (mIsRegistered && aNow >= mRenewAt)) {
    mCall = RegistrationCall::KeepLease;
  } else if (!mIsRegistered) {
    mCall = mHadEntry ? RegistrationCall::Put : RegistrationCall::Create;
  } else {
    return std::nullopt;
  }
  mPacer.Started();
  return mCall;
}

void
Registration::Done(TimePoint aNow, const StoreResult& aResult)
{
  if (aResult.mStatus == StoreStatus::NoLease) {
    mLease = 0;
    ++mLapseCount;
    mIsRegistered = false;
    mMustCheckLease = false;
    mPacer.Succeeded(aNow);
    return;
  }
  if (mCall == RegistrationCall::Create &&
      aResult.mStatus == StoreStatus::Exists) {
    mHadEntry = true;
    mPacer.Succeeded(aNow);
    return;
  }
  const bool isOutdated = mCall == RegistrationCall::GrantLease &&
                          aResult.mEra < mEra; // From before a restore.
  if (aResult.mStatus != StoreStatus::Done || isOutdated) {
    mPacer.Failed(aNow);
    return;
  }
  mPacer.Succeeded(aNow);
  switch (mCall) {
    case RegistrationCall::GrantLease:
      mLease = aResult.mLease;
      mLeaseEra = aResult.mEra;
      mReadAt.reset();
      break;
    case RegistrationCall::Create:
      mHadEntry = false;
      [[fallthrough]];
    case RegistrationCall::Put:
      // In another era, the lease may be that of another holder.
      if (mLease == 0 || aResult.mEra != mLeaseEra) {
        Abandon();
      } else {
        mIsRegistered = true;
      }
      break;
    case RegistrationCall::KeepLease:
      mMustCheckLease = false;
      break;
    case RegistrationCall::ReadEntry:
      break;
  }
  mRenewAt = aNow + (mIsWatching ? kWatcherRenewalInterval : kRenewalInterval);
}

void
Registration::EntryRead(TimePoint aNow,
                        const StoreChanges& aResult,
                        bool aIsOwn)
{
  if (aResult.mStatus != StoreStatus::Done || aResult.mEra < mEra) {
    mPacer.Failed(aNow);
    return;
  }
  mPacer.Succeeded(aNow);
  if (!aIsOwn) {
    Abandon();
    return;
  }
  mReadAt.reset();
  mLeaseEra = aResult.mEra;
  mRenewAt = aNow; // The copy may have an early end of the lease.
}

void
Registration::EraSeen(uint64_t aEra, TimePoint aReadAt)
{
  if (aEra <= mEra) {
    return;
  }
  mEra = aEra;
  if (mLease == 0 || mLeaseEra == aEra) {
    return;
  }
  if (mIsRegistered) {
    mReadAt = aReadAt;
  } else {
    Abandon();
  }
}

void
Registration::Abandon()
{
  mLease = 0;
  mIsRegistered = false;
  mMustCheckLease = false;
  mReadAt.reset();
}

void
Registration::RenewBy(TimePoint aTime)
{
  mRenewAt = std::min(mRenewAt, aTime);
}

void
Registration::SetWatching(TimePoint aNow, bool aWatches)
{
  if (!std::exchange(mIsWatching, aWatches) && aWatches) {
    RenewBy(aNow + kWatcherRenewalInterval);
  }
}

void
Registration::EntryMissing(TimePoint aNow)
{
  if (mIsRegistered) {
    mIsRegistered = false;
    mMustCheckLease = true;
    mRenewAt = aNow;
  }
}

} // namespace amaranthgap
