#include "overload/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace amaranthgap {

namespace {

// Cost of a call whose run time is not known yet; only its sign matters for
// the order of the parties.
constexpr double kUnknownCost = 1e-3;

// When nothing has been taken for this long, a call may run although it is
// expected to be late. Without it, an estimate that is too high would refuse
// every call and never be corrected.
constexpr Duration kProbeInterval = milliseconds(100);

double
Cost(Duration aRun)
{
  return aRun > Duration::zero() ? ToSeconds(aRun) : kUnknownCost;
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
                      Duration aExpectedRun)
{
  ForgetTaken(aNow);
  if (aExpectedRun > Duration::zero()) {
    constexpr double kGain = 0.05;
    mMeanRun +=
      (mMeanRun == 0 ? 1 : kGain) * (ToSeconds(aExpectedRun) - mMeanRun);
  }
  if (mIndex.contains(aCall.mExecution)) {
    return { .mQueued = true };
  }
  Entry entry{ .mCall = std::move(aCall),
               .mRun = aExpectedRun,
               .mNumber = mNextNumber++ };
  if (IsHopeless(aNow, entry)) {
    return {};
  }
  if (aDrainRate > 0) {
    const double wait = double(Ahead(aNow, entry, aUsage)) / aDrainRate;
    if (wait > ToSeconds(entry.mCall.mDeadline - aNow - aExpectedRun) &&
        wait > 0) {
      return {};
    }
  }

  const ExecutionId offered = entry.mCall.mExecution;
  const Key key{ entry.mCall.mImportance, entry.mCall.mParty };
  auto& level = mLevels[key.first];
  const auto it = level.mLines[key.second].insert(std::move(entry)).first;
  ++level.mSize;
  mIndex.emplace(offered, std::pair{ key, it });

  OfferResult verdict{ .mQueued = true };
  const size_t bound = Bound(aDrainRate);
  while (mIndex.size() > bound) {
    const ExecutionId last = LastInOrder(aNow, aUsage);
    Remove(last);
    if (last == offered) {
      verdict.mQueued = false;
      break;
    }
    verdict.mEvicted.push_back(last);
  }
  return verdict;
}

size_t
AdmissionQueue::Bound(double aDrainRate) const
{
  if (aDrainRate <= 0) {
    return mOptions.mCapacity;
  }
  // For a slow upstream the target delay allows hardly any queue. Bursts of the
  // parties with small demand would then be refused, and the party that always
  // waits would take what they leave.
  const double delay =
    std::max(ToSeconds(mOptions.mTargetDelay), 1.5 * mMeanRun);
  const double calls = std::ceil(aDrainRate * delay);
  return size_t(std::clamp(calls, 1.0, double(mOptions.mCapacity)));
}

size_t
AdmissionQueue::Ahead(TimePoint aNow,
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
    double finish = AttainedSeconds(aNow, own, aUsage) + Cost(aEntry.mRun);
    if (const auto it = level.mLines.find(call.mParty);
        it != level.mLines.end()) {
      for (const auto& other : it->second) {
        if (!Before{}(other, aEntry)) {
          break;
        }
        ++ahead;
        finish += Cost(other.mRun);
      }
    }
    // Each of the other parties is served until it has attained as much.
    for (const auto& [party, line] : level.mLines) {
      if (party == call.mParty) {
        continue;
      }
      double attained = AttainedSeconds(aNow, { importance, party }, aUsage);
      for (const auto& other : line) {
        attained += Cost(other.mRun);
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
  const Line* last = nullptr;
  double most = 0;
  for (const auto& [party, line] : level.mLines) {
    double attained = AttainedSeconds(aNow, { importance, party }, aUsage);
    for (const auto& entry : line) {
      attained += Cost(entry.mRun);
    }
    if (!last || attained > most) {
      last = &line;
      most = attained;
    }
  }
  return last->rbegin()->mCall.mExecution;
}

// -- Take -------------------------------------------------------------------

std::optional<ExecutionId>
AdmissionQueue::Take(TimePoint aNow, const PartyUsage& aUsage)
{
  ForgetTaken(aNow);
  for (const auto& [importance, level] : mLevels) {
    const Entry* best = nullptr;
    double least = 0;
    for (const auto& [party, line] : level.mLines) {
      const auto it =
        std::find_if(line.begin(), line.end(), [&](const Entry& aEntry) {
          return !IsHopeless(aNow, aEntry);
        });
      if (it == line.end()) {
        continue;
      }
      const double attained =
        AttainedSeconds(aNow, { importance, party }, aUsage);
      if (!best || attained < least ||
          (attained == least && Before{}(*it, *best))) {
        best = &*it;
        least = attained;
      }
    }
    if (best) {
      const ExecutionId taken = best->mCall.mExecution;
      Key key{ importance, best->mCall.mParty };
      const double cost = Cost(best->mRun);
      mTakenSeconds[key] += cost;
      mTaken.emplace(aNow + FromSeconds(cost),
                     Taken{ .mKey = std::move(key), .mSeconds = cost });
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
  // Calls that were taken are charged when they end. Until then they count
  // here; otherwise one party would get all slots that become free at once.
  const auto it = mTakenSeconds.find(aKey);
  return aUsage.AttainedSeconds(aNow, aKey.second, aKey.first) +
         (it == mTakenSeconds.end() ? 0.0 : it->second);
}

void
AdmissionQueue::ForgetTaken(TimePoint aNow)
{
  while (!mTaken.empty() && mTaken.begin()->first <= aNow) {
    const Taken& taken = mTaken.begin()->second;
    const auto it = mTakenSeconds.find(taken.mKey);
    it->second -= taken.mSeconds;
    if (it->second < kUnknownCost / 2) {
      mTakenSeconds.erase(it);
    }
    mTaken.erase(mTaken.begin());
  }
}

bool
AdmissionQueue::IsHopeless(TimePoint aNow, const Entry& aEntry) const
{
  const TimePoint deadline = aEntry.mCall.mDeadline;
  return deadline <= aNow ||
         (deadline < aNow + aEntry.mRun && aNow - mLastTake < kProbeInterval);
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
  const auto line = level->second.mLines.find(key.second);
  line->second.erase(position);
  if (line->second.empty()) {
    level->second.mLines.erase(line);
  }
  if (--level->second.mSize == 0) {
    mLevels.erase(level);
  }
  mIndex.erase(it);
  return true;
}

std::vector<ExecutionId>
AdmissionQueue::RemoveExpired(TimePoint aNow, Duration aExpectedRun)
{
  std::vector<ExecutionId> expired;
  for (const auto& [importance, level] : mLevels) {
    for (const auto& [party, line] : level.mLines) {
      for (Entry entry : line) {
        if (entry.mRun == Duration::zero()) {
          entry.mRun = aExpectedRun;
        }
        if (IsHopeless(aNow, entry)) {
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
  std::vector<PartyQueueState> lines;
  const auto add = [&](uint32_t aImportance, const std::string& aParty) {
    lines.push_back({ .mImportance = aImportance,
                      .mParty = aParty,
                      .mAttainedSeconds = AttainedSeconds(
                        aNow, { aImportance, aParty }, aUsage) });
  };
  for (const auto& [importance, level] : mLevels) {
    for (const auto& [party, line] : level.mLines) {
      add(importance, party);
      lines.back().mCalls = line.size();
      for (const Entry& entry : line) {
        lines.back().mExpectedSeconds += Cost(entry.mRun);
        lines.back().mLatestStart = std::max(
          lines.back().mLatestStart, entry.mCall.mDeadline - entry.mRun);
      }
    }
  }
  for (const PartyShare& share : aUsage.LocalShares(aNow)) {
    const auto level = mLevels.find(share.mImportance);
    if (level != mLevels.end() &&
        !level->second.mLines.contains(share.mParty)) {
      add(share.mImportance, share.mParty);
    }
  }
  return lines;
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
  return double(count) / double(Bound(aDrainRate));
}

} // namespace amaranthgap
