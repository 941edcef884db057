#include "overload/RetryLedger.h"

namespace amaranthgap {

RetryLedger::RetryLedger(const Options& aOptions)
  : mOptions(aOptions)
{
}

void
RetryLedger::Begin(TimePoint aNow, const RequestId& aRequest)
{
  if (const auto it = mEntries.find(aRequest); it != mEntries.end()) {
    if (it->second.mOpenCount == 0 &&
        aNow - it->second.mEndTime >= mOptions.mRetention) {
      it->second.mGranted = 0;
    }
    ++it->second.mOpenCount;
    return;
  }
  // A request without an entry is granted no retries. Evicting another entry
  // would give that request a second retry budget.
  if (mEntries.size() >= mOptions.mCapacity) {
    Expire(aNow);
    if (mEntries.size() >= mOptions.mCapacity) {
      return;
    }
  }
  mEntries.emplace(aRequest, Entry{ .mOpenCount = 1 });
}

bool
RetryLedger::Grant(TimePoint /*aNow*/,
                   const RequestId& aRequest,
                   uint32_t aMaxRetries)
{
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end() || it->second.mOpenCount == 0 ||
      it->second.mGranted >= aMaxRetries) {
    return false;
  }
  ++it->second.mGranted;
  return true;
}

void
RetryLedger::End(TimePoint aNow, const RequestId& aRequest)
{
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end() || it->second.mOpenCount == 0) {
    return;
  }
  if (--it->second.mOpenCount == 0) {
    it->second.mEndTime = aNow;
    mEndedRequests.emplace_back(aNow, aRequest);
  }
}

void
RetryLedger::Expire(TimePoint aNow)
{
  while (!mEndedRequests.empty() &&
         aNow - mEndedRequests.front().first >= mOptions.mRetention) {
    const auto it = mEntries.find(mEndedRequests.front().second);
    // An entry that was reopened is listed again with its later end time.
    if (it != mEntries.end() && it->second.mOpenCount == 0 &&
        it->second.mEndTime == mEndedRequests.front().first) {
      mEntries.erase(it);
    }
    mEndedRequests.pop_front();
  }
}

size_t
RetryLedger::Size() const
{
  return mEntries.size();
}

} // namespace amaranthgap
