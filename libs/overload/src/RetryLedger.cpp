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
    if (it->second.mOpen == 0 &&
        aNow - it->second.mEnded >= mOptions.mRetention) {
      it->second.mGranted = 0;
    }
    ++it->second.mOpen;
    return;
  }
  // A request without an entry gets no grants. Evicting another entry would
  // instead give its request a second budget.
  if (mEntries.size() >= mOptions.mCapacity) {
    Expire(aNow);
    if (mEntries.size() >= mOptions.mCapacity) {
      return;
    }
  }
  mEntries.emplace(aRequest, Entry{ .mOpen = 1 });
}

bool
RetryLedger::Grant(TimePoint /*aNow*/,
                   const RequestId& aRequest,
                   uint32_t aMaxRetries)
{
  const auto it = mEntries.find(aRequest);
  if (it == mEntries.end() || it->second.mOpen == 0 ||
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
  if (it == mEntries.end() || it->second.mOpen == 0) {
    return;
  }
  if (--it->second.mOpen == 0) {
    it->second.mEnded = aNow;
    mEnded.emplace_back(aNow, aRequest);
  }
}

void
RetryLedger::Expire(TimePoint aNow)
{
  while (!mEnded.empty() &&
         aNow - mEnded.front().first >= mOptions.mRetention) {
    const auto it = mEntries.find(mEnded.front().second);
    // An entry that was reopened has a later record of its own end.
    if (it != mEntries.end() && it->second.mOpen == 0 &&
        it->second.mEnded == mEnded.front().first) {
      mEntries.erase(it);
    }
    mEnded.pop_front();
  }
}

size_t
RetryLedger::Size() const
{
  return mEntries.size();
}

} // namespace amaranthgap
