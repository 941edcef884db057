#include "node/DuplicateFilter.h"

#include <algorithm>

namespace amaranthgap {

void
DuplicateFilter::DropOldest(Sender& aSender)
{
  const uint64_t id = aSender.mByTime.front().second;
  aSender.mByTime.pop_front();
  aSender.mSeen.erase(id);
  aSender.mLowest = std::max(aSender.mLowest, id);
}

bool
DuplicateFilter::IsNew(TimePoint aNow, const NodeRef& aSender, CallId aCall)
{
  Sender& sender = mSenders[aSender];
  sender.mLast = aNow;
  if (aCall.mValue <= sender.mLowest ||
      !sender.mSeen.insert(aCall.mValue).second) {
    return false;
  }
  sender.mByTime.emplace_back(aNow, aCall.mValue);
  if (sender.mByTime.size() > mOptions.mPerSender) {
    DropOldest(sender);
  }
  return true;
}

void
DuplicateFilter::Expire(TimePoint aNow)
{
  for (auto it = mSenders.begin(); it != mSenders.end();) {
    Sender& sender = it->second;
    while (!sender.mByTime.empty() &&
           aNow - sender.mByTime.front().first > mOptions.mRemember) {
      DropOldest(sender);
    }
    const bool isOver = aNow - sender.mLast > mOptions.mForgetSender ||
                        mSenders.size() > mOptions.mSenders;
    it = sender.mByTime.empty() && isOver ? mSenders.erase(it) : std::next(it);
  }
}

} // namespace amaranthgap
