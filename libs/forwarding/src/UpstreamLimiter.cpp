#include "forwarding/UpstreamLimiter.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace amaranthgap {

namespace {

constexpr double kRunWeight = 0.05; // Weight of one run in the mean run time.

// Maximum wait as a fraction of the latency target, and its bounds.
constexpr int kRootWaitDivisor = 8;
constexpr int kNestedWaitDivisor = 2;
constexpr Duration kMinWait = milliseconds(15);
constexpr Duration kMaxWait = milliseconds(150);

} // namespace

bool
UpstreamLimiter::Entry::operator<(const Entry& aOther) const
{
  const auto rank = [](const Entry& aEntry) {
    return std::tuple{ aEntry.mRequest.mPriority,
                       !aEntry.mRequest.mIsNested,
                       aEntry.mSequence };
  };
  return rank(*this) < rank(aOther);
}

UpstreamLimiter::UpstreamLimiter(const Options& aOptions)
  : mOptions(aOptions)
{
}

void
UpstreamLimiter::SetSlots(uint32_t aSlots)
{
  mLimit = aSlots == 0
             ? 0
             : std::max(1U, uint32_t(std::floor(aSlots * mOptions.mSlotShare)));
}

Duration
UpstreamLimiter::MaxWait(const SlotRequest& aRequest)
{
  const int divisor =
    aRequest.mIsNested ? kNestedWaitDivisor : kRootWaitDivisor;
  return std::clamp<Duration>(
    aRequest.mLatencyTarget / divisor, kMinWait, kMaxWait);
}

uint32_t
UpstreamLimiter::UsableSlots() const
{
  if (!mRate.PerSecond() || mLimit == 0) {
    return mLimit;
  }
  const double slots = std::ceil(*mRate.PerSecond() * mMeanRunSeconds);
  return uint32_t(std::clamp(slots, 1.0, double(mLimit)));
}

Duration
UpstreamLimiter::ExpectedWait(TimePoint aNow, size_t aAhead) const
{
  const Duration slotWait =
    mRunning < mLimit ? Duration::zero()
                      : FromSeconds(mMeanRunSeconds * double(aAhead + 1) /
                                    double(std::max(1U, mLimit)));
  return std::max(slotWait, mRate.WaitFor(aNow, aAhead));
}

UpstreamLimiter::OfferResult
UpstreamLimiter::Offer(TimePoint aNow, const SlotRequest& aRequest)
{
  OfferResult out;
  if (mLimit == 0 || aRequest.mDeadline <= aNow) {
    return out;
  }
  if (mRunning < mLimit && mQueue.empty() && mRate.TryTake(aNow)) {
    ++mRunning;
    out.mStarted = true;
    return out;
  }
  Entry entry{ .mRequest = aRequest,
               .mStartBy =
                 std::min(aNow + MaxWait(aRequest), aRequest.mDeadline),
               .mSequence = mNextSequence++ };
  const auto position = mQueue.lower_bound(entry);
  const auto ahead = size_t(std::distance(mQueue.begin(), position));
  if (aNow + ExpectedWait(aNow, ahead) > entry.mStartBy) {
    return out;
  }
  while (mQueue.size() >= mOptions.mQueueCapacity) {
    const auto last = std::prev(mQueue.end());
    if (*last < entry) {
      return out;
    }
    out.mEvicted.push_back(last->mRequest.mExecution);
    Erase(last);
  }
  ++mWaitingByRank[{ aRequest.mPriority, !aRequest.mIsNested }];
  mIndex.emplace(aRequest.mExecution, mQueue.insert(entry).first);
  out.mQueued = true;
  return out;
}

void
UpstreamLimiter::Finished(Duration aRun)
{
  mRunning -= std::min(mRunning, 1U);
  if (aRun > Duration::zero()) {
    mMeanRunSeconds += kRunWeight * (ToSeconds(aRun) - mMeanRunSeconds);
  }
}

std::optional<ExecutionId>
UpstreamLimiter::StartNextQueued(TimePoint aNow)
{
  if (mRunning >= mLimit || mQueue.empty() || !mRate.TryTake(aNow)) {
    return std::nullopt;
  }
  const ExecutionId out = mQueue.begin()->mRequest.mExecution;
  Erase(mQueue.begin());
  ++mRunning;
  return out;
}

bool
UpstreamLimiter::Remove(ExecutionId aExecution)
{
  const auto it = mIndex.find(aExecution);
  if (it == mIndex.end()) {
    return false;
  }
  Erase(it->second);
  return true;
}

std::vector<ExecutionId>
UpstreamLimiter::RemoveOverdue(TimePoint aNow)
{
  std::vector<ExecutionId> out;
  for (auto it = mQueue.begin(); it != mQueue.end();) {
    if (it->mStartBy <= aNow) {
      out.push_back(it->mRequest.mExecution);
      it = Erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

std::vector<ExecutionId>
UpstreamLimiter::RemoveAll()
{
  std::vector<ExecutionId> out;
  for (const Entry& it : mQueue) {
    out.push_back(it.mRequest.mExecution);
  }
  mQueue.clear();
  mIndex.clear();
  mWaitingByRank.clear();
  return out;
}

UpstreamLimiter::Queue::iterator
UpstreamLimiter::Erase(Queue::iterator aPosition)
{
  const SlotRequest& request = aPosition->mRequest;
  --mWaitingByRank[{ request.mPriority, !request.mIsNested }];
  mIndex.erase(request.mExecution);
  return mQueue.erase(aPosition);
}

Duration
UpstreamLimiter::EstimateWait(TimePoint aNow,
                              uint32_t aPriority,
                              bool aIsNested) const
{
  if (mLimit == 0) {
    return Duration::zero();
  }
  const std::pair rank{ aPriority, !aIsNested };
  size_t ahead = 0;
  for (const auto& [other, count] : mWaitingByRank) {
    ahead += other <= rank ? count : 0;
  }
  return ExpectedWait(aNow, ahead);
}

} // namespace amaranthgap
