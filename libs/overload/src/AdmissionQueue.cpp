#include "overload/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

// Used for calls whose run time is not known yet. It only has to be positive to
// order the parties.
constexpr double kUnknownCostSeconds = 1e-3;

// After this long without a call taken, a call may run although it is expected
// to miss its deadline. Otherwise a run time estimate that is too high would
// refuse every call and never be corrected.
constexpr Duration kProbeInterval = milliseconds(100);

double
CostSeconds(Duration aRunTime)
{
  return aRunTime > Duration::zero() ? ToSeconds(aRunTime)
                                     : kUnknownCostSeconds;
}

} // namespace

AdmissionQueue::AdmissionQueue(const Options& aOptions)
  : mOptions(aOptions)
{
}

// -- Offer ------------------------------------------------------------------

AdmissionQueue::OfferResult
AdmissionQueue::Offer(TimePoint aNow,
                      WaitingCall aCall,
                      const PartyUsage& aUsage,
                      double aDrainRate,
                      Duration aExpectedRunTime)
{
  ExpireTakenCalls(aNow);
  if (aExpectedRunTime > Duration::zero()) {
    constexpr double kGain = 0.05;
    mMeanRunSeconds += (mMeanRunSeconds == 0 ? 1 : kGain) *
                       (ToSeconds(aExpectedRunTime) - mMeanRunSeconds);
  }
  if (mIndex.contains(aCall.mExecution)) {
    return { .mQueued = true };
  }
  Entry entry{ .mCall = std::move(aCall),
               .mExpectedRunTime = aExpectedRunTime,
               .mSequence = mNextSequence++ };
  if (CannotMeetDeadline(aNow, entry)) {
    return {};
  }
  if (aDrainRate > 0) {
    const double wait = double(CountAhead(aNow, entry, aUsage)) / aDrainRate;
    if (wait > ToSeconds(entry.mCall.mDeadline - aNow - aExpectedRunTime) &&
        wait > 0) {
      return {};
    }
  }

  const ExecutionId offered = entry.mCall.mExecution;
  const Key key{ entry.mCall.mImportance, entry.mCall.mParty };
  auto& level = mLevels[key.first];
  const auto it = level.mPartyQueues[key.second].insert(std::move(entry)).first;
  ++level.mSize;
  mIndex.emplace(offered, std::pair{ key, it });

  OfferResult result{ .mQueued = true };
  const size_t maxCalls = MaxCalls(aDrainRate);
  while (mIndex.size() > maxCalls) {
    const ExecutionId last = LastInOrder(aNow, aUsage);
    Remove(last);
    if (last == offered) {
      result.mQueued = false;
      break;
    }
    result.mEvicted.push_back(last);
  }
  return result;
}

size_t
AdmissionQueue::MaxCalls(double aDrainRate) const
{
  if (aDrainRate <= 0) {
    return mOptions.mCapacity;
  }
  // For a slow upstream the target delay allows almost no queue. Bursts of the
  // parties with little demand would then be refused, and a party that always
  // has calls waiting would get their share.
  const double delay =
    std::max(ToSeconds(mOptions.mTargetDelay), 1.5 * mMeanRunSeconds);
  const double calls = std::ceil(aDrainRate * delay);
  return size_t(std::clamp(calls, 1.0, double(mOptions.mCapacity)));
}

size_t
AdmissionQueue::CountAhead(TimePoint aNow,
                           const Entry& aEntry,
                           const PartyUsage& aUsage) const
{
  size_t ahead = 0;
  const WaitingCall& call = aEntry.mCall;
  for (const auto& [importance, level] : mLevels) {
    if (importance > call.mImportance) {
      ahead += level.mSize;
    }
    if (importance != call.mImportance) {
      continue;
    }
    const Key own{ importance, call.mParty };
    double finish =
      AttainedSeconds(aNow, own, aUsage) + CostSeconds(aEntry.mExpectedRunTime);
    if (const auto it = level.mPartyQueues.find(call.mParty);
        it != level.mPartyQueues.end()) {
      for (const auto& other : it->second) {
        if (!RunsBefore{}(other, aEntry)) {
          break;
        }
        ++ahead;
        finish += CostSeconds(other.mExpectedRunTime);
      }
    }
    // Each other party is served first until it has attained as much.
    for (const auto& [party, queue] : level.mPartyQueues) {
      if (party == call.mParty) {
        continue;
      }
      double attained = AttainedSeconds(aNow, { importance, party }, aUsage);
      for (const auto& other : queue) {
        attained += CostSeconds(other.mExpectedRunTime);
        if (attained > finish) {
          break;
        }
        ++ahead;
      }
    }
  }
  return ahead;
}

ExecutionId
AdmissionQueue::LastInOrder(TimePoint aNow, const PartyUsage& aUsage) const
{
  const auto& [importance, level] = *mLevels.rbegin();
  const PartyQueue* last = nullptr;
  double most = 0;
  for (const auto& [party, queue] : level.mPartyQueues) {
    double attained = AttainedSeconds(aNow, { importance, party }, aUsage);
    for (const auto& entry : queue) {
      attained += CostSeconds(entry.mExpectedRunTime);
    }
    if (!last || attained > most) {
      last = &queue;
      most = attained;
    }
  }
  return last->rbegin()->mCall.mExecution;
}

// -- Take -------------------------------------------------------------------

std::optional<ExecutionId>
AdmissionQueue::Take(TimePoint aNow, const PartyUsage& aUsage)
{
  ExpireTakenCalls(aNow);
  for (const auto& [importance, level] : mLevels) {
    const Entry* best = nullptr;
    double least = 0;
    for (const auto& [party, queue] : level.mPartyQueues) {
      const auto it =
        std::find_if(queue.begin(), queue.end(), [&](const Entry& aEntry) {
          return !CannotMeetDeadline(aNow, aEntry);
        });
      if (it == queue.end()) {
        continue;
      }
      const double attained =
        AttainedSeconds(aNow, { importance, party }, aUsage);
      if (!best || attained < least ||
          (attained == least && RunsBefore{}(*it, *best))) {
        best = &*it;
        least = attained;
      }
    }
    if (best) {
      const ExecutionId taken = best->mCall.mExecution;
      Key key{ importance, best->mCall.mParty };
      const double costSeconds = CostSeconds(best->mExpectedRunTime);
      mTakenSeconds[key] += costSeconds;
      mTakenCalls.emplace(
        aNow + FromSeconds(costSeconds),
        TakenCall{ .mKey = std::move(key), .mSeconds = costSeconds });
      mLastTake = aNow;
      Remove(taken);
      return taken;
    }
  }
  return std::nullopt;
}

double
AdmissionQueue::AttainedSeconds(TimePoint aNow,
                                const Key& aKey,
                                const PartyUsage& aUsage) const
{
  // PartyUsage is charged when a call ends. Until its expected end, a taken
  // call counts here; otherwise one party would get all slots that become free
  // at the same time.
  const auto it = mTakenSeconds.find(aKey);
  return aUsage.AttainedSeconds(aNow, aKey.second, aKey.first) +
         (it == mTakenSeconds.end() ? 0.0 : it->second);
}

void
AdmissionQueue::ExpireTakenCalls(TimePoint aNow)
{
  while (!mTakenCalls.empty() && mTakenCalls.begin()->first <= aNow) {
    const TakenCall& taken = mTakenCalls.begin()->second;
    const auto it = mTakenSeconds.find(taken.mKey);
    it->second -= taken.mSeconds;
    if (it->second < kUnknownCostSeconds / 2) {
      mTakenSeconds.erase(it);
    }
    mTakenCalls.erase(mTakenCalls.begin());
  }
}

bool
AdmissionQueue::CannotMeetDeadline(TimePoint aNow, const Entry& aEntry) const
{
  const TimePoint deadline = aEntry.mCall.mDeadline;
  return deadline <= aNow || (deadline < aNow + aEntry.mExpectedRunTime &&
                              aNow - mLastTake < kProbeInterval);
}

// -- Removal ----------------------------------------------------------------

bool
AdmissionQueue::Remove(ExecutionId aExecution)
{
  const auto it = mIndex.find(aExecution);
  if (it == mIndex.end()) {
    return false;
  }
  const auto [key, position] = it->second;
  const auto level = mLevels.find(key.first);
  const auto queue = level->second.mPartyQueues.find(key.second);
  queue->second.erase(position);
  if (queue->second.empty()) {
    level->second.mPartyQueues.erase(queue);
  }
  if (--level->second.mSize == 0) {
    mLevels.erase(level);
  }
  mIndex.erase(it);
  return true;
}

std::vector<ExecutionId>
AdmissionQueue::RemoveExpired(TimePoint aNow, Duration aExpectedRunTime)
{
  std::vector<ExecutionId> expired;
  for (const auto& [importance, level] : mLevels) {
    for (const auto& [party, queue] : level.mPartyQueues) {
      for (Entry entry : queue) {
        if (entry.mExpectedRunTime == Duration::zero()) {
          entry.mExpectedRunTime = aExpectedRunTime;
        }
        if (CannotMeetDeadline(aNow, entry)) {
          expired.push_back(entry.mCall.mExecution);
        }
      }
    }
  }
  for (const ExecutionId execution : expired) {
    Remove(execution);
  }
  return expired;
}

size_t
AdmissionQueue::Size() const
{
  return mIndex.size();
}

std::vector<PartyQueueState>
AdmissionQueue::PartyQueueStates(TimePoint aNow, const PartyUsage& aUsage) const
{
  std::vector<PartyQueueState> states;
  const auto add = [&](uint32_t aImportance, const std::string& aParty) {
    states.push_back({ .mImportance = aImportance,
                       .mParty = aParty,
                       .mAttainedSeconds = AttainedSeconds(
                         aNow, { aImportance, aParty }, aUsage) });
  };
  for (const auto& [importance, level] : mLevels) {
    for (const auto& [party, queue] : level.mPartyQueues) {
      add(importance, party);
      states.back().mCalls = queue.size();
      for (const Entry& entry : queue) {
        states.back().mExpectedSeconds += CostSeconds(entry.mExpectedRunTime);
        states.back().mLatestStart =
          std::max(states.back().mLatestStart,
                   entry.mCall.mDeadline - entry.mExpectedRunTime);
      }
    }
  }
  for (const PartyShare& share : aUsage.LocalShares(aNow)) {
    const auto level = mLevels.find(share.mImportance);
    if (level != mLevels.end() &&
        !level->second.mPartyQueues.contains(share.mParty)) {
      add(share.mImportance, share.mParty);
    }
  }
  return states;
}

double
AdmissionQueue::FillRatio(uint32_t aImportance, double aDrainRate) const
{
  size_t count = 0;
  for (const auto& [importance, level] : mLevels) {
    if (importance >= aImportance) {
      count += level.mSize;
    }
  }
  return double(count) / double(MaxCalls(aDrainRate));
}

} // namespace amaranthgap
