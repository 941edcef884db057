#include "Sim.h"

#include <algorithm>

#include <fmt/format.h>

namespace amaranthgap::sim {

void
Sim::CheckQueue(size_t aHost, const Actions& aActions)
{
  std::vector<Rank> refused;
  std::vector<uint32_t> started;
  for (const Action& action : aActions) {
    if (const auto* start = std::get_if<StartUpstream>(&action)) {
      // A call from the node itself is not seen on its way.
      const auto it = mImportanceOf.find(CopyOf(start->mHttp));
      started.push_back(it == mImportanceOf.end() ? UINT32_MAX : it->second);
    }
    const auto* send = std::get_if<SendMessage>(&action);
    const auto* reply =
      send ? std::get_if<ReplyMessage>(&send->mMessage) : nullptr;
    if (reply && (reply->mReason == Reason::Overloaded ||
                  reply->mReason == Reason::Evicted)) {
      const auto it = mRanks.find({ aHost, send->mTo, reply->mCall });
      if (it != mRanks.end()) {
        refused.push_back(it->second);
        if (reply->mReason == Reason::Evicted) {
          // Its deadline was no reason to refuse it.
          refused.back().mDeadline = TimePoint::max();
        }
      }
    }
  }
  if (mOptions.mPolicyOff || (refused.empty() && started.empty())) {
    return;
  }
  const QueueView queue = mHosts[aHost].mNode->GetQueue(mNow);
  for (const PartyQueueState& line : queue.mLines) {
    for (const uint32_t importance : started) {
      if (line.mCalls > 0 && line.mImportance > importance &&
          line.mLatestStart >= mNow) {
        mViolations.push_back(
          fmt::format("{} started a call of importance {} before one of {}",
                      mHosts[aHost].mId.mValue,
                      importance,
                      line.mImportance));
      }
    }
  }
  CheckRefusals(aHost, queue, refused, started.size());
}

void
Sim::CheckRefusals(size_t aHost,
                   const QueueView& aQueue,
                   const std::vector<Rank>& aRefused,
                   size_t aStarted)
{
  const double run = ToSeconds(aQueue.mExpectedRun);
  const auto same = [](const Rank& aRank, const PartyQueueState& aLine) {
    return aRank.mImportance == aLine.mImportance &&
           aRank.mParty == aLine.mParty;
  };
  for (const Rank& rank : aRefused) {
    size_t ahead = aStarted;
    const PartyQueueState* own = nullptr;
    for (const PartyQueueState& line : aQueue.mLines) {
      ahead += line.mImportance >= rank.mImportance ? line.mCalls : 0;
      own = same(rank, line) ? &line : own;
    }
    // By section 8.2, a call that the work ahead of it, at its importance and
    // above, keeps from meeting its deadline is refused in any case.
    const double left = ToSeconds(rank.mDeadline - mNow) - run;
    if (left < 0 ||
        (aQueue.mDrainRate > 0 && double(ahead) / aQueue.mDrainRate > left)) {
      continue;
    }
    const auto refused = std::ranges::count_if(aRefused, [&](const Rank& aOne) {
      return own != nullptr && same(aOne, *own);
    });
    for (const PartyQueueState& line : aQueue.mLines) {
      if (line.mCalls > 0 && line.mImportance < rank.mImportance) {
        mViolations.push_back(
          fmt::format("{} refused a call of importance {} before one of {}",
                      mHosts[aHost].mId.mValue,
                      rank.mImportance,
                      line.mImportance));
      }
      // Compared is what each party attains once its waiting calls have run,
      // the refused ones included, give or take half a run. A call that starts
      // in the same event changes it.
      if (own != nullptr && aStarted == 0 && line.mCalls > 0 &&
          line.mImportance == rank.mImportance &&
          own->mAttainedSeconds + own->mExpectedSeconds +
              (double(refused) + 0.5) * run <
            line.mAttainedSeconds + line.mExpectedSeconds) {
        mViolations.push_back(
          fmt::format("{} refused party {} before {} of importance {}",
                      mHosts[aHost].mId.mValue,
                      rank.mParty,
                      line.mParty,
                      rank.mImportance));
      }
    }
  }
}

} // namespace amaranthgap::sim
