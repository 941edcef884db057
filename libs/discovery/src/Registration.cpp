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
  } else if (mMustCheckLease || (mIsRegistered && aNow >= mRenewAt)) {
    mCall = RegistrationCall::KeepLease;
  } else if (!mIsRegistered) {
    mCall = RegistrationCall::Put;
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
  if (aResult.mStatus != StoreStatus::Done) {
    mPacer.Failed(aNow);
    return;
  }
  mPacer.Succeeded(aNow);
  switch (mCall) {
    case RegistrationCall::GrantLease:
      mLease = aResult.mLease;
      break;
    case RegistrationCall::Put:
      mIsRegistered = true;
      break;
    case RegistrationCall::KeepLease:
      mMustCheckLease = false;
      break;
  }
  mRenewAt = aNow + (mIsWatching ? kWatcherRenewalInterval : kRenewalInterval);
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
